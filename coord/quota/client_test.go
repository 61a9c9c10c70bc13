package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// exchangeOnce sends the report that is due to the coordinator, and returns the decided requests.
func exchangeOnce(t *testing.T, now time.Duration, client *Client, coordinator *Coordinator) []*Waiter {
	t.Helper()
	_, report := client.Next(now)
	is.New(t).True(report != nil)
	return client.HandleReply(now, report.Sequence, coordinator.Handle(now, report))
}

// newPair returns a client that reports to a coordinator which acts, with 10 tokens in the bucket of blue.
func newPair(t *testing.T) (now time.Duration, client *Client, coordinator *Coordinator) {
	client = NewClient("h", 1, 0)
	client.SetCandidates([]string{"h"})
	coordinator = NewCoordinator(0, func() float64 { return 0 }, func(_ time.Duration, _ string, part float64) float64 { return part })
	coordinator.SetView(&View{Known: 1, Alive: 1})
	coordinator.SetLimits(0, Limits{"blue": {Rate: 10, Burst: 10}})
	for now = 2 * time.Second; now < 4*time.Second; now += ReportInterval {
		exchangeOnce(t, now, client, coordinator)
		coordinator.Tick(now)
	}
	return now, client, coordinator
}

// Requests that are refused together are told different times, within twice that of the refill.
func TestRefusedRequestsComeBackSpread(t *testing.T) {
	is := is.New(t)
	now, client, coordinator := newPair(t)
	var waiters []*Waiter
	for range 30 {
		waiters = append(waiters, client.Begin(now, "blue"))
	}
	exchangeOnce(t, now, client, coordinator)
	times := make(map[time.Duration]bool)
	granted, refused := 0, 0
	for _, w := range waiters {
		is.True(w.Decided)
		if w.Granted {
			granted++
			continue
		}
		refused++
		times[w.RetryAfter] = true
		is.True(w.RetryAfter > 0 && w.RetryAfter <= 2*maxRetryAfter)
	}
	is.Equal(granted, 10)
	is.Equal(len(times), refused)
}

// A token is given back while it is valid, and not after: it could admit a request beyond the bound.
func TestTokensAreReturnedWhileTheyAreValid(t *testing.T) {
	is := is.New(t)
	now, client, coordinator := newPair(t)
	first := client.Begin(now, "blue")
	exchangeOnce(t, now, client, coordinator)
	is.True(first.Granted)
	client.Return(now+tokenTTL/2, "blue")
	is.True(client.Begin(now+tokenTTL/2, "blue").Granted)
	client.Return(now+tokenTTL, "blue")
	is.True(!client.Begin(now+tokenTTL, "blue").Granted)
}

// A coordinator counts a daemon only after the former one has stopped to, and ignores a report that is
// older than one it has seen.
func TestReportsCountOnce(t *testing.T) {
	is := is.New(t)
	_, _, coordinator := newPair(t)
	now := 10 * time.Second
	coordinator.Handle(now, &Report{Host: "other", Incarnation: 2, Sequence: 5, Hold: 300 * time.Millisecond})
	is.Equal(coordinator.Part(now+299*time.Millisecond), 0.0)
	is.Equal(coordinator.Part(now+300*time.Millisecond), 1.0)
	reply := coordinator.Handle(now+400*time.Millisecond, &Report{Host: "other", Incarnation: 2, Sequence: 5, Demands: []Demand{{Tenant: "blue", Wanted: 1}}})
	is.Equal(len(reply.Grants), 0)
	is.Equal(coordinator.Part(now+reportValid), 0.0) // the old report did not renew it
}
