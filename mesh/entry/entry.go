// Package entry serves the requests of callers. It matches a request to a route, chooses
// a version and a host, sends the request to that host's daemon over a peer stream and
// relays the response. Every response states a typed outcome: answered means that a target
// responded, refused that the request certainly was not run, unknown that it may have been
// run.
//
// The entry is the part of a daemon that receives callers' requests; the exit (package exit) is
// the part of the chosen host's daemon that passes them to a target there. Settings are those of
// this daemon (settings.Entry); the configuration is the snapshot in force (revision.Snapshot).
// Both hold limits. A keyed request is one whose route has revision.RepeatKeyed: it carries an
// idempotency key, which the entry claims before the dispatch, and its response is recorded with
// the claim, so that a later arrival of the request receives the recorded response.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/apikey"
	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/nested"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

// Stream carries one request at a time to the daemon of a host. Send and Receive may run
// concurrently.
type Stream interface {
	Send(*peerpb.CallFrame) error
	Receive(*peerpb.CallFrame) error
	SetDeadline(time.Time) error
	// KeepThroughSilence makes the exchange last to the deadline though the host falls silent,
	// which the function then learns. It applies to the request sent last.
	KeepThroughSilence(onSilence func())
	// ConfirmsDispatch reports whether the host honours CallHead.Confirm.
	ConfirmsDispatch() bool
	// Release returns the stream for another request, Discard closes it.
	Release()
	Discard()
}

// ErrLocalLimit means that this daemon, not the host, is short of what a stream needs.
var ErrLocalLimit = errors.New("entry: a limit of this daemon is reached")

// Dialer opens streams to the daemons of other hosts and to the local one.
type Dialer interface {
	// OpenStream returns a stream on which no byte has been sent. An error that says nothing about the
	// host wraps ErrLocalLimit.
	OpenStream(ctx context.Context, host, address string) (Stream, error)
}

// Configuration provides the configuration in force.
type Configuration interface {
	// Snapshot returns nil until the daemon has applied a revision.
	Snapshot() *revision.Snapshot
}

// ConfigurationCopy tells how far the configuration in force may lag behind that of the store.
type ConfigurationCopy interface {
	// Age returns the time since the store confirmed the configuration in force.
	Age() time.Duration
	// Superseded reports whether another daemon has a newer configuration.
	Superseded() bool
}

// Deps are the dependencies of an entry. Configuration and Dialer are required; Claims, the
// observers, Log, Conventions and Random may be nil.
type Deps struct {
	Configuration Configuration
	Dialer        Dialer
	// ConfigurationCopy tells how far the configuration may lag behind; nil means not at all. KeyRules
	// state what follows for API keys.
	ConfigurationCopy ConfigurationCopy
	KeyRules          apikey.Rules
	// Claims records the claims of keyed requests; without it keyed requests are refused.
	Claims Claims
	// Limiter limits the requests of tenants; without it there is no limit.
	Limiter Limiter
	// AttemptObserver receives every attempt; it may be nil.
	AttemptObserver AttemptObserver
	// RequestObserver receives the result of every request that matched a route; it may be nil.
	RequestObserver RequestObserver
	Log             *zap.Logger
	// Conventions defaults to DefaultConventions.
	Conventions *Conventions
	// Service is the origin service: the service of this host, which targets receive as the origin
	// of the requests that this entry sends, if Conventions.OriginHeader is set.
	Service string
	// Parents records the nested requests that arrive for what runs at the targets of this host; nil
	// if nothing is recorded.
	Parents *nested.Parents
	// NewVersionHold is how long a version that appears at a service is pending: it receives no
	// requests unless the configuration names it. 0 disables the hold.
	NewVersionHold time.Duration
	// Random drives load balancing and is safe for concurrent use; nil selects the
	// runtime's generator.
	Random balance.Source
}

// Entry is the http.Handler of the port that callers use.
type Entry struct {
	settings      settings.Entry
	self          balance.Locality
	deps          Deps
	routing       *routing
	nestedRoutes  *nested.Routes
	startedAt     time.Time
	lastAttemptID atomic.Uint64
	leaving       atomic.Bool
	service       atomic.Pointer[string] // of this host
	keyRules      atomic.Pointer[apikey.Rules]
	// serving is the number of callers' connections on which a request is served.
	serving atomic.Int64
	// keepAlivesDisabled is set from the start of a stop, while new requests are still served.
	keepAlivesDisabled atomic.Bool
	departedRequests   atomic.Uint64
	nestedRequests     atomic.Uint64
	// prefetches is the number of requests that were started early and whose responses are held.
	prefetches   atomic.Int64
	tenantShares tenantShares
}

// New returns an entry for the daemon at self.
func New(settings settings.Entry, self balance.Locality, deps Deps) *Entry {
	if deps.Random == nil {
		deps.Random = runtimeSource{}
	}
	if deps.AttemptObserver == nil {
		deps.AttemptObserver = noopObserver{}
	}
	if deps.Conventions == nil {
		deps.Conventions = &DefaultConventions
	}
	if deps.Parents == nil {
		deps.Parents = nested.NewParents()
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

		nestedRoutes: nested.NewRoutes(),
	}
	entry.service.Store(&deps.Service)
	entry.SetKeyRules(deps.KeyRules)
	// A random start keeps the attempt ids of a restarted daemon apart from those of its
	// previous run.
	entry.lastAttemptID.Store(rand.Uint64())
	return entry
}

// SetMembers replaces the member list from which targets are chosen.
func (e *Entry) SetMembers(members []gossip.Member) { e.routing.setMembers(members) }

// SetHalted halts a version of a service: it is not chosen for as long as the rollout of the
// ticket, which has it as its new version, runs.
func (e *Entry) SetHalted(service, version string, ticket uint64) {
	e.routing.setHalted(service, version, ticket)
}

// Configure sets the origin service (see Deps.Service) and the limits of retries.
func (e *Entry) Configure(service string, retrySettings settings.Retry) {
	e.service.Store(&service)
	e.routing.setRetrySettings(retrySettings)
}

// RemainingRetries returns the retries that remain in the budget of each service that has
// received requests.
func (e *Entry) RemainingRetries() map[string]float64 {
	remaining := make(map[string]float64)
	for service, plan := range *e.routing.plans.Load() {
		remaining[service] = plan.budget.Remaining()
	}
	return remaining
}

// DepartedRequests returns the number of attempts that were not made because the caller had closed its
// connection.
func (e *Entry) DepartedRequests() uint64 { return e.departedRequests.Load() }

// DisableKeepAlives makes the entry close each caller's connection after its next response.
func (e *Entry) DisableKeepAlives() { e.keepAlivesDisabled.Store(true) }

// Leave makes the entry refuse new requests and close each caller's connection after its next
// response; requests in flight continue.
func (e *Entry) Leave() {
	e.keepAlivesDisabled.Store(true)
	e.leaving.Store(true)
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	e.serving.Add(1)
	defer e.serving.Add(-1)
	conn := connOf(request.Context())
	started := conn.beginServing(request)
	defer conn.endServing()
	if started != nil {
		started.replyTo(writer, request)
		return
	}
	e.serveRequest(writer, request, conn)
}

// serveRequest serves one request of a caller. The connection is nil if it is unknown.
func (e *Entry) serveRequest(writer http.ResponseWriter, request *http.Request, conn *countedConn) {
	c := &callerRequest{entry: e, writer: writer, httpRequest: request, conn: conn}
	if c.guard = newBodyGuard(writer, request, conn); c.guard != nil {
		c.writer = c.guard
		defer c.guard.finish()
	}
	if e.deps.RequestObserver != nil {
		defer c.reportResult()
	}
	if len(request.TransferEncoding) > 0 {
		// net/http silently drops a Content-Length beside Transfer-Encoding. A peer that
		// framed the request by that length must not find a second request in the remainder
		// (RFC 9112, section 6.1), so the connection is closed after this request.
		writer.Header().Set("Connection", "close")
	}
	if failed := c.admit(); failed != nil {
		c.writeFailure(failed)
		return
	}
	c.serve()
}

// limits returns the caller limits of the configuration in force.
func (e *Entry) limits() revision.CallerLimits {
	if snapshot := e.deps.Configuration.Snapshot(); snapshot != nil {
		return snapshot.CallerLimits()
	}
	return revision.CallerLimits{}
}

// now returns the monotonic time since the entry was created. It is never 0.
func (e *Entry) now() time.Duration { return time.Since(e.startedAt) + 1 }

// runtimeSource draws from the runtime's generator, which is safe for concurrent use.
type runtimeSource struct{}

func (runtimeSource) Uint64() uint64 { return rand.Uint64() }
