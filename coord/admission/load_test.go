package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/admission"
)

// kind is a stream of requests.
type kind struct {
	name     string
	rate     float64 // a second
	work     time.Duration
	deadline time.Duration
	priority int
	// aim is the time within which an answer is of full use; 0 means the deadline.
	aim time.Duration
}

// overload is a target of 12 slots at 1.3 times its capacity: two routes of long
// requests, and short calls of another service, which wait for them and whose
// own callers fail without an answer.
var overload = []kind{
	{"stock", 55, 150 * time.Millisecond, 800 * time.Millisecond, 1, 0},
	{"sheet", 30, 240 * time.Millisecond, 1200 * time.Millisecond, 1, 0},
	{"call", 60, 15 * time.Millisecond, 200 * time.Millisecond, 2, 0},
}

// slowed is an overload of a target that takes twice as long as usual, at 1.4 times
// its capacity, by one route with an aim far below its deadline.
var slowed = []kind{{"browse", 140, 120 * time.Millisecond, 800 * time.Millisecond, 0, 200 * time.Millisecond}}

// ending is a request that ends.
type ending struct {
	at   time.Time
	id   uint64
	kind *kind
	took time.Duration
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// played is what became of a load: the parts of each kind that were answered within
// their deadlines, and within their aims.
type played struct{ served, inAim map[string]float64 }

// play runs the load for a time. Flat hides kinds, priorities and aims, as before
// they were told apart.
func play(load []kind, flat bool, seconds int) played {
	return playOn(admission.Config{Slots: 12, QueueLength: 16}, load, flat, seconds)
}

// playOn is play on a target with a configuration of its own.
func playOn(config admission.Config, load []kind, flat bool, seconds int) played {
	r := rand.New(rand.NewPCG(1, 2))
	target := admission.NewTarget(config, start)
	asked, served, inAim := map[string]int{}, map[string]int{}, map[string]int{}
	waiting := map[uint64]*kind{}
	arrived := map[uint64]time.Time{}
	var running endings
	begin := func(id uint64, k *kind, now time.Time) {
		took := time.Duration(r.ExpFloat64()*0.5*float64(k.work)) + k.work/2
		heap.Push(&running, ending{now.Add(took), id, k, took})
	}
	obey := func(actions []admission.Action, now time.Time) {
		for _, action := range actions {
			k := waiting[action.ID]
			delete(waiting, action.ID)
			if action.Verdict == admission.Run {
				begin(action.ID, k, now)
			}
		}
	}
	next := make([]time.Time, len(load))
	for i, k := range load {
		next[i] = start.Add(time.Duration(r.ExpFloat64() / k.rate * float64(time.Second)))
	}
	id := uint64(0)
	for end := start.Add(time.Duration(seconds) * time.Second); ; {
		first := 0
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		now := next[first]
		if len(running) > 0 && running[0].at.Before(now) {
			e := heap.Pop(&running).(ending)
			waited := e.at.Sub(arrived[e.id])
			if waited <= e.kind.deadline {
				served[e.kind.name]++
			}
			if waited <= e.kind.aim {
				inAim[e.kind.name]++
			}
			name := e.kind.name
			if flat {
				name = ""
			}
			obey(target.Complete(name, e.took, e.at), e.at)
			continue
		}
		if now.After(end) {
			break
		}
		k := &load[first]
		next[first] = now.Add(time.Duration(r.ExpFloat64() / k.rate * float64(time.Second)))
		id++
		asked[k.name]++
		request := admission.Request{ID: id, Deadline: now.Add(k.deadline), Priority: k.priority, Class: k.name}
		if k.aim > 0 {
			request.SoftDeadline = now.Add(k.aim)
		}
		if flat {
			request.Priority, request.Class, request.SoftDeadline = 0, "", time.Time{}
		}
		arrived[id] = now
		action, shed := target.Submit(request, now)
		if action.Verdict == admission.Wait {
			waiting[id] = k
		}
		obey(shed, now)
		if action.Verdict == admission.Run {
			begin(id, k, now)
		}
	}
	parts := played{map[string]float64{}, map[string]float64{}}
	for name, count := range asked {
		parts.served[name] = float64(served[name]) / float64(count)
		parts.inAim[name] = float64(inAim[name]) / float64(count)
	}
	return parts
}

// Short calls get through an overload of long requests, and the long ones lose
// no more than what the calls take.
func TestShortCallsGetThroughAnOverload(t *testing.T) {
	is := is.New(t)
	before, after := play(overload, true, 60).served, play(overload, false, 60).served
	t.Logf("served before %v, after %v", before, after)
	is.True(after["call"] > 0.97)
	is.True(after["call"] > before["call"]+0.2)
	is.True(after["stock"] > before["stock"]-0.1)
	is.True(after["sheet"] > before["sheet"]-0.1)
}

// cold is nine tenths of what a target bears that takes twice as long as usual, as
// one that has just started does.
var cold = []kind{{"browse", 90, 120 * time.Millisecond, 800 * time.Millisecond, 0, 200 * time.Millisecond}}

// After a start of all targets there is nowhere else to go: one that opens its slots
// one by one refuses a part of what it can serve.
func TestColdTargetServesWithAllItsSlots(t *testing.T) {
	is := is.New(t)
	const seconds = 4
	warming := admission.Config{Slots: 12, QueueLength: 16, WarmUp: seconds * time.Second}
	before, after := playOn(warming, cold, false, seconds), play(cold, false, seconds)
	t.Logf("before %v, after %v", before, after)
	is.True(after.served["browse"] > 0.9)
	is.True(after.served["browse"] > before.served["browse"]+0.2)
	is.True(after.inAim["browse"] > before.inAim["browse"]+0.2)
}

// A slow target refuses what another one can still answer in time, before it has
// waited, and stays as busy.
func TestSlowTargetKeepsItsAnswersUseful(t *testing.T) {
	is := is.New(t)
	before, after := play(slowed, true, 60), play(slowed, false, 60)
	t.Logf("before %v, after %v", before, after)
	is.True(after.inAim["browse"] > before.inAim["browse"]+0.2)
	is.True(after.served["browse"] > before.served["browse"]-0.02)
}
