// Package source follows the configuration that operators write straight to the
// platform's store, and the moves of traffic that they order there. Each daemon
// reads for itself, so that it needs no other daemon to come up to date; a
// newer revision that gossip reports makes it read at once.
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
	// feedWait is how long the store may hold back an answer without changes:
	// the longest that it allows, as each call costs.
	feedWait = 30 * time.Second
	// Pauses after a failed read; the first follows soon, as a changed
	// configuration has to be in force within ApplyWithin.
	retryFirst = 100 * time.Millisecond
	retryLimit = time.Second
	// nudgeSpacing is the least time between two reads that gossip asked for.
	nudgeSpacing = 500 * time.Millisecond
)

// Members tells and learns revisions by gossip.
type Members interface {
	SetRevision(revision uint64)
}

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
	reader  Reader
	moves   Moves
	members Members
	logger  *zap.Logger

	timing Timing

	mu       sync.Mutex
	view     *view
	onApply  []func(*revision.Snapshot)
	applied  atomic.Pointer[applied]
	rejected atomic.Pointer[string]

	reachable atomic.Bool
	head      atomic.Uint64
	nudged    chan struct{}
	nudgedAt  time.Time // guarded by mu
	// pending tells the goroutine that follows moves that one is running.
	pending chan struct{}
	stop    context.CancelFunc
	running sync.WaitGroup
}

type applied struct {
	snapshot *revision.Snapshot
	at       time.Time
}

// New returns a source that holds no configuration yet.
func New(reader Reader, moves Moves, members Members, timing Timing, logger *zap.Logger) *Source {
	return &Source{
		reader:  reader,
		moves:   moves,
		members: members,
		logger:  logger,
		view:    newView(timing.Settle),
		timing:  timing,
		nudged:  make(chan struct{}, 1),
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

// PlatformReachable reports whether the last read of the store worked.
func (s *Source) PlatformReachable() bool { return s.reachable.Load() }

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

// NoteRevision takes in the newest revision that another daemon has applied.
func (s *Source) NoteRevision(newest uint64, _ string) {
	s.head.Store(max(newest, s.head.Load()))
	if snapshot := s.Snapshot(); snapshot != nil && snapshot.Revision() >= newest {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.nudgedAt) < nudgeSpacing {
		return
	}
	s.nudgedAt = time.Now()
	select {
	case s.nudged <- struct{}{}:
	default:
	}
}

// Start begins to follow the store.
func (s *Source) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.running.Go(func() { s.follow(ctx) })
	s.running.Go(func() { s.followMoves(ctx) })
}

// Stop ends all activity and waits for it.
func (s *Source) Stop() {
	s.stop()
	s.running.Wait()
}

// follow keeps the operator's rows current.
func (s *Source) follow(ctx context.Context) {
	f := follower[Changes]{
		name:    "operator rows",
		logger:  s.logger,
		read:    s.readAll,
		await:   s.reader.Await,
		through: func(c Changes) uint64 { return c.Through },
		apply:   s.apply,
		contact: s.contact,
		nudge:   s.nudged,
		spacing: time.Duration(float64(s.timing.ApplyWithin) * spacingPart),
	}
	f.run(ctx)
}

// readAll reads the operator's rows, and those of moves first put in force, so
// that a daemon that starts does not take a finished move for a new one.
func (s *Source) readAll(ctx context.Context) (Changes, error) {
	changes, err := s.reader.Read(ctx)
	if err != nil || len(changes.Orders) == 0 {
		return changes, err
	}
	moves, err := s.moves.ReadMoves(ctx)
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
	f := follower[MoveChanges]{
		name:    "move rows",
		logger:  s.logger,
		read:    s.moves.ReadMoves,
		await:   s.moves.AwaitMoves,
		through: func(c MoveChanges) uint64 { return c.Through },
		apply:   s.applyMoves,
		idle:    func() bool { return !s.moving() },
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
func (s *Source) apply(changes Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, invalid := range changes.Invalid {
		s.reject(invalid.Key, invalid.Written, invalid.Cause)
	}
	for _, configuration := range changes.Configurations {
		if err := s.view.configure(configuration); err != nil {
			s.reject("configuration", configuration.Written, err)
		}
	}
	for _, order := range changes.Orders {
		if s.view.order(order, s.reader.Now()) {
			s.logger.Info("move ordered", zap.String("service", order.Service),
				zap.String("version", order.Version), zap.Duration("within", order.Within),
				zap.Uint64("ticket", order.Written))
		}
	}
	s.publish()
	if s.view.moving() {
		select {
		case s.pending <- struct{}{}:
		default:
		}
	}
}

func (s *Source) applyMoves(changes MoveChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, invalid := range changes.Invalid {
		s.reject(invalid.Key, invalid.Written, invalid.Cause)
	}
	for _, row := range changes.Moves {
		s.view.move(row)
	}
	s.publish()
}

func (s *Source) reject(key string, written uint64, cause error) {
	text := key + ": " + cause.Error()
	s.rejected.Store(&text)
	s.logger.Warn("row ignored", zap.String("key", key), zap.Uint64("revision", written), zap.Error(cause))
}

// publish puts the state in force if it changed. The caller holds the lock.
func (s *Source) publish() {
	if !s.view.changed {
		return
	}
	next, err := s.view.snapshot()
	if err != nil {
		s.reject("configuration", s.view.configuration.Written, err)
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
		zap.Int("moves", len(next.Moving())))
	for _, notify := range s.onApply {
		notify(next)
	}
}
