// Package source follows the configuration that operators write straight to the
// platform's store, and the moves of traffic that they order there. Readers of each
// availability zone follow the store's feed; the other daemons follow a reader, and
// read the store themselves as soon as none tells them that it is current. A newer
// revision that gossip reports is asked for at once. Daemons hand over whole rows
// with the version of the store at which each was written, so that rows may come
// from anywhere, in any order, and none goes back.
package source

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/revision"
)

const (
	// feedWait is how long the store may hold back an answer without changes. Each
	// call costs, but an answer that was lost shows only when the wait is over.
	feedWait = 10 * time.Second
	// Pauses after a failed read; the first follows soon, as a changed
	// configuration has to be in force within ApplyWithin.
	retryFirst = 100 * time.Millisecond
	retryLimit = time.Second
	// nudgeSpacing is the least time between two reads that gossip asked for.
	nudgeSpacing = 500 * time.Millisecond
)

// Timing bounds what a source does.
type Timing struct {
	// ApplyWithin is the time within which a written configuration is to be in
	// force.
	ApplyWithin time.Duration
	// Settle is the time without calls to the old version before a move is done.
	Settle time.Duration
}

// spacingPart is the part of Timing.ApplyWithin that passes between a change and
// the next look for changes. Most of the bound is left for a read that fails.
const spacingPart = 0.3

// Source keeps the daemon's copy of the configuration.
type Source struct {
	self    Self
	rows    OperatorReader
	moves   RolloutReader
	members Members
	peers   Peers
	logger  *zap.Logger

	timing Timing

	mu       sync.Mutex
	view     *view
	changed  chan struct{} // closed at the next change of the view; guarded by mu
	encoded  encodedRows   // guarded by mu
	onApply  []func(*revision.Snapshot)
	applied  atomic.Pointer[applied]
	rejected atomic.Pointer[string]

	// reachable tells whether the last read of the store worked, direct whether this
	// daemon follows the store besides.
	reachable atomic.Bool
	direct    atomic.Bool
	// reader is the host that is followed, nil while the store is.
	reader   atomic.Pointer[string]
	head     atomic.Uint64
	nudged   chan struct{}
	nudgedAt time.Time // guarded by mu
	// resumed tells the goroutine that follows the store to go on, pending the one
	// that follows moves that one is running.
	resumed chan struct{}
	pending chan struct{}
	stop    context.CancelFunc
	stopped context.Context
	running sync.WaitGroup
}

type applied struct {
	snapshot *revision.Snapshot
	at       time.Time
}

// New returns a source that holds no configuration yet.
func New(self Self, rows OperatorReader, moves RolloutReader, members Members, peers Peers, timing Timing, logger *zap.Logger) *Source {
	return &Source{
		self:    self,
		rows:    rows,
		moves:   moves,
		members: members,
		peers:   peers,
		logger:  logger,
		view:    newView(timing.Settle),
		changed: make(chan struct{}),
		timing:  timing,
		nudged:  make(chan struct{}, 1),
		resumed: make(chan struct{}, 1),
		pending: make(chan struct{}, 1),
	}
}

// Snapshot returns the configuration in force, or nil if there is none yet.
func (s *Source) Snapshot() *revision.Snapshot {
	if current := s.applied.Load(); current != nil {
		return current.snapshot
	}
	return nil
}

// AppliedAt returns the time at which the present revision came into force.
func (s *Source) AppliedAt() time.Time {
	if current := s.applied.Load(); current != nil {
		return current.at
	}
	return time.Time{}
}

// Head returns the newest revision known to exist.
func (s *Source) Head() uint64 {
	newest := s.head.Load()
	if snapshot := s.Snapshot(); snapshot != nil {
		newest = max(newest, snapshot.Revision())
	}
	return newest
}

// PlatformReachable reports whether the last read of the store worked, or that of
// the reader that is followed.
func (s *Source) PlatformReachable() bool { return s.watching() || s.reachable.Load() }

// LastRejection describes the last row that could not be applied.
func (s *Source) LastRejection() string {
	if text := s.rejected.Load(); text != nil {
		return *text
	}
	return ""
}

// OnApply registers a function that is called with each snapshot that comes into
// force, in order. It is called before Start.
func (s *Source) OnApply(notify func(*revision.Snapshot)) { s.onApply = append(s.onApply, notify) }

// NoteRevision takes in the newest revision that another daemon has applied. A
// daemon that follows the store reads it; one that does not asks the other daemon,
// unless its reader brings the revision first.
func (s *Source) NoteRevision(newest uint64, host string) {
	s.head.Store(max(newest, s.head.Load()))
	if s.holds(newest) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped == nil || s.stopped.Err() != nil || time.Since(s.nudgedAt) < nudgeSpacing {
		return
	}
	s.nudgedAt = time.Now()
	switch {
	case s.watching():
		s.running.Go(func() { s.fetch(newest, host, s.part(fetchPart)) })
	case s.direct.Load():
		wake(s.nudged) // the feed may have gone silent
	default:
		s.running.Go(func() { s.fetch(newest, host, 0) })
	}
}

// fetch pulls a revision from the host that reported it if it is not in force after
// the wait. If that does not bring it, the store is read.
func (s *Source) fetch(newest uint64, host string, wait time.Duration) {
	sleep(s.stopped, wait)
	if s.holds(newest) || s.stopped.Err() != nil {
		return
	}
	if _, err := s.pull(s.stopped, host, 0); err != nil {
		s.logger.Info("newer revision not pulled", zap.String("peer", host), zap.Uint64("revision", newest), zap.Error(err))
	}
	if !s.holds(newest) {
		s.followStore()
	}
}

// holds reports whether a revision is in force.
func (s *Source) holds(revision uint64) bool {
	snapshot := s.Snapshot()
	return snapshot != nil && snapshot.Revision() >= revision
}

// wake lets the goroutine that waits for the signal go on.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Start begins to follow the store.
func (s *Source) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.stop, s.stopped = cancel, ctx
	s.mu.Unlock()
	wake(s.resumed)
	s.running.Go(func() { s.follow(ctx) })
	s.running.Go(func() { s.followMoves(ctx) })
	s.running.Go(func() { s.watch(ctx) })
}

// Stop ends all activity and waits for it.
func (s *Source) Stop() {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	s.running.Wait()
}

// follow keeps the operator's rows current while no reader is followed.
func (s *Source) follow(ctx context.Context) {
	f := follower[OperatorChanges]{
		name:    "operator rows",
		logger:  s.logger,
		read:    s.readAll,
		await:   s.rows.Await,
		through: func(c OperatorChanges) uint64 { return c.Through },
		apply:   s.apply,
		idle:    s.idle,
		contact: s.contact,
		nudge:   s.nudged,
		spacing: s.part(spacingPart),
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.resumed:
			f.restart = true
			f.run(ctx)
			s.direct.Store(false)
		}
	}
}

// readAll reads the operator's rows, and those of moves first put in force, so
// that a daemon that starts does not take a finished move for a new one.
func (s *Source) readAll(ctx context.Context) (OperatorChanges, error) {
	changes, err := s.rows.Read(ctx)
	if err != nil || len(changes.Orders) == 0 {
		return changes, err
	}
	moves, err := s.moves.ReadRollouts(ctx)
	if err != nil {
		s.logger.Info("rows not read", zap.String("rows", "moves"), zap.Error(err))
		return changes, nil // the configuration has to be in force in time
	}
	s.applyMoves(moves)
	return changes, nil
}

// followMoves keeps the rows of moves current while one is running. At other
// times it costs no call.
func (s *Source) followMoves(ctx context.Context) {
	f := follower[RolloutChanges]{
		name:    "move rows",
		logger:  s.logger,
		read:    s.moves.ReadRollouts,
		await:   s.moves.AwaitRollouts,
		through: func(c RolloutChanges) uint64 { return c.Through },
		apply:   s.applyMoves,
		idle:    func() bool { return s.idle() || !s.moving() },
		contact: func(bool) {},
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pending:
			f.restart = true
			f.run(ctx)
		}
	}
}

func (s *Source) contact(reached bool) {
	s.direct.Store(reached)
	if s.reachable.Swap(reached) == reached {
		return
	}
	if reached {
		s.logger.Info("store reached")
		return
	}
	s.logger.Warn("store lost")
}

// moving reports whether a move has no verdict yet.
func (s *Source) moving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.moving()
}

// apply takes in changed rows of the operator.
func (s *Source) apply(changes OperatorChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, invalid := range changes.Invalid {
		s.reject(invalid.Key, invalid.StoreVersion, invalid.Cause)
	}
	for _, configuration := range changes.Configurations {
		if err := s.view.configure(configuration); err != nil {
			s.reject("configuration", configuration.StoreVersion, err)
		}
	}
	for _, order := range changes.Orders {
		if s.view.order(order, s.rows.Now()) {
			s.logger.Info("move ordered", zap.String("service", order.Service),
				zap.String("version", order.Version), zap.Duration("within", order.Within),
				zap.Uint64("ticket", order.StoreVersion))
		}
	}
	s.publish(storeName)
	if s.view.moving() {
		wake(s.pending)
	}
}

func (s *Source) applyMoves(changes RolloutChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, invalid := range changes.Invalid {
		s.reject(invalid.Key, invalid.StoreVersion, invalid.Cause)
	}
	for _, row := range changes.Rollouts {
		s.view.move(row)
	}
	s.publish(storeName)
}

func (s *Source) reject(key string, written uint64, cause error) {
	text := key + ": " + cause.Error()
	s.rejected.Store(&text)
	s.logger.Warn("row ignored", zap.String("key", key), zap.Uint64("revision", written), zap.Error(cause))
}

// storeName is the store's name as the origin of a state.
const storeName = "store"

// publish puts the state in force if it changed. The caller holds the lock.
func (s *Source) publish(origin string) {
	if !s.view.changed {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.encoded = encodedRows{}
	next, err := s.view.snapshot()
	if err != nil {
		s.reject("configuration", s.view.configuration.StoreVersion, err)
		return
	}
	if next == nil {
		return // no configuration yet
	}
	s.view.changed = false
	s.applied.Store(&applied{snapshot: next, at: time.Now()})
	s.members.SetRevision(next.Revision())
	s.logger.Info("configuration applied", zap.Uint64("revision", next.Revision()),
		zap.Uint64("ticket", s.view.configuration.Number), zap.Int("routes", len(s.view.configuration.Routes)),
		zap.Int("moves", len(next.Moving())), zap.String("origin", origin))
	for _, notify := range s.onApply {
		notify(next)
	}
}
