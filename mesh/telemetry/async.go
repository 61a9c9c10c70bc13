package telemetry

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines bounds the lines that wait for the output: a few seconds of a
	// busy daemon at about 300 bytes a line.
	bufferedLines = 1024
	// flushLimit bounds the wait for the output when the process ends.
	flushLimit = time.Second
)

// asyncWriter hands lines to a goroutine that writes them. A line that finds the
// buffer full is dropped and counted, so that nothing waits for a reader of the
// log that does not read.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	// onDrop is told the number of lines dropped since the last time.
	onDrop func(lines uint64)
	done   chan struct{}
	once   sync.Once
	stop   chan struct{}
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{
		lines: make(chan []byte, bufferedLines),
		done:  make(chan struct{}),
		stop:  make(chan struct{}),
	}
	go w.run(out)
	return w
}

func (w *asyncWriter) run(out io.Writer) {
	defer close(w.done)
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // there is nowhere to tell of a failure
		case <-w.stop:
			w.drain(out)
			return
		}
		if dropped := w.dropped.Load(); dropped > reported && len(w.lines) == 0 {
			w.onDrop(dropped - reported)
			reported = dropped
		}
	}
}

func (w *asyncWriter) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}

// Write implements zapcore.WriteSyncer. It keeps a copy of the line.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. Lines are written as they come.
func (w *asyncWriter) Sync() error { return nil }

func (w *asyncWriter) close() {
	w.once.Do(func() { close(w.stop) })
	timer := time.NewTimer(flushLimit)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
