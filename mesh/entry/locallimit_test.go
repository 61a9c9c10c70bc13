package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// shortDialer fails with a shortage of this host while short is set.
type shortDialer struct {
	Dialer
	short atomic.Bool
}

func (d *shortDialer) OpenStream(ctx context.Context, host, address string) (Stream, error) {
	if d.short.Load() {
		return nil, fmt.Errorf("dial %s: %w", host, ErrLocalLimit)
	}
	return d.Dialer.OpenStream(ctx, host, address)
}

func TestShortageOnThisHostDoesNotCountAgainstOtherHosts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, "ok"), respondsWith(200, "ok")))
	dialer := &shortDialer{Dialer: f.hosts}
	f.entry.deps.Dialer = dialer
	dialer.short.Store(true)
	for range 20 {
		response, err := f.client.Get(f.url + "/catalog")
		is.NoErr(err)
		_ = response.Body.Close()
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	}
	dialer.short.Store(false)
	for range 10 {
		response, err := f.client.Get(f.url + "/catalog")
		is.NoErr(err)
		_ = response.Body.Close()
		is.Equal(response.StatusCode, http.StatusOK)
	}
	for _, attempt := range f.attempts.all[:2] {
		is.Equal(attempt.Reason, ReasonLocalLimit)
	}
	last := f.attempts.all[len(f.attempts.all)-1]
	is.Equal(last.Host, "a0") // the nearest host is still the first choice
}
