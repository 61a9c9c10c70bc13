package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

// bucketLimiter is a Limiter that holds a number of tokens.
type bucketLimiter struct {
	mutex    sync.Mutex
	tokens   int
	returned int
	bound    time.Duration
}

func (l *bucketLimiter) Acquire(_ context.Context, _ string, bound time.Duration) (bool, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.bound = bound
	if l.tokens == 0 {
		return false, 3 * time.Second
	}
	l.tokens--
	return true, 0
}

func (l *bucketLimiter) Return(string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.returned++
}

// newLimitedRequest returns a request of a tenant that has passed the other steps of the admission.
func newLimitedRequest(t *testing.T, limiter Limiter) *callerRequest {
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, "ok"), respondsWith(200, "ok")))
	f.entry.deps.Limiter = limiter
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://orders/catalog", http.NoBody)
	is.New(t).NoErr(err)
	return &callerRequest{entry: f.entry, httpRequest: request, tenant: &revision.Tenant{Name: "blue"},
		route: &revision.Route{Objective: revision.Duration(400 * time.Millisecond)}}
}

// A request beyond the limit is refused with 429, the time until the refill, and the outcome refused.
func TestRequestBeyondTheTenantsLimitIsRefused(t *testing.T) {
	is := is.New(t)
	limiter := &bucketLimiter{tokens: 1}
	c := newLimitedRequest(t, limiter)
	is.Equal(c.admitTenantLimit(), nil)
	is.Equal(limiter.bound, 50*time.Millisecond) // an eighth of the objective
	failed := c.admitTenantLimit()
	is.Equal(failed.reason, ReasonTenantLimit)
	is.Equal(failed.reason.httpStatus(), http.StatusTooManyRequests)
	is.Equal(failed.outcome.String(), "refused")
	is.Equal(failed.retryAfter, 3*time.Second)
	is.True(failed.retryable())
	is.True(strings.Contains(failed.detail, "blue"))
	is.True(!failed.reason.countsAgainstHost())
}

// A token is given back if no target ran the request, used by an attempt that may have run it, and taken
// anew for another attempt after that.
func TestTokensFollowTheAttempts(t *testing.T) {
	is := is.New(t)
	limiter := &bucketLimiter{tokens: 2}
	c := newLimitedRequest(t, limiter)
	is.Equal(c.admitTenantLimit(), nil)
	c.keepToken(c.useToken(), refused(ReasonOverloaded, stepAwait, ""))
	is.True(c.renewToken())
	is.Equal(limiter.tokens, 1) // the first token is still there
	c.keepToken(c.useToken(), unknown(ReasonLost, stepAwait, ""))
	is.True(c.renewToken())
	is.Equal(limiter.tokens, 0)
	c.returnToken()
	c.returnToken()
	is.Equal(limiter.returned, 1)
	is.True(!c.renewToken()) // no token, no attempt
}

// Requests without a tenant take no token.
func TestRequestWithoutTenantTakesNoToken(t *testing.T) {
	is := is.New(t)
	limiter := &bucketLimiter{}
	c := newLimitedRequest(t, limiter)
	c.tenant = nil
	is.Equal(c.admitTenantLimit(), nil)
	c.keepToken(c.useToken(), nil)
	is.True(c.renewToken())
	c.returnToken()
	is.Equal(limiter.returned, 0)
}
