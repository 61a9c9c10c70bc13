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

// Names of log fields, the same in every part of the system.
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

// Bounds of the volume under load: of each message, the first linesPerSecond in
// a second are written and then one in everyLine. A second of a few hundred calls
// with one refusal in ten is written whole.
const (
	linesPerSecond = 50
	everyLine      = 100
)

// Log is a logger that never blocks its callers.
type Log struct {
	*zap.Logger
	Level zap.AtomicLevel
	out   *asyncWriter
}

// Dropped returns the number of lines that found no room because the output was
// not read.
func (l *Log) Dropped() uint64 { return l.out.dropped.Load() }

// Close writes what is left, for at most flushLimit.
func (l *Log) Close() { l.out.close() }

// NewLog returns a log of JSON lines on standard output. Its level can be turned
// while it runs.
func NewLog(level, host, zone string) (*Log, error) { return newLog(os.Stdout, level, host, zone) }

func newLog(output io.Writer, level, host, zone string) (*Log, error) {
	atomic, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("telemetry: log level: %w", err)
	}
	out := newAsyncWriter(output)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, atomic)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, everyLine)
	logger := zap.New(sampled, zap.Fields(zap.String(FieldHost, host), zap.String(FieldZone, zone)))
	out.onDrop = func(lines uint64) {
		logger.Warn("log lines dropped", zap.Uint64("lines", lines))
	}
	return &Log{Logger: logger, Level: atomic, out: out}, nil
}
