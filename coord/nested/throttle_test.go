package nested

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fail records runs of a route that fail because nested requests are refused for lack of room.
func fail(throttle *Throttle, runs int, lackOfRoom bool, now time.Time) {
	for range runs {
		throttle.RecordNested(lackOfRoom, now)
		throttle.End("parent", false, now)
	}
}

// Guards against runs that are refused though the other service has room for their requests: fewer
// runs would not make more of them succeed.
func TestThrottleRefusesOnlyForLackOfRoom(t *testing.T) {
	is := is.New(t)
	throttle := NewThrottle()
	check := func(route string, at time.Time, want, wantFirst bool) {
		t.Helper()
		got, first := throttle.Refuse(route, 0.5, at)
		is.Equal(got, want)
		is.Equal(first, wantFirst)
	}
	check("parent", start, false, false)
	fail(throttle, 40, false, start)
	check("parent", start, false, false) // the probe
	check("parent", start, false, false)
	fail(throttle, 40, true, start)
	check("parent", start, true, true)
	is.Equal(throttle.Refused(), map[string]uint64{"parent": 1})
	check("parent", start, true, false)
	check("other", start, false, false)
}

// Guards against a route that stays refused because nothing is tried any more.
func TestThrottleProbesAndSeesARecoveryWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	throttle := NewThrottle()
	fail(throttle, 200, true, start)
	const arrivals = 40 // a second
	passed, refusedLate := 0, 0
	for i := range 4 * arrivals {
		now := after(time.Duration(i) * time.Second / arrivals)
		recovered := i >= arrivals
		if refused, _ := throttle.Refuse("parent", float64(i%10)/10, now); refused {
			if i >= 3*arrivals {
				refusedLate++
			}
			continue
		}
		if i < arrivals {
			passed++
		}
		throttle.RecordNested(!recovered, now)
		throttle.End("parent", recovered, now)
	}
	is.True(passed >= 4) // four probes a second
	is.True(passed <= 10)
	is.Equal(refusedLate, 0)
}
