package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/admission"
)

// class is a Poisson stream of requests of one class.
type class struct {
	name     string
	rate     float64       // requests per second
	work     time.Duration // mean service time
	deadline time.Duration
	priority int
	// softDeadline is the time within which a response is of full use; 0 means deadline.
	softDeadline time.Duration
}

// overload is 1.3 times the capacity of a target with 12 slots: two routes of long
// requests, and short requests of another service with a close deadline, which queue
// behind the long ones and whose own callers fail without a response.
var overload = []class{
	{"stock", 55, 150 * time.Millisecond, 800 * time.Millisecond, 1, 0},
	{"sheet", 30, 240 * time.Millisecond, 1200 * time.Millisecond, 1, 0},
	{"call", 60, 15 * time.Millisecond, 200 * time.Millisecond, 2, 0},
}

// slowed is 1.4 times the capacity of a target that takes twice as long as usual, on one
// route whose soft deadline is far below its deadline.
var slowed = []class{{"browse", 140, 120 * time.Millisecond, 800 * time.Millisecond, 0, 200 * time.Millisecond}}

// completion is the future end of a running request.
type completion struct {
	at       time.Time
	id       uint64
	class    *class
	duration time.Duration
}

// completions is a heap, earliest first.
type completions []completion

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// result holds, for each class, the fraction of its requests that completed within the
// deadline (served) and within the soft deadline (timely).
type result struct{ served, timely map[string]float64 }

// simulate runs the load in virtual time. Uniform submits all requests with one class and
// priority and without a soft deadline, as the baseline.
func simulate(load []class, uniform bool, seconds int) result {
	return simulateTarget(admission.Config{Slots: 12, QueueLength: 16}, load, uniform, seconds)
}

// simulateTarget is simulate on a target with the given configuration.
func simulateTarget(config admission.Config, load []class, uniform bool, seconds int) result {
	r := rand.New(rand.NewPCG(1, 2))
	target := admission.NewTarget(config, start)
	submitted, served, timely := map[string]int{}, map[string]int{}, map[string]int{}
	waiting := map[uint64]*class{}
	submittedAt := map[uint64]time.Time{}
	var running completions
	run := func(id uint64, c *class, now time.Time) {
		duration := time.Duration(r.ExpFloat64()*0.5*float64(c.work)) + c.work/2
		heap.Push(&running, completion{now.Add(duration), id, c, duration})
	}
	apply := func(actions []admission.Action, now time.Time) {
		for _, action := range actions {
			c := waiting[action.ID]
			delete(waiting, action.ID)
			if action.Verdict == admission.Run {
				run(action.ID, c, now)
			}
		}
	}
	arrivals := make([]time.Time, len(load))
	for i, c := range load {
		arrivals[i] = start.Add(time.Duration(r.ExpFloat64() / c.rate * float64(time.Second)))
	}
	id := uint64(0)
	for end := start.Add(time.Duration(seconds) * time.Second); ; {
		first := 0
		for i := range arrivals {
			if arrivals[i].Before(arrivals[first]) {
				first = i
			}
		}
		now := arrivals[first]
		if len(running) > 0 && running[0].at.Before(now) {
			e := heap.Pop(&running).(completion)
			responseTime := e.at.Sub(submittedAt[e.id])
			if responseTime <= e.class.deadline {
				served[e.class.name]++
			}
			if responseTime <= e.class.softDeadline {
				timely[e.class.name]++
			}
			name := e.class.name
			if uniform {
				name = ""
			}
			apply(target.Complete(name, e.duration, e.at), e.at)
			continue
		}
		if now.After(end) {
			break
		}
		c := &load[first]
		arrivals[first] = now.Add(time.Duration(r.ExpFloat64() / c.rate * float64(time.Second)))
		id++
		submitted[c.name]++
		request := admission.Request{ID: id, Deadline: now.Add(c.deadline), Priority: c.priority, Class: c.name}
		if c.softDeadline > 0 {
			request.SoftDeadline = now.Add(c.softDeadline)
		}
		if uniform {
			request.Priority, request.Class, request.SoftDeadline = 0, "", time.Time{}
		}
		submittedAt[id] = now
		action, shed := target.Submit(request, now)
		if action.Verdict == admission.Wait {
			waiting[id] = c
		}
		apply(shed, now)
		if action.Verdict == admission.Run {
			run(id, c, now)
		}
	}
	fractions := result{map[string]float64{}, map[string]float64{}}
	for name, count := range submitted {
		fractions.served[name] = float64(served[name]) / float64(count)
		fractions.timely[name] = float64(timely[name]) / float64(count)
	}
	return fractions
}

// Guards against the refusal of short requests of high priority while long requests
// overload the target: without classes and priorities their estimated delay is that of an
// average request. The long ones must lose no more than the slot time that goes to the
// short ones.
func TestShortCallsGetThroughAnOverload(t *testing.T) {
	is := is.New(t)
	uniform, byClass := simulate(overload, true, 60).served, simulate(overload, false, 60).served
	t.Logf("served: uniform %v, by class %v", uniform, byClass)
	is.True(byClass["call"] > 0.97)
	is.True(byClass["call"] > uniform["call"]+0.2)
	is.True(byClass["stock"] > uniform["stock"]-0.1)
	is.True(byClass["sheet"] > uniform["sheet"]-0.1)
}

// cold is 0.9 times the capacity of a target that takes twice as long as usual, as one that
// has just started does.
var cold = []class{{"browse", 90, 120 * time.Millisecond, 800 * time.Millisecond, 0, 200 * time.Millisecond}}

// Guards against a warm-up that refuses requests after a start of all targets: no target
// is warm then, and one that opens its slots one by one refuses requests that it could
// serve.
func TestColdTargetServesWithAllItsSlots(t *testing.T) {
	is := is.New(t)
	const seconds = 4
	warming := admission.Config{Slots: 12, QueueLength: 16, WarmUp: seconds * time.Second}
	gradual, immediate := simulateTarget(warming, cold, false, seconds), simulate(cold, false, seconds)
	t.Logf("warm-up %v, all slots open %v", gradual, immediate)
	is.True(immediate.served["browse"] > 0.9)
	is.True(immediate.served["browse"] > gradual.served["browse"]+0.2)
	is.True(immediate.timely["browse"] > gradual.timely["browse"]+0.2)
}

// Guards against a slow target that queues requests until their soft deadlines have passed.
// It must refuse them on arrival, while another target can still respond in time, and serve
// about as many requests as without soft deadlines.
func TestSlowTargetMeetsSoftDeadlines(t *testing.T) {
	is := is.New(t)
	uniform, bounded := simulate(slowed, true, 60), simulate(slowed, false, 60)
	t.Logf("uniform %v, with soft deadlines %v", uniform, bounded)
	is.True(bounded.timely["browse"] > uniform.timely["browse"]+0.2)
	is.True(bounded.served["browse"] > uniform.served["browse"]-0.02)
}
