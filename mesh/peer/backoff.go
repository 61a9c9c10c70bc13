package peer

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the jittered wait after a failed dial.
const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
)

// dialBackoff refuses dials to a host for a growing time after failures.
type dialBackoff struct {
	host string

	mu      sync.Mutex
	delays  *backoff.ExponentialBackOff
	retryAt time.Time
	lastErr error
}

func newDialBackoff(host string) *dialBackoff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minDialBackoff
	delays.MaxInterval = maxDialBackoff
	return &dialBackoff{host: host, delays: delays}
}

// check returns the last failure if it is too recent for another dial.
func (b *dialBackoff) check() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.retryAt) {
		return stepError(ErrDial, "back off", b.host, b.lastErr)
	}
	return nil
}

// note takes in the outcome of a dial. Failures of dials that ran side by
// side count once.
func (b *dialBackoff) record(err error) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.delays.Reset()
		b.retryAt = time.Time{}
		return
	}
	b.lastErr = err
	if now.After(b.retryAt) {
		b.retryAt = now.Add(b.delays.NextBackOff())
	}
}
