package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasnotch.example/coord/admission"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func request(id uint64, deadline time.Duration, priority int) admission.Request {
	return admission.Request{ID: id, Deadline: at(deadline), Priority: priority}
}

// newWarmTarget returns an empty target whose slots are all open.
func newWarmTarget(slots, queue int) *admission.Target {
	return admission.NewTarget(admission.Config{Slots: slots, QueueLength: queue}, start)
}

func TestSubmit(t *testing.T) {
	cases := []struct {
		name    string
		target  func() *admission.Target
		request admission.Request
		want    admission.Action
		shed    []admission.Action
	}{
		{
			name:    "free slot",
			target:  func() *admission.Target { return newWarmTarget(1, 1) },
			request: request(9, time.Second, 0),
			want:    admission.Action{ID: 9, Verdict: admission.Run},
		},
		{
			name:    "deadline passed",
			target:  func() *admission.Target { return newWarmTarget(1, 1) },
			request: request(9, 0, 0),
			want:    admission.Action{ID: 9, Verdict: admission.Refuse, Reason: admission.Expired},
		},
		{
			name:    "queue has room",
			target:  func() *admission.Target { return newLoadedTarget(1, 1, 1) },
			request: request(9, time.Second, 0),
			want:    admission.Action{ID: 9, Verdict: admission.Wait},
		},
		{
			name:    "queue full",
			target:  func() *admission.Target { return newLoadedTarget(1, 1, 2) },
			request: request(9, time.Second, 0),
			want:    admission.Action{ID: 9, Verdict: admission.Refuse, Reason: admission.Overloaded},
		},
		{
			name:    "queue full of requests of lower priority",
			target:  func() *admission.Target { return newLoadedTarget(1, 2, 3) },
			request: request(9, time.Second, 1),
			want:    admission.Action{ID: 9, Verdict: admission.Wait},
			shed:    []admission.Action{{ID: 3, Verdict: admission.Refuse, Reason: admission.Overloaded}},
		},
		{
			name: "estimated delay longer than the remaining time",
			target: func() *admission.Target {
				target := newLoadedTarget(1, 4, 1)
				target.Complete("", 300*time.Millisecond, start)
				target.Submit(request(1, time.Second, 0), start)
				return target
			},
			request: request(9, 500*time.Millisecond, 0),
			want:    admission.Action{ID: 9, Verdict: admission.Refuse, Reason: admission.Overloaded},
		},
		{
			name: "leaving",
			target: func() *admission.Target {
				target := newWarmTarget(1, 1)
				target.Leave()
				return target
			},
			request: request(9, time.Second, 0),
			want:    admission.Action{ID: 9, Verdict: admission.Refuse, Reason: admission.Leaving},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, shed := c.target().Submit(c.request, start)
			is.Equal(got, c.want)
			is.Equal(shed, c.shed)
		})
	}
}

// newLoadedTarget returns a target to which count requests, with IDs from 1, were submitted.
func newLoadedTarget(slots, queue, count int) *admission.Target {
	target := newWarmTarget(slots, queue)
	for id := range count {
		target.Submit(request(uint64(id+1), time.Second, 0), start)
	}
	return target
}

func TestWarmUpOpensSlots(t *testing.T) {
	is := is.New(t)
	config := admission.Config{Slots: 11, WarmUp: 10 * time.Second}
	target := admission.NewTarget(config, start)
	is.Equal(target.Load(start).Slots, 1)
	is.Equal(target.Load(at(5*time.Second)).Slots, 6)
	is.Equal(target.Load(at(10*time.Second)).Slots, 11)
	is.True(!target.Cold(at(10 * time.Second)))
}

func TestCompleteRunsInOrderAndRefusesExpired(t *testing.T) {
	is := is.New(t)
	target := newLoadedTarget(1, 4, 1)
	target.Submit(request(2, time.Second, 0), start)
	target.Submit(request(3, 5*time.Second, 0), start)
	actions := target.Complete("", time.Millisecond, at(2*time.Second))
	is.Equal(actions, []admission.Action{
		{ID: 2, Verdict: admission.Refuse, Reason: admission.Expired},
		{ID: 3, Verdict: admission.Run},
	})
}

func TestCancelFreesQueuePosition(t *testing.T) {
	is := is.New(t)
	target := newLoadedTarget(1, 1, 2)
	is.True(target.Cancel(2))
	is.True(!target.Cancel(2))
	got, _ := target.Submit(request(3, time.Second, 0), start)
	is.Equal(got.Verdict, admission.Wait)
}

// model tracks which requests run and which wait, by the actions returned on them.
type model struct {
	running map[uint64]bool
	waiting map[uint64]admission.Request
}

func (m *model) apply(t *rapid.T, actions []admission.Action) {
	for _, action := range actions {
		if _, queued := m.waiting[action.ID]; !queued {
			t.Fatalf("action on request %d, which is not queued", action.ID)
		}
		request := m.waiting[action.ID]
		delete(m.waiting, action.ID)
		if action.Verdict != admission.Run {
			continue
		}
		for id, other := range m.waiting {
			if other.Priority > request.Priority || other.Priority == request.Priority && id < action.ID {
				t.Fatalf("request %d ran before request %d, which has precedence", action.ID, id)
			}
		}
		m.running[action.ID] = true
	}
}

func TestPropertiesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := admission.Config{
			Slots:       rapid.IntRange(1, 6).Draw(t, "slots"),
			QueueLength: rapid.IntRange(0, 5).Draw(t, "queue"),
			WarmUp:      time.Duration(rapid.IntRange(0, 50).Draw(t, "warm-up")) * time.Millisecond,
		}
		target := admission.NewTarget(config, start)
		m := &model{running: map[uint64]bool{}, waiting: map[uint64]admission.Request{}}
		now := start
		for id := uint64(1); id < 80; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "step")) * time.Millisecond)
			if rapid.Bool().Draw(t, "complete") && len(m.running) > 0 {
				completeOne(t, target, m, now)
				continue
			}
			submitOne(t, target, m, id, now)
			checkBounds(t, target, m, config, now)
		}
		drain(t, target, m, now)
	})
}

func submitOne(t *rapid.T, target *admission.Target, m *model, id uint64, now time.Time) {
	r := admission.Request{
		ID:       id,
		Deadline: now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "remaining")) * time.Millisecond),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
	}
	available := target.Available(now)
	action, shed := target.Submit(r, now)
	m.apply(t, shed)
	switch action.Verdict {
	case admission.Run:
		m.running[id] = true
	case admission.Wait:
		m.waiting[id] = r
	case admission.Refuse:
		if available && now.Before(r.Deadline) {
			t.Fatalf("request %d refused while a slot is free", id)
		}
	}
}

func completeOne(t *rapid.T, target *admission.Target, m *model, now time.Time) {
	for id := range m.running {
		delete(m.running, id)
		break
	}
	duration := time.Duration(rapid.IntRange(0, 20).Draw(t, "duration")) * time.Millisecond
	m.apply(t, target.Complete("", duration, now))
}

func checkBounds(t *rapid.T, target *admission.Target, m *model, config admission.Config, now time.Time) {
	load := target.Load(now)
	if load.Outstanding != len(m.running) || load.Queued != len(m.waiting) {
		t.Fatalf("load %+v, expected %d running and %d queued", load, len(m.running), len(m.waiting))
	}
	if load.Outstanding > config.Slots || load.Queued > config.QueueLength {
		t.Fatalf("load %+v exceeds configuration %+v", load, config)
	}
}

// drain completes all running requests; no queued request may remain.
func drain(t *rapid.T, target *admission.Target, m *model, now time.Time) {
	for len(m.running) > 0 {
		completeOne(t, target, m, now)
	}
	if len(m.waiting) > 0 {
		t.Fatalf("%d requests still queued after all others completed", len(m.waiting))
	}
}

// Guards against estimates that refuse a class for ever: a refused class completes no
// requests, so that its estimate is never corrected. A class without an estimate, and one
// whose estimate is old, must be admitted.
func TestEstimatesExcludeNoClassForever(t *testing.T) {
	const longService, shortDeadline = 300 * time.Millisecond, 200 * time.Millisecond
	cases := []struct {
		name  string
		long  string        // class of the request with a long service time
		after time.Duration // time since its completion
		want  admission.Verdict
	}{
		{"another class is slow", "sheet", 0, admission.Wait},
		{"class slow just now", "call", 0, admission.Refuse},
		{"class slow some time ago", "call", 10 * time.Second, admission.Wait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target := admission.NewTarget(admission.Config{Slots: 12, QueueLength: 16}, start)
			now := start
			farDeadline := start.Add(time.Hour)
			target.Submit(admission.Request{ID: 1, Deadline: farDeadline, Class: c.long}, now)
			target.Complete(c.long, longService, now)
			for id := range uint64(12) { // occupies all slots
				target.Submit(admission.Request{ID: 10 + id, Deadline: farDeadline, Class: "sheet"}, now)
			}
			now = now.Add(c.after)
			action, _ := target.Submit(admission.Request{ID: 2, Deadline: now.Add(shortDeadline), Class: "call", Priority: 1}, now)
			is.Equal(action.Verdict, c.want)
		})
	}
}

// Classes appear and disappear with the routes of configurations. Guards against a bound on
// classes that keeps the old ones: a new class must get an estimate whatever the number
// before it.
func TestOldClassesAreEvicted(t *testing.T) {
	is := is.New(t)
	target := admission.NewTarget(admission.Config{Slots: 1, QueueLength: 16}, start)
	now, farDeadline := start, start.Add(time.Hour)
	run := func(class string, duration time.Duration) {
		target.Submit(admission.Request{ID: 1, Deadline: farDeadline, Class: class}, now)
		now = now.Add(duration)
		target.Complete(class, duration, now)
	}
	for i := range 1000 {
		run(fmt.Sprint("old ", i), time.Millisecond)
	}
	run("sheet", 300*time.Millisecond)
	target.Submit(admission.Request{ID: 2, Deadline: farDeadline, Class: "sheet"}, now)
	action, _ := target.Submit(admission.Request{ID: 3, Deadline: now.Add(200 * time.Millisecond), Class: "sheet"}, now)
	is.Equal(action.Verdict, admission.Refuse) // its estimate exceeds the remaining time
}

func TestBoundedRequestWaitsNoLongerThanItSays(t *testing.T) {
	tests := []struct {
		name    string
		running int
		maxWait time.Duration
		want    admission.Verdict
	}{
		{"a free slot", 1, 0, admission.Run},
		{"no free slot", 2, 0, admission.Refuse},
		{"a short wait", 2, 60 * time.Millisecond, admission.Wait},
		{"a long wait", 2, 40 * time.Millisecond, admission.Refuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			target := admission.NewTarget(admission.Config{Slots: 2, QueueLength: 8}, start)
			deadline := start.Add(time.Minute)
			target.Submit(admission.Request{ID: 100, Deadline: deadline}, start)
			target.Complete("", 100*time.Millisecond, start)
			for id := range test.running {
				target.Submit(admission.Request{ID: uint64(id), Deadline: deadline}, start)
			}
			action, _ := target.Submit(admission.Request{ID: 200, Deadline: deadline, Bounded: true, MaxWait: test.maxWait}, start)
			is.Equal(action.Verdict, test.want)
		})
	}
}

// A target that fails many requests refuses offers, so that they go elsewhere, but no request
// that has nowhere else to go.
func TestFailingTargetRefusesOffers(t *testing.T) {
	is := is.New(t)
	target := admission.NewTarget(admission.Config{Slots: 4, QueueLength: 8}, start)
	submit := func(id uint64, bounded bool, draw float64) admission.Verdict {
		action, _ := target.Submit(admission.Request{ID: id, Deadline: start.Add(time.Minute), Bounded: bounded, Draw: draw}, start)
		if action.Verdict == admission.Run {
			target.Release(start)
		}
		return action.Verdict
	}
	is.Equal(submit(1, true, 0), admission.Run)
	for range 30 {
		target.RecordResult(true, start)
	}
	is.True(target.FailureRate(start) > 0.9)
	is.Equal(submit(2, true, 0.5), admission.Refuse)
	is.Equal(submit(3, false, 0.5), admission.Run)
	is.True(target.FailureRate(start.Add(5*time.Second)) < 0.05) // it is tried again
	for range 30 {
		target.RecordResult(false, start)
	}
	is.Equal(submit(4, true, 0.5), admission.Run)
}

// Guards against a panic of the daemon: the time of a periodic call lies before the start of a target that was added
// meanwhile and has no warm-up.
func TestTickBeforeTheStartOfATarget(t *testing.T) {
	is := is.New(t)
	target := admission.NewTarget(admission.Config{Slots: 6, QueueLength: 4}, start)
	is.Equal(len(target.Tick(start.Add(-time.Millisecond))), 0)
	is.True(!target.Cold(start.Add(-time.Millisecond)))
}
