package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that all come back at the same time, and against times that callers do not
// wait for.
func TestRefusedCallersComeBackSpreadOut(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	const wait = 90 * time.Millisecond
	r := &Returns{}
	is.Equal(r.After(wait, time.Second, 0.5, now), wait)
	is.Equal(r.After(wait, time.Second, 0, now), wait/2)
	is.Equal(r.After(wait, 90*time.Millisecond, 0.999999, now).Round(time.Millisecond), 30*time.Millisecond) // a third of the rest
	is.Equal(r.After(wait, -time.Second, 0.5, now), time.Duration(0))
	for i := range 200 {
		r.Record(i%2 == 0, now)
	}
	half := r.After(wait, 10*time.Second, 0.5, now)
	is.True(half > wait*18/10)
	is.True(half < wait*22/10)
	is.True(r.After(wait, 10*time.Second, 0.5, now.Add(10*time.Second)) < wait*11/10) // the service may have recovered
}
