package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The limit that operators state for a cold target: in any second, at most coldOverage times its rate, and
// coldSlack requests.
const (
	coldOverage = 1.5
	coldSlack   = 8
)

// checkCold reports the requests after a time that were sent although the second before them, with all
// requests in it, was as full as a cold target tolerates.
func (l *ratedLoad) checkCold(t *testing.T, rate float64, since time.Time) {
	t.Helper()
	most, first := 0, 0
	for i, at := range l.runs {
		for at.Sub(l.runs[first]) >= time.Second {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
		}
	}
	if limit := int(coldOverage*rate) + coldSlack; most > limit*3/4 {
		t.Errorf("rate %g: %d requests in a second; %d are tolerated, and a quarter is to be left", rate, most, limit)
	}
}

func (l *ratedLoad) runsSince(since time.Time) (count int) {
	for _, at := range l.runs {
		if !at.Before(since) {
			count++
		}
	}
	return count
}

// Guards against a cold target that gets more requests than it survives: from its start, when it turns cold in
// the middle of traffic, and when the daemon beside it restarts in the meantime.
func TestColdTargetGetsNoMoreThanItsRate(t *testing.T) {
	for _, rate := range []float64{0.4, 3, 12.5, 60} {
		for _, arrivals := range []float64{20, 200, 900} {
			t.Run(fmt.Sprintf("%g of %g a second", rate, arrivals), func(t *testing.T) {
				is := is.New(t)
				l := newRatedLoad(Config{Slots: 12, QueueLength: 36}, 15*time.Millisecond)
				l.play(arrivals, 2*time.Second, 0)
				l.apply(l.target.SetCold(rate, l.now))
				turned := l.now
				l.play(arrivals, 10*time.Second, 0)
				l.checkCold(t, rate, turned)
				usable := min(rate, arrivals) * 9
				is.True(float64(l.runsSince(turned.Add(time.Second))) >= 0.9*usable-1) // what it takes is used

				restarted := l.now
				l.target, l.running, l.waiting = NewTarget(Config{Slots: 12, QueueLength: 36}, l.now), nil, make(map[uint64]int)
				l.apply(l.target.SetCold(rate, l.now))
				l.play(arrivals, 4*time.Second, 0)
				l.checkCold(t, rate, restarted.Add(-time.Second))

				before := len(l.runs)
				l.apply(l.target.SetCold(0, l.now))
				l.play(arrivals, 4*time.Second, 0)
				is.True(float64(len(l.runs)-before) > 0.6*min(arrivals, 700)*4) // the arrivals are random
			})
		}
	}
}

// Guards against other hosts that count on slots which a cold target can't use, and against a rate that the
// target names itself and that is lost when it turns warm.
func TestColdTargetReportsFewSlots(t *testing.T) {
	is := is.New(t)
	l := newRatedLoad(Config{Slots: 12, QueueLength: 36}, 100*time.Millisecond)
	l.apply(l.target.SetCold(20, l.now))
	is.Equal(l.target.RatedSlots(), 2) // before any response
	l.play(100, 3*time.Second, 0)
	is.Equal(l.target.Load(l.now).Slots, 2)
	l.apply(l.target.SetRate(10, l.now))
	is.Equal(l.target.RatedSlots(), 1)
	l.apply(l.target.SetCold(0, l.now))
	is.Equal(l.target.RatedSlots(), 1)
	l.apply(l.target.ClearRate(l.now))
	is.Equal(l.target.RatedSlots(), 12)
}
