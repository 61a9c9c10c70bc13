// Package source follows the configuration that operators write directly to the store, and the
// rollouts that they order there. The zone readers of each availability zone follow the store's
// change feed. The other daemons follow a zone reader, and read the store themselves as soon as no
// zone reader reports that it is current. A newer revision that gossip reports is requested at
// once. Daemons send each other whole rows with the version of the store at which each was written,
// so that rows may arrive from any daemon and in any order, and none is replaced by an older one.
package source

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/freshness"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/readers"
)

const (
	// minRetryBackoff and maxRetryBackoff bound the backoff after a failed read. The first one is
	// short, since a changed configuration has to be in force within Timing.ApplyWithin.
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = time.Second
)

// Timing holds the time bounds of a source.
type Timing struct {
	// ApplyWithin is the time within which a written configuration has to be in force.
	ApplyWithin time.Duration
	// Settle is the time without requests to the old version after which a rollout is completed.
	Settle time.Duration
}

// changePauseFraction is the fraction of Timing.ApplyWithin that passes between a response of the store
// and the next request for changes, so that changes in quick succession share one. The copies of the
// zone's followers stay current meanwhile.
const changePauseFraction = 0.25

// startPauseFraction is the fraction of Timing.ApplyWithin that passes between the first read of a
// starting daemon and its first request for changes. In that time it mostly learns from the
// membership which host reads the store for it, and needs no request.
const startPauseFraction = 0.6

// Source maintains the daemon's copy of the configuration. Once started, it is safe for
// concurrent use.
type Source struct {
	self     Self
	operator OperatorReader
	rollouts RolloutReader
	members  Members
	peers    Peers
	logger   *zap.Logger

	timing Timing
	bounds freshness.Bounds
	// copy tells how old the rows held here are, over all hosts that they came through.
	copy freshness.Copy

	mu            sync.Mutex
	state         *rowState     // guarded by mu
	changed       chan struct{} // closed at the next change of the state; guarded by mu
	encoded       encodedRows   // guarded by mu
	era           uint64        // latest era of the store that was read or heard of, 0 at first; guarded by mu
	onApply       []func(*revision.Snapshot)
	onRestored    []func()
	restorer      VerdictRestorer
	applied       atomic.Pointer[appliedSnapshot]
	lastRejection atomic.Pointer[string]

	// storeReachable is set if the last read of the store succeeded.
	storeReachable atomic.Bool
	// followsStore is set if, in addition, this daemon is following the store and no response is overdue.
	followsStore atomic.Bool
	// reader is the zone reader that is followed, nil while the store is.
	reader atomic.Pointer[string]
	latest atomic.Uint64 // latest revision that gossip reported
	// latestConfiguration is the latest revision of what operators wrote that gossip reported.
	latestConfiguration atomic.Uint64
	// reread makes the goroutine that follows the store read all rows.
	reread         chan struct{}
	lastGossipRead time.Time // guarded by mu
	// findReader makes the goroutine that follows zone readers look for one.
	findReader chan struct{}
	// resumeStore resumes the goroutine that follows the store, resumeRollouts the one that follows
	// the rows of rollouts while a rollout is running.
	resumeStore    chan struct{}
	resumeRollouts chan struct{}
	stop           context.CancelFunc
	stopped        context.Context // of all goroutines; ended by stop, nil before Start
	goroutines     sync.WaitGroup
}

// appliedSnapshot is a snapshot with the revisions of its parts and the time at which it came into force.
type appliedSnapshot struct {
	snapshot  *revision.Snapshot
	revisions gossip.Revisions
	at        time.Time
}

// New returns a source that holds no configuration yet.
func New(self Self, operator OperatorReader, rollouts RolloutReader, members Members, peers Peers, timing Timing, logger *zap.Logger) *Source {
	return &Source{
		self:           self,
		operator:       operator,
		rollouts:       rollouts,
		members:        members,
		peers:          peers,
		logger:         logger,
		state:          newRowState(timing.Settle),
		changed:        make(chan struct{}),
		timing:         timing,
		bounds:         freshness.Bounds{Apply: timing.ApplyWithin},
		findReader:     make(chan struct{}, 1),
		reread:         make(chan struct{}, 1),
		resumeStore:    make(chan struct{}, 1),
		resumeRollouts: make(chan struct{}, 1),
	}
}

// Snapshot returns the snapshot in force, or nil if there is none yet.
func (s *Source) Snapshot() *revision.Snapshot {
	if current := s.applied.Load(); current != nil {
		return current.snapshot
	}
	return nil
}

// AppliedAt returns the time at which the present snapshot came into force, or the zero time.
func (s *Source) AppliedAt() time.Time {
	if current := s.applied.Load(); current != nil {
		return current.at
	}
	return time.Time{}
}

// LatestRevision returns the latest revision that this daemon has applied or gossip has reported.
func (s *Source) LatestRevision() uint64 {
	latest := s.latest.Load()
	if snapshot := s.Snapshot(); snapshot != nil {
		latest = max(latest, snapshot.Revision())
	}
	return latest
}

// StoreReachable reports whether the last read of the store succeeded, by this daemon or by the
// zone reader that it follows.
func (s *Source) StoreReachable() bool { return s.followsReader() || s.storeReachable.Load() }

// Age returns the time since the store last confirmed what is held here, to this daemon or to one that
// it heard from, or freshness.Never.
func (s *Source) Age() time.Duration { return s.copy.Age(time.Now()) }

// LastRejection describes the last row that could not be applied, or returns "" if there is none.
func (s *Source) LastRejection() string {
	if text := s.lastRejection.Load(); text != nil {
		return *text
	}
	return ""
}

// OnApply registers a function that is called with each snapshot that comes into force, in order.
// OnApply must be called before Start.
func (s *Source) OnApply(notify func(*revision.Snapshot)) { s.onApply = append(s.onApply, notify) }

// signal sends to a buffered channel unless it already holds a signal.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Start starts the goroutines that follow the store or a zone reader.
func (s *Source) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.stop, s.stopped = cancel, ctx
	s.mu.Unlock()
	s.goroutines.Go(func() { s.followOperator(ctx) })
	s.goroutines.Go(func() { s.followRollouts(ctx) })
	s.goroutines.Go(func() { s.followReaders(ctx) })
}

// Stop stops all goroutines and waits for them. It must be called after Start.
func (s *Source) Stop() {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	s.goroutines.Wait()
}

// followOperator keeps the rows of operators current while no zone reader is followed.
func (s *Source) followOperator(ctx context.Context) {
	f := follower[OperatorChanges]{
		name:          "operator rows",
		logger:        s.logger,
		read:          s.readAll,
		await:         s.operator.Await,
		through:       func(c OperatorChanges) store.Position { return c.Through },
		apply:         s.applyOperator,
		idle:          s.idle,
		confirm:       s.recordResponse,
		reportOverdue: s.recordOverdue,
		reportFailure: s.recordFailure,
		reread:        s.reread,
		bounds:        s.bounds,
		pause:         s.pauseAfterChange,
	}
	if s.startFromPeer(ctx) {
		s.goroutines.Go(func() { s.awaitReader(ctx) })
	} else {
		signal(s.resumeStore)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.resumeStore:
			f.restart = true
			f.run(ctx)
			s.followsStore.Store(false)
		}
	}
}

// readAll reads the rows of operators. If there are orders that are not known yet, it also reads the
// rows of rollouts and applies those first, so that a starting daemon doesn't take a finished
// rollout for a new one. Those of known orders are followed by followRollouts while they run.
func (s *Source) readAll(ctx context.Context) (OperatorChanges, error) {
	changes, err := s.operator.Read(ctx)
	if err != nil || s.knowsOrders(changes.Orders) {
		return changes, err
	}
	rollouts, err := s.rollouts.ReadRollouts(ctx)
	if err != nil {
		s.logger.Info("rows not read", zap.String("rows", "rollout rows"), zap.Error(err))
		return changes, nil // the configuration has to be in force within Timing.ApplyWithin
	}
	s.applyRollouts(rollouts)
	return changes, nil
}

// knowsOrders reports whether all the orders are held already.
func (s *Source) knowsOrders(orders []RolloutOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, order := range orders {
		if held, ok := s.state.orders[order.Service]; !ok || held.Position < order.Position {
			return false
		}
	}
	return true
}

// followRollouts keeps the rows of rollouts current while a rollout is running. At other times it
// sends no requests to the store.
func (s *Source) followRollouts(ctx context.Context) {
	f := follower[RolloutChanges]{
		name:    "rollout rows",
		logger:  s.logger,
		read:    s.rollouts.ReadRollouts,
		await:   s.rollouts.AwaitRollouts,
		through: func(c RolloutChanges) store.Position { return c.Through },
		apply: func(c RolloutChanges) {
			s.applyRollouts(c)
			s.restoreVerdicts(ctx, c)
		},
		idle:          func() bool { return s.idle() || !s.rolloutRunning() },
		confirm:       func(time.Time) {},
		reportOverdue: func() {},
		reportFailure: func() {},
		bounds:        s.bounds,
		pause:         func(context.Context, bool) {},
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.resumeRollouts:
			f.restart = true
			f.run(ctx)
		}
	}
}

// recordResponse records that the store confirmed the rows held here, as of a time.
func (s *Source) recordResponse(asOf time.Time) {
	s.copy.Confirm(asOf)
	s.followsStore.Store(true)
	if !s.storeReachable.Swap(true) {
		s.logger.Info("store available")
	}
}

// recordOverdue records that a response of the store is overdue. A zone reader then asks others before
// its own copy expires.
func (s *Source) recordOverdue() {
	s.followsStore.Store(false)
	signal(s.findReader)
}

// recordFailure records that the last exchange with the store failed.
func (s *Source) recordFailure() {
	s.recordOverdue()
	if s.storeReachable.Swap(false) {
		s.logger.Warn("store unavailable")
	}
}

// pauseAfterChange waits until the next request for changes. After its first read, a starting daemon
// waits longer if it doesn't read the store for others.
func (s *Source) pauseAfterChange(ctx context.Context, first bool) {
	if !first {
		sleep(ctx, s.applyFraction(changePauseFraction)-s.Age())
		return
	}
	sleep(ctx, s.bounds.OverdueLimit()-s.Age())
	if !readers.HasFollowers(s.self.Host, s.self.Zone, s.members.Members()) {
		sleep(ctx, s.applyFraction(startPauseFraction)-s.Age())
	}
}

// rolloutRunning reports whether the rollout of any order has no final verdict yet.
func (s *Source) rolloutRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.rolloutRunning()
}
