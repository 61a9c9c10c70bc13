package peer

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"sassafrasnotch.example/mesh/limitedconn"
)

// Bounds of the delay, with jitter, after a failed dial.
const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
)

// dialBackoff rejects dials to a host after a failed one, for an exponentially growing delay.
type dialBackoff struct {
	host string

	mu      sync.Mutex
	delays  *backoff.ExponentialBackOff
	retryAt time.Time // time before which no dial is allowed; zero after a successful dial
	lastErr error
}

func newDialBackoff(host string) *dialBackoff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minDialBackoff
	delays.MaxInterval = maxDialBackoff
	return &dialBackoff{host: host, delays: delays}
}

// check returns nil if another dial is due, else an error with the last failure.
func (b *dialBackoff) check() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.retryAt) {
		return stepError(ErrDial, "back off", b.host, b.lastErr)
	}
	return nil
}

// record records the result of a dial. Failures of dials that ran concurrently count once; those that
// arose on this host don't count.
func (b *dialBackoff) record(err error) {
	if limitedconn.IsShortage(err) {
		return
	}
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
