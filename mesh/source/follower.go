package source

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/store"
)

// follower reads a set of rows and then waits for changes to them. C is the type of the rows read.
type follower[C any] struct {
	name    string // for log lines
	logger  *zap.Logger
	read    func(context.Context) (C, error)
	await   func(context.Context, uint64, time.Duration) (C, error)
	through func(C) uint64 // version of the store from which to continue
	apply   func(C)
	// idle reports whether there is nothing to follow; nil means never.
	idle func() bool
	// reportReachable is called with true after a successful exchange with the store and with false
	// after a failed one.
	reportReachable func(reachable bool)
	// reread ends a wait for changes and makes the next exchange a read of all rows; it may be nil.
	reread <-chan struct{}
	// wait is the time for which the store may hold back a response without changes, replyTime the time
	// that the response may take in addition.
	wait, replyTime time.Duration
	// pause is the delay after each successful exchange, so that changes in quick succession share a
	// read.
	pause time.Duration
	// firstPause replaces pause after the first exchange, if it is longer.
	firstPause time.Duration

	// after is the version of the store from which to continue.
	after uint64
	// restart makes the next exchange a read of all rows.
	restart bool
	// initialized is set once all rows were read.
	initialized bool
	// responded is the time of the last response, zero before the first one.
	responded time.Time
	// overdue is set if a wait for changes brought no response in time. The next one requests a response
	// at once, since the connection may have stopped delivering.
	overdue bool
}

// run follows until the context ends or the follower is idle.
func (f *follower[C]) run(ctx context.Context) {
	backoff := minRetryBackoff
	for ctx.Err() == nil && (f.idle == nil || !f.idle() || f.restart) {
		changes, err := f.exchange(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errReread):
			f.logger.Info("reading all rows without waiting for the change feed", zap.String("rows", f.name), zap.Uint64("after", f.after), zap.Error(err))
			f.restart = true
		case errors.Is(err, errOverdue):
			f.logger.Info("no response from the change feed; asking again", zap.String("rows", f.name), zap.Duration("silence", f.silence()), zap.Error(err))
			f.overdue = true
		case errors.Is(err, store.ErrTrimmed):
			f.logger.Info("change history of the store is trimmed; reading all rows", zap.String("rows", f.name), zap.Uint64("after", f.after))
			f.restart = true
		case err != nil:
			f.reportReachable(false)
			f.logger.Info("rows not read", zap.String("rows", f.name), zap.Duration("silence", f.silence()), zap.Error(err))
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxRetryBackoff)
		default:
			backoff = minRetryBackoff
			f.responded = time.Now()
			f.reportReachable(true)
			pause := f.pause
			if !f.initialized {
				pause = max(pause, f.firstPause)
			}
			f.initialized, f.restart, f.overdue = true, false, false
			f.after = f.through(changes)
			f.apply(changes)
			sleep(ctx, pause)
		}
	}
}

// silence returns the time since the last response, or 0 before the first one.
func (f *follower[C]) silence() time.Duration {
	if f.responded.IsZero() {
		return 0
	}
	return time.Since(f.responded)
}

// exchange reads all rows or waits for changes to them.
func (f *follower[C]) exchange(ctx context.Context) (C, error) {
	if f.restart || !f.initialized {
		return f.read(ctx)
	}
	return f.awaitChanges(ctx)
}

// awaitChanges waits for changes. The error is errReread if a signal on reread ended the wait, and
// errOverdue if the response did not arrive in time.
func (f *follower[C]) awaitChanges(ctx context.Context) (C, error) {
	if f.overdue {
		return f.await(ctx, f.after, 0)
	}
	timeoutCtx, stop := context.WithTimeoutCause(ctx, f.wait+f.replyTime, errOverdue)
	defer stop()
	waitCtx, cancel := context.WithCancelCause(timeoutCtx)
	defer cancel(nil)
	go func() {
		select {
		case <-f.reread:
			cancel(errReread)
		case <-waitCtx.Done():
		}
	}()
	changes, err := f.await(waitCtx, f.after, f.wait)
	if cause := context.Cause(waitCtx); err != nil && (errors.Is(cause, errReread) || errors.Is(cause, errOverdue)) {
		err = cause
	}
	return changes, err
}

// Causes that end a wait for changes.
var (
	errReread  = errors.New("another daemon has a newer revision")
	errOverdue = errors.New("no response in time")
)

// sleep returns after the wait or when the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
