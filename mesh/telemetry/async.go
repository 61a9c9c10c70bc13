package telemetry

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines bounds the lines that wait for the output. It covers a few seconds of a busy
	// daemon, at about 300 bytes a line.
	maxBufferedLines = 1024
	// flushTimeout bounds the wait for the output when the process ends.
	flushTimeout = time.Second
)

// asyncWriter passes lines to a goroutine that writes them to the output. A line is dropped and counted
// if the buffer is full, so that no caller blocks if the output is not read.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	// onDrop is called with the number of lines dropped since its previous call.
	onDrop    func(lines uint64)
	done      chan struct{} // closed when run returns
	closeOnce sync.Once
	stop      chan struct{} // closed by close
}

// newAsyncWriter returns a writer whose goroutine runs until close is called. onDrop must be set before
// the first Write.
func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{
		lines: make(chan []byte, maxBufferedLines),
		done:  make(chan struct{}),
		stop:  make(chan struct{}),
	}
	go w.run(out)
	return w
}

// run writes lines until stop is closed. It reports dropped lines when the buffer is empty.
func (w *asyncWriter) run(out io.Writer) {
	defer close(w.done)
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // a failure of the log output can't be logged
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

// drain writes the buffered lines.
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

// Write implements zapcore.WriteSyncer. It buffers a copy of the line and never returns an error.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because lines are written as they arrive.
func (w *asyncWriter) Sync() error { return nil }

// close stops the goroutine and waits until it has written the buffered lines, for at most
// flushTimeout.
func (w *asyncWriter) close() {
	w.closeOnce.Do(func() { close(w.stop) })
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
