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
}

// overload is a target of 12 slots at 1.3 times its capacity: two routes of long
// requests, and short calls of another service, which wait for them and whose
// own callers fail without an answer.
var overload = []kind{
	{"stock", 55, 150 * time.Millisecond, 800 * time.Millisecond, 1},
	{"sheet", 30, 240 * time.Millisecond, 1200 * time.Millisecond, 1},
	{"call", 60, 15 * time.Millisecond, 200 * time.Millisecond, 2},
}

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

// play runs the load for a time and returns the part of each kind that was
// answered within its deadline. Flat hides kinds and priorities, as before they
// were told apart.
func play(flat bool, seconds int) map[string]float64 {
	r := rand.New(rand.NewPCG(1, 2))
	target := admission.NewTarget(admission.Config{Slots: 12, QueueLength: 16}, start)
	asked, served := map[string]int{}, map[string]int{}
	waiting := map[uint64]*kind{}
	deadlines := map[uint64]time.Time{}
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
	next := make([]time.Time, len(overload))
	for i, k := range overload {
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
			if !e.at.After(deadlines[e.id]) {
				served[e.kind.name]++
			}
			name := e.kind.name
			if flat {
				name = ""
			}
			obey(target.Done(name, e.took, e.at), e.at)
			continue
		}
		if now.After(end) {
			break
		}
		k := &overload[first]
		next[first] = now.Add(time.Duration(r.ExpFloat64() / k.rate * float64(time.Second)))
		id++
		asked[k.name]++
		request := admission.Request{ID: id, Deadline: now.Add(k.deadline), Priority: k.priority, Kind: k.name}
		if flat {
			request.Priority, request.Kind = 0, ""
		}
		deadlines[id] = request.Deadline
		action, shed := target.Arrive(request, now)
		if action.Verdict == admission.Wait {
			waiting[id] = k
		}
		obey(shed, now)
		if action.Verdict == admission.Run {
			begin(id, k, now)
		}
	}
	parts := map[string]float64{}
	for name, count := range asked {
		parts[name] = float64(served[name]) / float64(count)
	}
	return parts
}

// Short calls get through an overload of long requests, and the long ones lose
// no more than what the calls take.
func TestShortCallsGetThroughAnOverload(t *testing.T) {
	is := is.New(t)
	before, after := play(true, 60), play(false, 60)
	t.Logf("served before %v, after %v", before, after)
	is.True(after["call"] > 0.97)
	is.True(after["call"] > before["call"]+0.2)
	is.True(after["stock"] > before["stock"]-0.1)
	is.True(after["sheet"] > before["sheet"]-0.1)
}
