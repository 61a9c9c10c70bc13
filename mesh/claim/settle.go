package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/claim"
)

const (
	// maxSettling bounds the number of claims being settled, that is recorded or released. They
	// accumulate while the store is unavailable, for example.
	maxSettling = 1024
	// settleTimeout bounds the time for which a record or release is retried.
	settleTimeout = 2 * time.Minute
	// minSettleBackoff and maxSettleBackoff bound the backoff between retries.
	minSettleBackoff = 50 * time.Millisecond
	maxSettleBackoff = 5 * time.Second
)

// errTooManySettling means that maxSettling claims are being settled already.
var errTooManySettling = errors.New("claim: too many records and releases in progress")

// Record stores the outcome of a granted request for later repetitions of it. It returns at once.
// If recording fails for settleTimeout, or if maxSettling claims are being settled already, the
// outcome is not stored, and later repetitions get the verdict claim.Pending until the claim
// expires.
func (c *Claimer) Record(request claim.Request, outcome claim.Outcome) {
	c.settle("record claim", request, settleTimeout, func(ctx context.Context) error {
		return c.backend.record(ctx, &request, &outcome)
	})
}

// Release gives up the claim of a request that certainly did not run, so that the request can be
// sent again. It returns at once. Like Record, it abandons the operation after settleTimeout, or at
// once if maxSettling claims are being settled already.
func (c *Claimer) Release(request claim.Request) {
	c.settle("release claim", request, settleTimeout, func(ctx context.Context) error {
		return c.backend.release(ctx, &request)
	})
}

// Close waits for the records and releases in progress, and stops their retries when the context
// ends. Claim, Record and Release must not be called after Close.
func (c *Claimer) Close(ctx context.Context) {
	cancel := context.AfterFunc(ctx, c.stop)
	defer cancel()
	c.settling.Wait()
	c.stop()
}

// settle retries an operation until it succeeds or the timeout is over, in a goroutine of its own.
// A failure is logged, unless the row is gone or belongs to another attempt.
func (c *Claimer) settle(step string, request claim.Request, timeout time.Duration, operation func(context.Context) error) {
	select {
	case c.settleSlots <- struct{}{}:
	default:
		c.logUnsettled(step, &request, errTooManySettling)
		return
	}
	c.settling.Go(func() {
		defer func() { <-c.settleSlots }()
		err := c.retry(timeout, operation)
		if err != nil && !errors.Is(err, errNotHeld) && !errors.Is(err, errAbsent) {
			c.logUnsettled(step, &request, err)
		}
	})
}

// logUnsettled logs that a claim is neither recorded nor released.
func (c *Claimer) logUnsettled(step string, request *claim.Request, err error) {
	c.log.Warn("claim neither recorded nor released; it stays pending until it expires",
		zap.String("step", step), zap.String("peer", storePeerName),
		zap.String("key", request.RowKey()), zap.Error(err))
}

// retry runs an operation until it succeeds, the row turns out to belong to another attempt or to
// be corrupt, the timeout is over, or the claimer stops.
func (c *Claimer) retry(timeout time.Duration, operation func(context.Context) error) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minSettleBackoff
	delays.MaxInterval = maxSettleBackoff
	_, err := backoff.Retry(c.settleCtx, func() (struct{}, error) {
		err := operation(c.settleCtx)
		if errors.Is(err, errNotHeld) || errors.Is(err, claim.ErrCorrupt) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(timeout))
	return err
}
