// Package telemetry builds the structured log and the metrics of a process.
package telemetry

import (
	"fmt"
	"io"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Names of log fields that all parts of the system use. Some also serve as metric labels.
const (
	FieldStep      = "step"
	FieldPeer      = "peer"
	FieldTicket    = "ticket"
	FieldRevision  = "revision"
	FieldRequestID = "request_id"
	FieldHost      = "host"
	FieldZone      = "zone"
	FieldService   = "service"
	FieldVersion   = "version"
	FieldRoute     = "route"
	FieldOutcome   = "outcome"
	FieldReason    = "reason"
)

// Sampling bounds the volume of the log under load: of each message, the first sampledFirst lines of a
// second are written, and after that one in sampledThereafter. All lines of a second with a few hundred
// requests, of which one in ten is refused, are written.
const (
	sampledFirst      = 50
	sampledThereafter = 100
)

// Log is a logger that never blocks its callers. It drops lines if the output is not read.
type Log struct {
	*zap.Logger
	Level zap.AtomicLevel // can be changed while the log is in use
	out   *asyncWriter
}

// Dropped returns the number of lines dropped because the output was not read and the buffer was full.
func (l *Log) Dropped() uint64 { return l.out.dropped.Load() }

// Close writes the buffered lines, for at most flushTimeout.
func (l *Log) Close() { l.out.close() }

// NewLog returns a log of JSON lines on standard output, each with the host and the zone. Level is the
// initial level; an unknown one is an error.
func NewLog(level, host, zone string) (*Log, error) { return newLog(os.Stdout, level, host, zone) }

// newLog is NewLog with another output.
func newLog(output io.Writer, level, host, zone string) (*Log, error) {
	atomic, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("telemetry: parse log level: %w", err)
	}
	out := newAsyncWriter(output)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, atomic)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, sampledFirst, sampledThereafter)
	logger := zap.New(sampled, zap.Fields(zap.String(FieldHost, host), zap.String(FieldZone, zone)))
	out.onDrop = func(lines uint64) {
		logger.Warn("log lines dropped", zap.Uint64("lines", lines))
	}
	return &Log{Logger: logger, Level: atomic, out: out}, nil
}
