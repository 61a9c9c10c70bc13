package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The limit that the operators state for a target that names a rate: in any ratedSpan, at most
// ratedFactor times what the rate allows, and ratedSlack requests.
const (
	ratedSpan   = 4 * time.Second
	ratedFactor = 1.5
	ratedSlack  = 5
)

// ratedLoad plays requests against one target.
type ratedLoad struct {
	target   *Target
	now      time.Time
	random   *rand.Rand
	service  time.Duration
	running  endings
	runs     []time.Time // times at which requests were sent to the target
	urgent   int         // of these, those of the higher priority
	refusals []time.Duration
	waiting  map[uint64]int // priority by id
	lastID   uint64
}

// endings is a heap of the times at which running requests end.
type endings []time.Time

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].Before(e[j]) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(time.Time)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var loadStart = time.Unix(1700000000, 0)

func newRatedLoad(config Config, service time.Duration) *ratedLoad {
	return &ratedLoad{
		target: NewTarget(config, loadStart), now: loadStart, service: service,
		random: rand.New(rand.NewPCG(1, 1)), waiting: make(map[uint64]int),
	}
}

func (l *ratedLoad) start(priority int) {
	l.runs = append(l.runs, l.now)
	if priority > 0 {
		l.urgent++
	}
	heap.Push(&l.running, l.now.Add(l.service))
}

func (l *ratedLoad) apply(actions []Action) {
	for _, action := range actions {
		if action.Verdict == Run {
			l.start(l.waiting[action.ID])
		}
		delete(l.waiting, action.ID)
	}
}

func (l *ratedLoad) submit(priority int) {
	l.lastID++
	r := Request{ID: l.lastID, Deadline: l.now.Add(time.Second), Priority: priority, Class: "orders"}
	action, shed := l.target.Submit(r, l.now)
	l.apply(shed)
	switch action.Verdict {
	case Run:
		l.start(priority)
	case Wait:
		l.waiting[r.ID] = priority
	case Refuse:
		l.refusals = append(l.refusals, l.target.RetryAfter(l.now))
	}
}

// play lets requests arrive at a rate for a time, an urgent fraction of them of higher priority. Queued
// requests run at the time that NextRun tells.
func (l *ratedLoad) play(rate float64, duration time.Duration, urgent float64) {
	const step = time.Millisecond
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(step) {
		for len(l.running) > 0 && !l.running[0].After(l.now) {
			heap.Pop(&l.running)
			l.apply(l.target.RecordResponse(l.now))
			l.apply(l.target.Complete("orders", l.service, l.now))
		}
		if wait, held := l.target.NextRun(l.now); held && wait < step {
			l.apply(l.target.Tick(l.now.Add(wait)))
		}
		if l.random.Float64() < rate*step.Seconds() {
			priority := 0
			if l.random.Float64() < urgent {
				priority = 1
			}
			l.submit(priority)
		}
	}
}

// busiest returns the largest number of runs in any ratedSpan that begins at or after a time.
func (l *ratedLoad) busiest(from time.Time) int {
	most, first := 0, 0
	for i, at := range l.runs {
		for l.runs[first].Before(from) || at.Sub(l.runs[first]) >= ratedSpan {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowed(rate float64) int { return int(ratedFactor*rate*ratedSpan.Seconds()) + ratedSlack }

func TestTargetGetsNoMoreThanTheRateThatItNames(t *testing.T) {
	for _, rate := range []float64{0, 0.1, 0.5, 3, 36.3, 150} {
		for _, arrivals := range []float64{20, 200, 900} {
			t.Run(fmt.Sprintf("%g of %g a second", rate, arrivals), func(t *testing.T) {
				is := is.New(t)
				l := newRatedLoad(Config{Slots: 12, QueueLength: 36}, 60*time.Millisecond)
				l.play(arrivals, 2*time.Second, 0)
				l.apply(l.target.SetRate(rate, l.now))
				since := l.now
				l.play(arrivals, 20*time.Second, 0)
				is.True(l.busiest(since) <= allowed(rate))
				served := 0
				for _, at := range l.runs {
					if !at.Before(since) {
						served++
					}
				}
				usable := min(rate, arrivals) * 20
				is.True(float64(served) >= 0.9*usable) // what the target takes is used
			})
		}
	}
}

func TestRateOfATargetChanges(t *testing.T) {
	const arrivals = 400.0
	is := is.New(t)
	l := newRatedLoad(Config{Slots: 12, QueueLength: 36}, 30*time.Millisecond)
	for _, rate := range []float64{80, 10, 0.5, 120} {
		l.apply(l.target.SetRate(rate, l.now))
		since := l.now
		l.play(arrivals, 10*time.Second, 0)
		is.True(l.busiest(since) <= allowed(rate))
	}
	before := len(l.runs)
	l.apply(l.target.ClearRate(l.now))
	l.play(arrivals, 4*time.Second, 0)
	is.True(float64(len(l.runs)-before) > 0.8*arrivals*4) // the slots alone bound it again
}

func TestUrgentRequestsRunFirstUnderARate(t *testing.T) {
	is := is.New(t)
	l := newRatedLoad(Config{Slots: 12, QueueLength: 36}, 60*time.Millisecond)
	l.apply(l.target.SetRate(30, l.now))
	l.play(120, 20*time.Second, 0.2) // 24 urgent ones a second
	is.True(float64(l.urgent) > 0.95*24*20*0.9)
}

func TestRefusedRequestsAreToldToReturnByTheRate(t *testing.T) {
	is := is.New(t)
	l := newRatedLoad(Config{Slots: 12, QueueLength: 36}, 60*time.Millisecond)
	l.apply(l.target.SetRate(10, l.now))
	l.play(200, 5*time.Second, 0)
	is.True(len(l.refusals) > 500) // at once, not at their deadline
	for _, after := range l.refusals[len(l.refusals)/2:] {
		is.True(after > 50*time.Millisecond && after <= 2*time.Second) // a queue of up to a second at 10 a second
	}
	is.True(len(l.waiting) <= 12) // those that can run within a second
}

func TestTargetThatMayHaveNamedARateGetsFewRequestsBeforeItsFirstResponse(t *testing.T) {
	is := is.New(t)
	l := newRatedLoad(Config{Slots: 12, InitialSlots: 4, QueueLength: 36}, 500*time.Millisecond)
	l.play(400, 499*time.Millisecond, 0)
	is.Equal(len(l.runs), 4)
	l.play(400, 100*time.Millisecond, 0)
	is.True(len(l.runs) >= 12)
}

func TestLoadOfATargetFollowsItsRate(t *testing.T) {
	is := is.New(t)
	l := newRatedLoad(Config{Slots: 12, QueueLength: 36}, 100*time.Millisecond)
	l.play(100, time.Second, 0)
	is.Equal(l.target.Load(l.now).Slots, 12)
	l.apply(l.target.SetRate(25, l.now))
	is.Equal(l.target.Load(l.now).Slots, 3) // 25 a second keep 2.5 slots busy
	l.play(400, time.Second, 0)
	is.True(!l.target.Available(l.now) && l.target.Wait(l.now) > 0)
}
