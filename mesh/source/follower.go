package source

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/store"
)

// follower reads a set of rows and then the changes to them.
type follower[C any] struct {
	name    string
	logger  *zap.Logger
	read    func(context.Context) (C, error)
	await   func(context.Context, uint64, time.Duration) (C, error)
	through func(C) uint64
	apply   func(C)
	// idle reports that there is nothing to follow; nil means never.
	idle    func() bool
	contact func(reached bool)
	// nudge ends a wait for changes and makes the next exchange a read; it may
	// be nil.
	nudge <-chan struct{}
	// spacing is the pause after a change, so that changes in quick succession
	// share a read.
	spacing time.Duration

	after uint64
	// restart makes the next exchange a read of all rows.
	restart bool
	known   bool
}

// run follows until the context ends or the follower is idle.
func (f *follower[C]) run(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil && (f.idle == nil || !f.idle() || f.restart) {
		changes, err := f.exchange(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errNudged):
			f.logger.Info("read ahead of the feed", zap.String("rows", f.name), zap.Uint64("after", f.after), zap.Error(err))
			f.restart = true
		case errors.Is(err, store.ErrTrimmed):
			f.logger.Info("history of the store is gone", zap.String("rows", f.name), zap.Uint64("after", f.after))
			f.restart = true
		case err != nil:
			f.contact(false)
			f.logger.Info("rows not read", zap.String("rows", f.name), zap.Error(err))
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, retryLimit)
		default:
			pause = retryFirst
			f.contact(true)
			f.known, f.restart = true, false
			f.after = f.through(changes)
			f.apply(changes)
			sleep(ctx, f.spacing)
		}
	}
}

func (f *follower[C]) exchange(ctx context.Context) (C, error) {
	if f.restart || !f.known {
		return f.read(ctx)
	}
	return f.awaitChanges(ctx)
}

// awaitChanges returns errNudged if it was told to read instead.
func (f *follower[C]) awaitChanges(ctx context.Context) (C, error) {
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-f.nudge:
			cancel(errNudged)
		case <-waiting.Done():
		}
	}()
	changes, err := f.await(waiting, f.after, feedWait)
	if err != nil && errors.Is(context.Cause(waiting), errNudged) {
		err = errNudged
	}
	return changes, err
}

// errNudged ends a wait because another daemon has a newer revision.
var errNudged = errors.New("another daemon has a newer revision")

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
