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

func warm(slots, queue int) *admission.Target {
	return admission.NewTarget(admission.Config{Slots: slots, QueueLength: queue}, start)
}

func TestArrive(t *testing.T) {
	cases := []struct {
		name    string
		target  func() *admission.Target
		request admission.Request
		want    admission.Action
		shed    []admission.Action
	}{
		{
			name:    "free slot",
			target:  func() *admission.Target { return warm(1, 1) },
			request: request(9, time.Second, 0),
			want:    admission.Action{ID: 9, Verdict: admission.Run},
		},
		{
			name:    "deadline passed",
			target:  func() *admission.Target { return warm(1, 1) },
			request: request(9, 0, 0),
			want:    admission.Action{ID: 9, Verdict: admission.Refuse, Reason: admission.Expired},
		},
		{
			name:    "room in the queue",
			target:  func() *admission.Target { return filled(1, 1, 1) },
			request: request(9, time.Second, 0),
			want:    admission.Action{ID: 9, Verdict: admission.Wait},
		},
		{
			name:    "queue full",
			target:  func() *admission.Target { return filled(1, 1, 2) },
			request: request(9, time.Second, 0),
			want:    admission.Action{ID: 9, Verdict: admission.Refuse, Reason: admission.Overloaded},
		},
		{
			name:    "queue full of lower priority",
			target:  func() *admission.Target { return filled(1, 2, 3) },
			request: request(9, time.Second, 1),
			want:    admission.Action{ID: 9, Verdict: admission.Wait},
			shed:    []admission.Action{{ID: 3, Verdict: admission.Refuse, Reason: admission.Overloaded}},
		},
		{
			name: "wait longer than the deadline left",
			target: func() *admission.Target {
				target := filled(1, 4, 1)
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
				target := warm(1, 1)
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

// filled returns a target with arrivals requests, numbered from 1.
func filled(slots, queue, arrivals int) *admission.Target {
	target := warm(slots, queue)
	for id := range arrivals {
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

func TestDoneAdmitsInOrderAndSkipsExpired(t *testing.T) {
	is := is.New(t)
	target := filled(1, 4, 1)
	target.Submit(request(2, time.Second, 0), start)
	target.Submit(request(3, 5*time.Second, 0), start)
	actions := target.Complete("", time.Millisecond, at(2*time.Second))
	is.Equal(actions, []admission.Action{
		{ID: 2, Verdict: admission.Refuse, Reason: admission.Expired},
		{ID: 3, Verdict: admission.Run},
	})
}

func TestCancelFreesThePlace(t *testing.T) {
	is := is.New(t)
	target := filled(1, 1, 2)
	is.True(target.Cancel(2))
	is.True(!target.Cancel(2))
	got, _ := target.Submit(request(3, time.Second, 0), start)
	is.Equal(got.Verdict, admission.Wait)
}

// model follows the requests of a target through the actions on them.
type model struct {
	running map[uint64]bool
	waiting map[uint64]admission.Request
}

func (m *model) apply(t *rapid.T, actions []admission.Action) {
	for _, action := range actions {
		if _, waits := m.waiting[action.ID]; !waits {
			t.Fatalf("action on request %d, which does not wait", action.ID)
		}
		ran := m.waiting[action.ID]
		delete(m.waiting, action.ID)
		if action.Verdict != admission.Run {
			continue
		}
		for id, other := range m.waiting {
			if other.Priority > ran.Priority || other.Priority == ran.Priority && id < action.ID {
				t.Fatalf("request %d ran before %d", action.ID, id)
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
			if rapid.Bool().Draw(t, "done") && len(m.running) > 0 {
				finishOne(t, target, m, now)
				continue
			}
			arriveOne(t, target, m, id, now)
			checkBounds(t, target, m, config, now)
		}
		drain(t, target, m, now)
	})
}

func arriveOne(t *rapid.T, target *admission.Target, m *model, id uint64, now time.Time) {
	r := admission.Request{
		ID:       id,
		Deadline: now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "left")) * time.Millisecond),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
	}
	free := target.Available(now)
	action, shed := target.Submit(r, now)
	m.apply(t, shed)
	switch action.Verdict {
	case admission.Run:
		m.running[id] = true
	case admission.Wait:
		m.waiting[id] = r
	case admission.Refuse:
		if free && now.Before(r.Deadline) {
			t.Fatalf("request %d refused beside a free slot", id)
		}
	}
}

func finishOne(t *rapid.T, target *admission.Target, m *model, now time.Time) {
	for id := range m.running {
		delete(m.running, id)
		break
	}
	took := time.Duration(rapid.IntRange(0, 20).Draw(t, "took")) * time.Millisecond
	m.apply(t, target.Complete("", took, now))
}

func checkBounds(t *rapid.T, target *admission.Target, m *model, config admission.Config, now time.Time) {
	load := target.Load(now)
	if load.Outstanding != len(m.running) || load.Queued != len(m.waiting) {
		t.Fatalf("load %+v with %d running and %d waiting", load, len(m.running), len(m.waiting))
	}
	if load.Outstanding > config.Slots || load.Queued > config.QueueLength {
		t.Fatalf("load %+v exceeds %+v", load, config)
	}
}

// drain finishes all that runs: nothing may be left waiting.
func drain(t *rapid.T, target *admission.Target, m *model, now time.Time) {
	for len(m.running) > 0 {
		finishOne(t, target, m, now)
	}
	if len(m.waiting) > 0 {
		t.Fatalf("%d requests starved", len(m.waiting))
	}
}

// A kind of which little is known is let in to be learnt: an estimate that keeps all
// of its requests out would never be corrected.
func TestEstimatesLockNoKindOut(t *testing.T) {
	const long, short = 300 * time.Millisecond, 200 * time.Millisecond
	cases := []struct {
		name  string
		learn string        // the kind that ran for long
		after time.Duration // since then
		want  admission.Verdict
	}{
		{"another kind is long", "sheet", 0, admission.Wait},
		{"the kind was long just now", "call", 0, admission.Refuse},
		{"the kind was long a while ago", "call", 10 * time.Second, admission.Wait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target := admission.NewTarget(admission.Config{Slots: 12, QueueLength: 16}, start)
			now := start
			far := start.Add(time.Hour)
			target.Submit(admission.Request{ID: 1, Deadline: far, Class: c.learn}, now)
			target.Complete(c.learn, long, now)
			for id := range uint64(12) { // all slots are taken again
				target.Submit(admission.Request{ID: 10 + id, Deadline: far, Class: "sheet"}, now)
			}
			now = now.Add(c.after)
			action, _ := target.Submit(admission.Request{ID: 2, Deadline: now.Add(short), Class: "call", Priority: 1}, now)
			is.Equal(action.Verdict, c.want)
		})
	}
}

// Kinds come and go with the routes of configurations; those of today are known
// however many there were before.
func TestKindsOfThePastMakeRoom(t *testing.T) {
	is := is.New(t)
	target := admission.NewTarget(admission.Config{Slots: 1, QueueLength: 16}, start)
	now, far := start, start.Add(time.Hour)
	run := func(kind string, took time.Duration) {
		target.Submit(admission.Request{ID: 1, Deadline: far, Class: kind}, now)
		now = now.Add(took)
		target.Complete(kind, took, now)
	}
	for i := range 1000 {
		run(fmt.Sprint("old ", i), time.Millisecond)
	}
	run("sheet", 300*time.Millisecond)
	target.Submit(admission.Request{ID: 2, Deadline: far, Class: "sheet"}, now)
	action, _ := target.Submit(admission.Request{ID: 3, Deadline: now.Add(200 * time.Millisecond), Class: "sheet"}, now)
	is.Equal(action.Verdict, admission.Refuse) // known to be too long
}
