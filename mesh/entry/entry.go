// Package entry serves callers: it matches a request's route, chooses a version
// and a host, hands the request to that host's daemon over a peer stream and
// relays the answer. What it tells a caller about a request is typed: refused
// means that the request certainly did not run, unknown that it may have.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

// Stream carries one call at a time. Send and Receive may run concurrently.
type Stream interface {
	Send(*peerpb.CallFrame) error
	Receive(*peerpb.CallFrame) error
	SetDeadline(time.Time) error
	// Release returns the stream for another call, Discard closes it.
	Release()
	Discard()
}

// Dialer opens streams to the daemons of other hosts and of this one.
type Dialer interface {
	// OpenCall returns a stream on which no byte was sent yet.
	OpenCall(ctx context.Context, host, address string) (Stream, error)
}

// Configuration yields the applied configuration.
type Configuration interface {
	// Snapshot returns nil until the daemon has applied a revision.
	Snapshot() *revision.Snapshot
}

// Deps are the parts that an entry works with.
type Deps struct {
	Configuration Configuration
	Dialer        Dialer
	// Claims holds the claims of keyed requests; without it they are refused.
	Claims Claims
	// AttemptObserver is told of every attempt; it may be nil.
	AttemptObserver AttemptObserver
	// RequestObserver is told of every call; it may be nil.
	RequestObserver RequestObserver
	Log             *zap.Logger
	// Conventions are DefaultConventions if left out.
	Conventions *Conventions
	// Service is the service of this host, told to targets as the origin.
	Service string
	// NewVersionHold is how long a version that appears at a service gets no calls
	// unless the configuration names it; 0 means not at all.
	NewVersionHold time.Duration
	// Random drives the balancing and is safe for concurrent use; nil means the
	// runtime's generator.
	Random balance.Source
}

// Entry is the http.Handler of the port that callers use.
type Entry struct {
	settings      settings.Entry
	self          balance.Place
	deps          Deps
	routing       *routing
	startedAt     time.Time
	lastAttemptID atomic.Uint64
	leaving       atomic.Bool
	service       atomic.Pointer[string] // of this host
	// keepAlivesDisabled is set while a stopping entry still serves new requests.
	keepAlivesDisabled atomic.Bool
}

// New returns an entry of the daemon at self.
func New(settings settings.Entry, self balance.Place, deps Deps) *Entry {
	if deps.Random == nil {
		deps.Random = runtimeSource{}
	}
	if deps.AttemptObserver == nil {
		deps.AttemptObserver = noopObserver{}
	}
	if deps.Conventions == nil {
		deps.Conventions = &DefaultConventions
	}
	if deps.Log == nil {
		deps.Log = zap.NewNop()
	}
	entry := &Entry{
		settings:  settings,
		self:      self,
		deps:      deps,
		routing:   newRouting(self, settings.Retry, deps.NewVersionHold),
		startedAt: time.Now(),
	}
	entry.service.Store(&deps.Service)
	// Attempt ids of a restarted daemon never meet those of its previous run.
	entry.lastAttemptID.Store(rand.Uint64())
	return entry
}

// SetMembers takes in a changed membership.
func (e *Entry) SetMembers(members []gossip.Member) { e.routing.setMembers(members) }

// SetHalted stops the choice of a version for as long as the move of the
// ticket runs.
func (e *Entry) SetHalted(service, version string, ticket uint64) {
	e.routing.setHalted(service, version, ticket)
}

// Configure changes the service of this host and the bounds of retries.
func (e *Entry) Configure(service string, retrySettings settings.Retry) {
	e.service.Store(&service)
	e.routing.setRetrySettings(retrySettings)
}

// RemainingRetries returns the retries that the budget of each called service holds.
func (e *Entry) RemainingRetries() map[string]float64 {
	remaining := make(map[string]float64)
	for service, plan := range *e.routing.plans.Load() {
		remaining[service] = plan.budget.Left()
	}
	return remaining
}

// DisableKeepAlives makes the entry end every caller's connection with its next answer.
func (e *Entry) DisableKeepAlives() { e.keepAlivesDisabled.Store(true) }

// Leave makes the entry refuse new requests; those in flight go on.
func (e *Entry) Leave() {
	e.keepAlivesDisabled.Store(true)
	e.leaving.Store(true)
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	c := &callerRequest{entry: e, writer: writer, httpRequest: request}
	if e.deps.RequestObserver != nil {
		defer c.reportResult()
	}
	if len(request.TransferEncoding) > 0 {
		// net/http drops a Content-Length beside Transfer-Encoding unseen. A peer
		// that framed by it must not find a second request in the rest (RFC 9112,
		// section 6.1), so the connection ends with this one.
		writer.Header().Set("Connection", "close")
	}
	if failed := c.admit(); failed != nil {
		c.writeFailure(failed)
		return
	}
	c.serve()
}

// limits returns the limits of the configuration in force.
func (e *Entry) limits() revision.CallerLimits {
	if snapshot := e.deps.Configuration.Snapshot(); snapshot != nil {
		return snapshot.CallerLimits()
	}
	return revision.CallerLimits{}
}

// now returns the monotonic time since the entry's start. It is never 0.
func (e *Entry) now() time.Duration { return time.Since(e.startedAt) + 1 }

// runtimeSource draws from the runtime's generator, which is safe for
// concurrent use.
type runtimeSource struct{}

func (runtimeSource) Uint64() uint64 { return rand.Uint64() }
