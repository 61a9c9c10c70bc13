package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/admission"
)

const (
	heldSlots, heldQueue = 6, 24
	heldWork             = 150 * time.Millisecond
	heldDeadline         = 2 * time.Second
)

// heldRequest is a request at a target that runs what it has begun, whether its caller waits or not, and
// drops what it has queued at the deadline.
type heldRequest struct {
	id                   uint64
	sent, ends, deadline time.Time // ends is zero while it is queued
	leaves               time.Time // when the caller gives up
	process              int       // the process of the daemon that sent it
}

// heldModel is one target that falls silent when full, the daemon beside it, and impatient callers.
type heldModel struct {
	random   *rand.Rand
	config   admission.Config
	target   *admission.Target
	now      time.Time
	process  int
	waiting  map[uint64]heldRequest
	held     []heldRequest
	mostHeld int
	served   int // while the caller waited
	lastID   uint64
}

// send adds a request to those that the target holds.
func (m *heldModel) send(r heldRequest) {
	r.sent, r.process = m.now, m.process
	m.held = append(m.held, r)
}

func (m *heldModel) apply(actions []admission.Action) {
	for _, action := range actions {
		r := m.waiting[action.ID]
		delete(m.waiting, action.ID)
		if action.Verdict == admission.Run {
			m.send(r)
		}
	}
}

// restart replaces the daemon's process. The target keeps what it holds.
func (m *heldModel) restart() {
	m.process++
	m.waiting = map[uint64]heldRequest{}
	m.config.Inherited = m.config.Slots
	m.target = admission.NewTarget(m.config, m.now)
}

// step plays a millisecond, in which a request arrives with the given probability and callers leave after
// patience.
func (m *heldModel) step(arrival float64, patience time.Duration) {
	m.now = m.now.Add(time.Millisecond)
	defer func() { m.mostHeld = max(m.mostHeld, len(m.held)) }()
	var kept []heldRequest
	running, before := 0, m.held
	m.held = nil // what is sent meanwhile comes behind
	for _, r := range before {
		own := r.process == m.process
		switch {
		case !r.ends.IsZero() && !r.ends.After(m.now):
			if own && r.leaves.After(m.now) {
				m.served++
				m.apply(m.target.RecordResponse(m.now))
				m.apply(m.target.Complete("", m.now.Sub(r.sent), m.now))
			}
			continue
		case r.ends.IsZero() && !r.deadline.After(m.now):
			continue // dropped
		}
		if r.ends.IsZero() && running < m.config.Slots {
			r.ends = m.now.Add(heldWork)
		}
		if !r.ends.IsZero() {
			running++
		}
		kept = append(kept, r)
	}
	m.held = append(kept, m.held...)
	for _, r := range before {
		if r.process == m.process && r.leaves.Equal(m.now) {
			m.apply(m.target.Abandon("", m.now.Sub(r.sent), r.deadline, m.now))
		}
	}
	for id, r := range m.waiting {
		if !r.leaves.After(m.now) {
			m.target.Cancel(id)
			delete(m.waiting, id)
		}
	}
	m.apply(m.target.Tick(m.now))
	if m.random.Float64() >= arrival {
		return
	}
	m.lastID++
	r := heldRequest{id: m.lastID, deadline: m.now.Add(heldDeadline), leaves: m.now.Add(min(patience, heldDeadline))}
	action, shed := m.target.Submit(admission.Request{ID: r.id, Deadline: r.deadline}, m.now)
	m.apply(shed)
	switch action.Verdict {
	case admission.Run:
		m.send(r)
	case admission.Wait:
		m.waiting[r.id] = r
	}
}

// Guards against requests beyond what a target can hold, which it never answers: callers that leave free
// slots here while the target still holds their requests, and a restarted daemon knows nothing of those that
// its former processes sent. The target must stay busy.
func TestTargetNeverHoldsMoreThanItsRoom(t *testing.T) {
	play := func(count bool, restartEvery int) *heldModel {
		config := admission.Config{Slots: heldSlots, QueueLength: 16, CountHeld: count, InitialSlots: 4}
		m := &heldModel{random: rand.New(rand.NewPCG(1, 1)), config: config, now: start, waiting: map[uint64]heldRequest{}}
		m.target = admission.NewTarget(config, m.now)
		for ms := range 9000 {
			patience := 30 * time.Millisecond
			if ms%4000 > 2000 {
				patience = time.Hour
			}
			if restartEvery > 0 && ms%restartEvery == restartEvery-1 {
				m.restart()
			}
			m.step(0.5, patience)
		}
		return m
	}
	is := is.New(t)
	for _, restartEvery := range []int{0, 3000, 900} { // ms
		counted, uncounted := play(true, restartEvery), play(false, restartEvery)
		t.Logf("restarts every %d ms: at most %d held, %d served; without the count %d held, %d served",
			restartEvery, counted.mostHeld, counted.served, uncounted.mostHeld, uncounted.served)
		is.True(counted.mostHeld <= heldSlots+heldQueue)
		is.True(uncounted.mostHeld > heldSlots+heldQueue) // the load tells the two apart
		is.True(counted.served > uncounted.served)
	}
}

// Guards against a target that gets nothing more once all its requests were given up, and against requests
// that count although the target has ended them.
func TestAbandonedRequestsCountUntilTheTargetHasEndedThem(t *testing.T) {
	is := is.New(t)
	target := admission.NewTarget(admission.Config{Slots: 2, QueueLength: 1, CountHeld: true}, start)
	run := func(id uint64, now time.Time) admission.Verdict {
		action, _ := target.Submit(admission.Request{ID: id, Deadline: now.Add(time.Minute), Bounded: true}, now)
		return action.Verdict
	}
	is.Equal(run(1, start), admission.Run)
	target.Complete("", 100*time.Millisecond, start)
	for id := range uint64(4) {
		is.Equal(run(10+id, start), admission.Run)
		target.Abandon("", 0, at(time.Second), start)
	}
	is.Equal(target.Abandoned(start), 4)
	waiting, _ := target.Submit(admission.Request{ID: 19, Deadline: at(time.Minute)}, start)
	is.Equal(waiting.Verdict, admission.Wait)
	next, ok := target.NextRun(start)
	is.True(ok)
	is.Equal(next, 1200*time.Millisecond) // the deadline and two service times
	is.True(target.Cancel(19))
	is.Equal(run(20, start), admission.Refuse)
	is.Equal(run(21, at(time.Second)), admission.Refuse) // those that it runs
	is.Equal(run(22, at(1201*time.Millisecond)), admission.Run)
	is.Equal(target.Abandoned(at(1201*time.Millisecond)), 0)

	// The response to a later request shows that those before it have begun.
	now := at(2 * time.Second)
	target.Abandon("", 0, now.Add(time.Hour), now)
	is.Equal(run(30, now), admission.Run)
	target.Complete("", 100*time.Millisecond, now.Add(100*time.Millisecond))
	is.Equal(target.Abandoned(now.Add(101*time.Millisecond)), 1)
	is.Equal(target.Abandoned(now.Add(time.Second)), 0)
}
