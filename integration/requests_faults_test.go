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

// setLinks calls set for the links from the first host to each other host, for the links in the opposite
// direction, or for both.
func (r *requestTest) setLinks(outgoing, incoming bool, set func(from, to string)) {
	first := r.Daemons[0].Settings.Host
	for _, other := range r.Daemons[1:] {
		if outgoing {
			set(first, other.Settings.Host)
		}
		if incoming {
			set(other.Settings.Host, first)
		}
	}
}

// blackhole drops the traffic of the connections that are open now between the first host and the others.
func (r *requestTest) blackhole(outgoing, incoming bool) {
	r.setLinks(outgoing, incoming, r.Network.BlackholeOpenConnections)
}

// resetLinks resets connections that carry data, three times for 300 ms with pauses of 300 ms.
func (r *requestTest) resetLinks(outgoing, incoming bool) {
	for range 3 {
		r.setLinks(outgoing, incoming, func(from, to string) {
			r.Network.SetFault(from, to, faultproxy.Fault{Reset: true})
		})
		r.sleep(300 * time.Millisecond)
		r.Network.ClearFaults()
		r.sleep(300 * time.Millisecond)
	}
}

// TestRequestsUnderFaults checks that no request is lost, run twice or falsely refused while hosts,
// targets and connections fail, and that every request succeeds again once the time recovery has
// passed.
func TestRequestsUnderFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		seed uint64
		// fault injects the fault and returns the time from which recovery is counted.
		fault func(r *requestTest) time.Time
		// after, if set, ends the fault.
		after func(r *requestTest)
	}{
		{name: "the exit is killed", seed: 1, fault: func(r *requestTest) time.Time {
			r.Daemons[2].Kill()
			return time.Now()
		}, after: func(r *requestTest) { r.Daemons[2].Launch() }},
		{name: "the exit is paused", seed: 2, fault: func(r *requestTest) time.Time {
			r.Daemons[2].Pause()
			return time.Now()
		}, after: func(r *requestTest) { r.Daemons[2].Resume() }},
		{name: "a target crashes while it responds", seed: 3, fault: func(r *requestTest) time.Time {
			r.targets[2].Crash()
			return time.Now()
		}},
		{name: "every target crashes while it responds", seed: 4, fault: func(r *requestTest) time.Time {
			for _, target := range r.targets {
				target.Crash()
			}
			r.sleep(time.Second) // the targets' restart time
			return time.Now()
		}},
		{name: "connections are reset before the first byte", seed: 5, fault: func(r *requestTest) time.Time {
			r.resetLinks(true, false)
			return time.Now()
		}},
		{name: "connections are reset after the first byte", seed: 6, fault: func(r *requestTest) time.Time {
			r.resetLinks(false, true)
			return time.Now()
		}},
		{name: "traffic on open connections is dropped towards the exit", seed: 7, fault: func(r *requestTest) time.Time {
			r.blackhole(true, false)
			return time.Now()
		}},
		{name: "traffic on open connections is dropped towards the entry", seed: 8, fault: func(r *requestTest) time.Time {
			r.blackhole(false, true)
			return time.Now()
		}},
		{name: "traffic on open connections is dropped in both directions", seed: 9, fault: func(r *requestTest) time.Time {
			r.blackhole(true, true)
			r.sleep(1500 * time.Millisecond)
			r.blackhole(true, true) // also on the connections that replaced them
			return time.Now()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRequestTest(t, requestTestOptions{seed: c.seed, zones: 1, hosts: 3})
			r.startLoad(r.mixedLoad(300, r.Daemons[0], r.Daemons[1]))
			injected := c.fault(r)
			r.sleep(recovery + steadyTraffic)
			if c.after != nil {
				c.after(r)
				r.sleep(recovery + steadyTraffic)
			}
			r.stopLoad()
			r.audit()
			r.checkSucceeded(injected.Add(recovery), time.Time{})
		})
	}
}

// TestEntryIsKilled checks that requests through other entries succeed after an entry is killed, and that
// the requests which the killed entry accepted are neither lost nor run twice.
func TestEntryIsKilled(t *testing.T) {
	t.Parallel()
	r := newRequestTest(t, requestTestOptions{seed: 1, zones: 1, hosts: 3})
	r.startLoad(r.mixedLoad(300, r.Daemons...))
	killed := time.Now()
	r.Daemons[0].Kill()
	r.sleep(recovery + steadyTraffic)
	r.stopLoad()
	r.audit()
	killedEntry := r.Daemons[0].Settings.Entry.Listen
	kept := r.responses[:0]
	for _, a := range r.responses {
		if a.Entry != killedEntry {
			kept = append(kept, a)
		}
	}
	r.responses = kept
	r.checkSucceeded(killed.Add(recovery), time.Time{})
}

// TestBrokenAnswers checks that every caller gets its own complete response or an error while targets
// respond late, twice to one request, or with truncated bodies.
func TestBrokenAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRequestTest(t, requestTestOptions{seed: 1, zones: 1, hosts: 2, target: func(config *targetserver.Config) {
		config.WorkDuration = revision.Duration(5 * time.Millisecond)
		config.Behaviours = []targetserver.Behaviour{{Prefix: "/counter/lookups/late", AddedLatency: revision.Duration(150 * time.Millisecond)}}
	}})
	config := r.mixedLoad(400, r.Daemons...)
	for _, path := range []string{"/counter/lookups/", "/counter/orders/"} {
		for _, kind := range []string{targetserver.ResponseRepeated, targetserver.ResponseTruncated, targetserver.ResponseTruncatedChunked} {
			config.Routes = append(config.Routes, load.Route{
				Method: http.MethodPost, Path: path + kind, Weight: 1, BodyBytes: 20,
				Headers: []load.Header{{Name: targetserver.HeaderResponseFault, Value: kind}},
			})
		}
	}
	config.Routes = append(config.Routes, load.Route{
		Method: http.MethodGet, Path: "/counter/lookups/late", Weight: 2,
		Headers: []load.Header{{Name: "X-Deadline-Ms", Value: "100"}},
	})
	r.startLoad(config)
	r.sleep(3 * time.Second)
	r.stopLoad()
	r.audit()
	failed := 0 // other requests that failed because of a broken response on their connection
	for _, a := range r.responses {
		switch {
		case strings.Contains(a.Path, "/cut"), strings.HasSuffix(a.Path, "/late"):
			is.True(a.Outcome != load.OutcomeResponded) // a truncated or late response can't be a complete one
		case strings.HasSuffix(a.Path, targetserver.ResponseRepeated):
			is.True(a.Outcome != load.OutcomeUnstated)
		case a.Outcome == load.OutcomeRefused, a.Outcome == load.OutcomeUnknown:
			failed++
		case a.Outcome != load.OutcomeResponded || a.Status != http.StatusOK:
			t.Fatalf("%s: %s, status %d, %s", a.Path, a.Outcome, a.Status, a.Error)
		}
	}
	is.True(failed*100 < len(r.responses))
}
