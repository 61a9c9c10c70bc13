package source

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/freshness"
	"sassafrasnotch.example/coord/store"
)

// follower reads a set of rows and then waits for changes to them. C is the type of the rows read.
type follower[C any] struct {
	name    string // for log lines
	logger  *zap.Logger
	read    func(context.Context) (C, error)
	await   func(context.Context, store.Position, time.Duration) (C, error)
	through func(C) store.Position // from which to continue
	apply   func(C)
	// idle reports whether there is nothing to follow; nil means never.
	idle func() bool
	// confirm is called after a successful exchange with a time at which the store had no changes beyond
	// those received.
	confirm func(at time.Time)
	// reportOverdue is called when a response of the change feed is overdue, reportFailure after a
	// failed exchange.
	reportOverdue, reportFailure func()
	// reread ends a wait for changes and makes the next exchange a read of all rows; it may be nil.
	reread <-chan struct{}
	bounds freshness.Bounds
	// pause waits after each successful exchange, so that changes in quick succession share a read.
	// first is set after the first exchange.
	pause func(ctx context.Context, first bool)

	// copy tells how old the rows read are.
	copy freshness.Copy
	// after is the position of the store from which to continue.
	after store.Position
	// restart makes the next exchange a read of all rows.
	restart bool
	// initialized is set once all rows were read.
	initialized bool
	// failures counts the exchanges without a response since the last one with a response. After the
	// first, the next response is requested at once, since the connection may have stopped delivering.
	failures int
}

// run follows until the context ends or the follower is idle.
func (f *follower[C]) run(ctx context.Context) {
	backoff := minRetryBackoff
	for ctx.Err() == nil && (f.idle == nil || !f.idle() || f.restart) {
		changes, asOf, err := f.exchange(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errReread):
			f.logger.Info("reading all rows without waiting for the change feed", zap.String("rows", f.name), zap.Stringer("after", f.after), zap.Error(err))
			f.restart = true
		case errors.Is(err, errOverdue):
			f.logger.Info("no response from the change feed; asking again", zap.String("rows", f.name), zap.Duration("silence", f.silence()), zap.Error(err))
			f.failures++
			f.reportOverdue()
		case errors.Is(err, store.ErrTrimmed):
			f.logger.Info("change history of the store is trimmed; reading all rows", zap.String("rows", f.name), zap.Stringer("after", f.after), zap.Error(err))
			f.restart = true
		case err != nil:
			f.failures++
			f.reportFailure()
			f.logger.Info("rows not read", zap.String("rows", f.name), zap.Duration("silence", f.silence()), zap.Error(err))
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxRetryBackoff)
		default:
			backoff = minRetryBackoff
			first := !f.initialized
			f.initialized, f.restart, f.failures = true, false, 0
			f.after = f.through(changes)
			f.apply(changes)
			f.copy.Confirm(asOf)
			f.confirm(asOf)
			f.pause(ctx, first)
		}
	}
}

// silence returns the time since the last response, or 0 before the first one.
func (f *follower[C]) silence() time.Duration {
	if age := f.copy.Age(time.Now()); age != freshness.Never {
		return age
	}
	return 0
}

// exchange reads all rows or waits for changes to them. asOf is a time at which the store had no
// further changes.
func (f *follower[C]) exchange(ctx context.Context) (changes C, asOf time.Time, err error) {
	if f.restart || !f.initialized {
		asOf = time.Now() // the rows are read in several requests
		ctx, _, cancel := withResponseTimeout(ctx, f.bounds.Rows(f.failures))
		defer cancel(nil)
		changes, err = f.read(ctx)
		return changes, asOf, err
	}
	return f.awaitChanges(ctx)
}

// awaitChanges waits for changes. The error is errReread if a signal on reread ended the wait, and
// errOverdue if no response began in time, unless other exchanges have failed before.
func (f *follower[C]) awaitChanges(ctx context.Context) (changes C, asOf time.Time, err error) {
	wait, timeout := f.bounds.Feed(f.copy.Age(time.Now()), f.failures)
	waitCtx, response, cancel := withResponseTimeout(ctx, timeout)
	defer cancel(nil)
	if f.failures > 0 {
		changes, err = f.await(waitCtx, f.after, wait)
		return changes, response.beganAt(), err
	}
	go func() {
		select {
		case <-f.reread:
			cancel(errReread)
		case <-waitCtx.Done():
		}
	}()
	changes, err = f.await(waitCtx, f.after, wait)
	if cause := context.Cause(waitCtx); err != nil && (errors.Is(cause, errReread) || errors.Is(cause, errOverdue)) {
		err = cause
	}
	return changes, response.beganAt(), err
}

// sleep returns after the wait or when the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
