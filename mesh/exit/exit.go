// Package exit is the receiving side of the mesh, in front of the local targets. The entry of a
// daemon receives the requests of callers and sends each to a host; the exit on that host dispatches
// it to a target there and relays the response. Admission control bounds the outstanding requests of
// each target. A refusal is sent only for a request of which no byte was written to a target, or
// which the target reports as not executed.
package exit

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/departure"
	"sassafrasnotch.example/coord/descriptors"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/nested"
	"sassafrasnotch.example/mesh/clientmemory"
	"sassafrasnotch.example/mesh/limitedconn"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/steperr"
)

// Exit serves the requests for the targets of its host. It implements
// peer.RequestHandler and is safe for concurrent use.
type Exit struct {
	settings        settings.Exit
	self            peer.Identity
	log             *zap.Logger
	latencyBound    func(service, route string) time.Duration
	conventions     Conventions
	observeWait     func(service string, wait time.Duration)
	outcomes        outcomes
	targetConns     *limitedconn.Limit
	healthPath      func(service string) string
	healthTransport *http.Transport // for warm targets
	coldPolicy      func(service string) ColdPolicy
	origins         *nested.Origins
	parents         *nested.Parents
	memory          *clientmemory.Memory // nil has no limit
	// departuresKnown means that no earlier process of this daemon has acknowledged departures.
	departuresKnown bool
	startedAt       time.Time

	changeMu        sync.Mutex      // serializes calls of onChange; locked before mu
	reportedTargets []gossip.Target // passed to onChange last; guarded by changeMu

	mu          sync.Mutex
	targets     map[string]*target // by instance
	versions    map[versionKey][]*target
	removedAt   map[string]removal    // removed targets, by instance
	withdrawals map[string]withdrawal // withdrawn targets, by instance
	departures  *departure.Ledger
	held        map[string]*heldTarget // by instance
	recorded    chan struct{}          // closed and replaced by DeparturesRecorded
	departed    bool                   // a departure was recorded and not yet notified
	onDeparture func()
	crashes     crashTracker
	onChange    func([]gossip.Target)
	onCrash     func(CrashReport)
	leaving     bool
	evacuated   bool // see SetEvacuated
	coldPeriods uint64
	// evacuationRefusals is the number of requests refused because of an evacuation.
	evacuationRefusals uint64
	// doubted holds the instances that were removed without their own word, and may have restarted, with
	// the time.
	doubted         map[string]time.Time
	lastAdmissionID uint64
	inFlight        int           // requests that hold a slot or are queued
	drained         chan struct{} // closed when the host is leaving and no request is in flight
}

type versionKey struct{ service, version string }

// Option configures an Exit.
type Option func(*Exit)

// WithLatencyBound sets the function that returns the duration above which a response on the route
// of the service counts as slow; 0 means no bound. The bound is also the soft deadline of admission
// control.
func WithLatencyBound(bound func(service, route string) time.Duration) Option {
	return func(e *Exit) { e.latencyBound = bound }
}

// WithConventions sets the header fields and HTTP behaviour that targets expect; without it,
// DefaultConventions apply.
func WithConventions(c Conventions) Option {
	return func(e *Exit) { e.conventions = c }
}

// WithBudget makes the connections to targets count in the budget; without it, they are not limited.
func WithBudget(budget *descriptors.Budget) Option {
	return func(e *Exit) { e.targetConns.Budget = budget }
}

// WithQueueObserver sets the function that receives the queueing time of each request that
// obtained a slot.
func WithQueueObserver(observeWait func(service string, wait time.Duration)) Option {
	return func(e *Exit) { e.observeWait = observeWait }
}

// New returns an Exit without targets.
func New(s settings.Exit, self peer.Identity, log *zap.Logger, opts ...Option) *Exit {
	e := &Exit{
		observeWait:  func(string, time.Duration) {},
		settings:     s,
		self:         self,
		log:          log,
		latencyBound: func(string, string) time.Duration { return 0 },
		conventions:  DefaultConventions,
		withdrawals:  make(map[string]withdrawal),
		removedAt:    make(map[string]removal),
		startedAt:    time.Now(),
		held:         make(map[string]*heldTarget),
		recorded:     make(chan struct{}),
		healthPath:   func(string) string { return "" },
		coldPolicy:   func(string) ColdPolicy { return ColdPolicy{Known: true} },
		doubted:      make(map[string]time.Time),
		onDeparture:  func() {},
		origins:      nested.NewOrigins(),
		parents:      nested.NewParents(),
		outcomes:     newOutcomes(self.Zone),
		targetConns:  &limitedconn.Limit{Budget: descriptors.Unlimited(), Part: descriptors.Targets},
		targets:      make(map[string]*target),
		versions:     make(map[versionKey][]*target),
		crashes:      newCrashTracker(self.Host),
		onChange:     func([]gossip.Target) {},
		onCrash:      func(CrashReport) {},
		drained:      make(chan struct{}),
	}
	e.departuresKnown = true
	for _, opt := range opts {
		opt(e)
	}
	e.healthTransport = e.newHealthTransport()
	e.departures = departure.NewLedger(departure.Policy{Retention: withdrawalRetention, Evidence: s.AnnounceTTL.Std()}, e.departuresKnown)
	return e
}

// Configure replaces the settings that apply to later announcements. Targets keep the queue
// length that they were added with.
func (e *Exit) Configure(s settings.Exit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings = s
}

// ServeRequest admits and dispatches one request and sends the response, refusal or failure on the
// stream. It reports whether the stream can be reused.
func (e *Exit) ServeRequest(ctx context.Context, _ peer.Identity, first *peerpb.CallFrame, s *peer.Stream) (reusable bool) {
	c, cancel := e.newCallerRequest(ctx, first.GetHead(), s)
	defer cancel()
	release, refusal := c.holdMemory()
	defer release()
	if refusal == nil {
		refusal = c.admit()
	}
	if refusal != nil {
		if c.head.MaxWaitMicros == nil || !refusal.byAdmission {
			e.outcomes.addRefused(c.outcomeKey())
		}
		return c.sendRefusal(refusal) && c.body.fullyRead()
	}
	if refusal := c.confirm(); refusal != nil {
		e.releaseUnused(c)
		e.endInFlight()
		e.outcomes.addRefused(c.outcomeKey())
		c.sendRefusal(refusal)
		return false // the frame that allows the dispatch may still come
	}
	started := time.Now()
	c.beginRun(started)
	result := c.dispatch()
	elapsed := time.Since(started)
	c.endRun(result, elapsed)
	e.release(c, result, elapsed)
	c.countOutcome(result, elapsed)
	return (result.kind == responded || result.refusalSent) && c.body.fullyRead()
}

// Drain refuses new requests from now on and waits until those in flight have ended. If ctx ends
// first, it returns an error that wraps that of ctx.
func (e *Exit) Drain(ctx context.Context) error {
	e.beginDrain()
	select {
	case <-e.drained:
		return nil
	case <-ctx.Done():
		return steperr.Wrap(ctx.Err(), "drain", e.self.Host)
	}
}

// Close closes the idle connections to the targets, and those in use once their
// requests have ended. It is called after Drain.
func (e *Exit) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.targets {
		t.conns.close()
	}
	e.healthTransport.CloseIdleConnections()
}

func (e *Exit) beginDrain() {
	e.mu.Lock()
	if e.leaving {
		e.mu.Unlock()
		return
	}
	e.leaving = true
	for _, t := range e.targets {
		t.startLeaving()
	}
	if e.inFlight == 0 {
		close(e.drained)
	}
	e.mu.Unlock()
	e.notifyChange()
}
