// Package source follows the configuration that operators write straight to the
// platform's store, and the moves of traffic that they order there. Each daemon
// reads for itself, so that it needs no other daemon to come up to date; a
// newer revision that gossip reports makes it read at once.
package source

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
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

// Reader reads what operators wrote.
type Reader interface {
	// Read returns all that is in force.
	Read(ctx context.Context) (Changes, error)
	// Await returns what changed after a version of the store, once there is
	// something or the wait is over. The error is store.ErrTrimmed if the store
	// no longer knows.
	Await(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// Now returns the time of the store's clock.
	Now() time.Time
}

// Moves reads the rows of moves.
type Moves interface {
	// ReadMoves returns the state of every move.
	ReadMoves(ctx context.Context) (MoveChanges, error)
	// AwaitMoves is to ReadMoves what Reader.Await is to Reader.Read.
	AwaitMoves(ctx context.Context, after uint64, wait time.Duration) (MoveChanges, error)
}

// Changes are rows of the operator, decoded.
type Changes struct {
	// Through is the version of the store to continue from.
	Through        uint64
	Configurations []Configuration // in the order of their writing
	Orders         []Order
	// Invalid are the rows that could not be decoded; nothing of them applies.
	Invalid []Invalid
}

// Configuration is the whole accepted state at one version.
type Configuration struct {
	// Number is the operator's version, the number of its ticket.
	Number uint64
	// Written is the version of the store at which it was written.
	Written  uint64
	Services []revision.Service
	Routes   []revision.Route
}

// Order is the order to move a service's traffic to a version.
type Order struct {
	Service string
	Version string
	Within  time.Duration
	// Written is the version of the store at which it was given.
	Written uint64
}

// Invalid is a row that could not be decoded.
type Invalid struct {
	Key     string
	Written uint64
	Cause   error
}

// MoveChanges are rows of moves, decoded.
type MoveChanges struct {
	Through uint64
	Moves   []MoveRow
	Invalid []Invalid
}

// MoveRow is the state of a move with the version of the store at which it was
// written.
type MoveRow struct {
	rollout.State
	Written uint64
}

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

// follower reads a set of rows and then the changes to them.
type follower[C any] struct {
	name    string
	logger  *zap.Logger
	read    func(context.Context) (C, error)
	await   func(context.Context, uint64, time.Duration) (C, error)
	through func(C) uint64
	apply   func(C)
	// idle reports that there is nothing to follow; nil means never.
	idle    func() bool
	contact func(reached bool)
	// nudge ends a wait for changes and makes the next exchange a read; it may
	// be nil.
	nudge <-chan struct{}
	// spacing is the pause after a change, so that changes in quick succession
	// share a read.
	spacing time.Duration

	after uint64
	// restart makes the next exchange a read of all rows.
	restart bool
	known   bool
}

// run follows until the context ends or the follower is idle.
func (f *follower[C]) run(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil && (f.idle == nil || !f.idle() || f.restart) {
		changes, err := f.exchange(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errNudged):
			f.logger.Info("read ahead of the feed", zap.String("rows", f.name), zap.Uint64("after", f.after), zap.Error(err))
			f.restart = true
		case errors.Is(err, store.ErrTrimmed):
			f.logger.Info("history of the store is gone", zap.String("rows", f.name), zap.Uint64("after", f.after))
			f.restart = true
		case err != nil:
			f.contact(false)
			f.logger.Info("rows not read", zap.String("rows", f.name), zap.Error(err))
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, retryLimit)
		default:
			pause = retryFirst
			f.contact(true)
			f.known, f.restart = true, false
			f.after = f.through(changes)
			f.apply(changes)
			sleep(ctx, f.spacing)
		}
	}
}

func (f *follower[C]) exchange(ctx context.Context) (C, error) {
	if f.restart || !f.known {
		return f.read(ctx)
	}
	return f.awaitChanges(ctx)
}

// awaitChanges returns errNudged if it was told to read instead.
func (f *follower[C]) awaitChanges(ctx context.Context) (C, error) {
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-f.nudge:
			cancel(errNudged)
		case <-waiting.Done():
		}
	}()
	changes, err := f.await(waiting, f.after, feedWait)
	if err != nil && errors.Is(context.Cause(waiting), errNudged) {
		err = errNudged
	}
	return changes, err
}

// errNudged ends a wait because another daemon has a newer revision.
var errNudged = errors.New("another daemon has a newer revision")

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
