package integration

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/integration/faultproxy"
	"sassafrasnotch.example/mesh/standin/load"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

// between puts a fault on the traffic from the first host to the others, on the
// traffic back, or on both.
func (r *requests) between(forth, back bool, set func(from, to string)) {
	first := r.Daemons[0].Settings.Host
	for _, other := range r.Daemons[1:] {
		if forth {
			set(first, other.Settings.Host)
		}
		if back {
			set(other.Settings.Host, first)
		}
	}
}

func (r *requests) silence(forth, back bool) {
	r.between(forth, back, r.Network.BlackholeOpenConnections)
}

// resets resets connections for a while when bytes flow on them.
func (r *requests) resets(forth, back bool) {
	for range 3 {
		r.between(forth, back, func(from, to string) {
			r.Network.SetFault(from, to, faultproxy.Fault{Reset: true})
		})
		r.pass(300 * time.Millisecond)
		r.Network.ClearFaults()
		r.pass(300 * time.Millisecond)
	}
}

// TestRequestsUnderFaults checks that no request is lost, run twice or falsely
// refused while hosts, targets and connections fail, and that every call is
// answered again soon after.
func TestRequestsUnderFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		seed uint64
		// fault strikes and returns from when on calls are to recover.
		fault func(r *requests) time.Time
		// after ends the fault.
		after func(r *requests)
	}{
		{name: "the exit is killed", seed: 1, fault: func(r *requests) time.Time {
			r.Daemons[2].Kill()
			return time.Now()
		}, after: func(r *requests) { r.Daemons[2].Launch() }},
		{name: "the exit is frozen", seed: 2, fault: func(r *requests) time.Time {
			r.Daemons[2].Pause()
			return time.Now()
		}, after: func(r *requests) { r.Daemons[2].Resume() }},
		{name: "a target is killed while it answers", seed: 3, fault: func(r *requests) time.Time {
			r.targets[2].Crash()
			return time.Now()
		}},
		{name: "every target is killed while it answers", seed: 4, fault: func(r *requests) time.Time {
			for _, target := range r.targets {
				target.Crash()
			}
			r.pass(time.Second) // for which the targets are down
			return time.Now()
		}},
		{name: "connections are reset before the first byte", seed: 5, fault: func(r *requests) time.Time {
			r.resets(true, false)
			return time.Now()
		}},
		{name: "connections are reset after the first byte", seed: 6, fault: func(r *requests) time.Time {
			r.resets(false, true)
			return time.Now()
		}},
		{name: "old connections are silent towards the exit", seed: 7, fault: func(r *requests) time.Time {
			r.silence(true, false)
			return time.Now()
		}},
		{name: "old connections are silent towards the entry", seed: 8, fault: func(r *requests) time.Time {
			r.silence(false, true)
			return time.Now()
		}},
		{name: "old connections are silent in both directions", seed: 9, fault: func(r *requests) time.Time {
			r.silence(true, true)
			r.pass(1500 * time.Millisecond)
			r.silence(true, true) // and those that took their place
			return time.Now()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRequests(t, shape{seed: c.seed, zones: 1, hosts: 3})
			r.begin(r.mixed(300, r.Daemons[0], r.Daemons[1]))
			struck := c.fault(r)
			r.pass(recovery + calm)
			if c.after != nil {
				c.after(r)
				r.pass(recovery + calm)
			}
			r.end()
			r.audit()
			r.answered(struck.Add(recovery), time.Time{})
		})
	}
}

// TestEntryIsKilled checks that the calls of other entries go on, and that those
// which the killed entry took are neither lost nor run twice.
func TestEntryIsKilled(t *testing.T) {
	t.Parallel()
	r := newRequests(t, shape{seed: 1, zones: 1, hosts: 3})
	r.begin(r.mixed(300, r.Daemons...))
	killed := time.Now()
	r.Daemons[0].Kill()
	r.pass(recovery + calm)
	r.end()
	r.audit()
	dead := r.Daemons[0].Settings.Entry.Listen
	kept := r.answers[:0]
	for _, a := range r.answers {
		if a.Entry != dead {
			kept = append(kept, a)
		}
	}
	r.answers = kept
	r.answered(killed.Add(recovery), time.Time{})
}

// TestBrokenAnswers checks that every caller gets its own whole answer or an
// error while targets answer late, out of step and in part.
func TestBrokenAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRequests(t, shape{seed: 1, zones: 1, hosts: 2, target: func(config *targetserver.Config) {
		config.Work = revision.Duration(5 * time.Millisecond)
		config.Behaviours = []targetserver.Behaviour{{Prefix: "/counter/lookups/late", Slow: revision.Duration(150 * time.Millisecond)}}
	}})
	config := r.mixed(400, r.Daemons...)
	for _, path := range []string{"/counter/lookups/", "/counter/orders/"} {
		for _, kind := range []string{targetserver.AnswerRepeated, targetserver.AnswerCut, targetserver.AnswerCutChunked} {
			config.Routes = append(config.Routes, load.Route{
				Method: http.MethodPost, Path: path + kind, Weight: 1, BodyBytes: 20,
				Headers: []load.Header{{Name: targetserver.HeaderAnswer, Value: kind}},
			})
		}
	}
	config.Routes = append(config.Routes, load.Route{
		Method: http.MethodGet, Path: "/counter/lookups/late", Weight: 2,
		Headers: []load.Header{{Name: "X-Deadline-Ms", Value: "100"}},
	})
	r.begin(config)
	r.pass(3 * time.Second)
	r.end()
	r.audit()
	failed := 0 // other calls that a broken answer on their connection spoilt
	for _, a := range r.answers {
		switch {
		case strings.Contains(a.Path, "/cut"), strings.HasSuffix(a.Path, "/late"):
			is.True(a.Outcome != load.OutcomeAnswered) // a cut or late answer can't be whole
		case strings.HasSuffix(a.Path, targetserver.AnswerRepeated):
			is.True(a.Outcome != load.OutcomeUnstated)
		case a.Outcome == load.OutcomeRefused, a.Outcome == load.OutcomeUnknown:
			failed++
		case a.Outcome != load.OutcomeAnswered || a.Status != http.StatusOK:
			t.Fatalf("%s: %s, status %d, %s", a.Path, a.Outcome, a.Status, a.Error)
		}
	}
	is.True(failed*100 < len(r.answers))
}
