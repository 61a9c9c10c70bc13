package integration

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/load"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

// sendRequest sends one request with the identifier and returns the response in the form that the audit
// reads.
func (r *requestTest) sendRequest(daemon *cluster.Daemon, method, path, id string, headers ...load.Header) load.AttemptResult {
	answer := load.AttemptResult{RequestID: id, Attempt: 1, Entry: daemon.Settings.Entry.Listen, Method: method, Path: path, DueAt: time.Now()}
	request, err := http.NewRequestWithContext(r.t.Context(), method, "http://"+answer.Entry+path, strings.NewReader("body of "+path))
	is.New(r.t).NoErr(err)
	request.Header.Set(targetserver.HeaderRequestID, id)
	for _, h := range headers {
		request.Header.Set(h.Name, h.Value)
	}
	response, err := r.client.Do(request)
	if err != nil {
		answer.Outcome, answer.Error = load.OutcomeIncomplete, err.Error()
		return answer
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.New(r.t).NoErr(err)
	answer.Outcome, answer.Status = load.Outcome(response.Header.Get(load.HeaderOutcome)), response.StatusCode
	if answer.Outcome != load.OutcomeResponded {
		answer.Error = string(body)
	}
	return answer
}

// sendKeyed sends the order with the idempotency key "swan" through the daemon and keeps the response for
// the audit.
func (r *requestTest) sendKeyed(daemon *cluster.Daemon, headers ...load.Header) load.AttemptResult {
	r.t.Helper()
	headers = append(headers, load.Header{Name: targetserver.HeaderIdempotencyKey, Value: "swan"})
	answer := r.sendRequest(daemon, http.MethodPost, keyedPath, "swan", headers...)
	answer.Keyed = true
	r.responses = append(r.responses, answer)
	r.t.Logf("%s responded %s %d %s", daemon.Settings.Host, answer.Outcome, answer.Status, strings.TrimSpace(answer.Error))
	return answer
}

// retryKeyed sends the order again until it succeeds.
func (r *requestTest) retryKeyed(daemon *cluster.Daemon) {
	r.t.Helper()
	cluster.Eventually(r.t, 10*time.Second, "the order sent again succeeds", func() error {
		if a := r.sendKeyed(daemon); a.Outcome != load.OutcomeResponded || a.Status != http.StatusOK {
			return fmt.Errorf("outcome %s, status %d, %s", a.Outcome, a.Status, a.Error)
		}
		return nil
	})
}

// TestKeyedOrderSentAgain checks that an order with an idempotency key runs exactly once however it is
// sent again, and that its outcome is reported once it is known.
func TestKeyedOrderSentAgain(t *testing.T) {
	t.Parallel()
	shortDeadline := load.Header{Name: "X-Deadline-Ms", Value: "150"}
	cases := []struct {
		name string
		seed uint64
		runs int // expected executions of the order
		act  func(r *requestTest)
	}{
		{"by another entry after an unknown outcome", 1, 1, func(r *requestTest) {
			first := r.sendKeyed(r.Daemons[0], shortDeadline)
			is.New(t).Equal(first.Outcome, load.OutcomeUnknown)
			is.New(t).True(r.sendKeyed(r.Daemons[1]).Outcome != load.OutcomeRefused || r.executions() == 0)
		}},
		{"in another zone after its response", 2, 1, func(r *requestTest) {
			r.retryKeyed(r.Daemons[0])
			r.retryKeyed(r.Daemons[2])
			r.retryKeyed(r.Daemons[3])
		}},
		{"by every entry at once", 3, 1, func(r *requestTest) {
			var group sync.WaitGroup
			answers := make([]load.AttemptResult, len(r.Daemons))
			for i, daemon := range r.Daemons {
				group.Go(func() {
					answers[i] = r.sendRequest(daemon, http.MethodPost, keyedPath, "swan",
						load.Header{Name: targetserver.HeaderIdempotencyKey, Value: "swan"})
				})
			}
			group.Wait()
			r.responses = append(r.responses, answers...)
			r.retryKeyed(r.Daemons[0])
		}},
		{"while the platform's responses to writes are lost", 4, 1, func(r *requestTest) {
			for _, daemon := range r.Daemons {
				r.SetPlatformFaults(platformserver.Faults{DropWriteResponses: 2})
				r.sendKeyed(daemon)
			}
			r.SetPlatformFaults(platformserver.Faults{})
			r.retryKeyed(r.Daemons[2])
		}},
		{"while the platform is unavailable", 5, 1, func(r *requestTest) {
			r.SetPlatformFaults(platformserver.Faults{Outage: true})
			for _, daemon := range r.Daemons {
				is.New(t).Equal(r.sendKeyed(daemon).Outcome, load.OutcomeRefused)
			}
			is.New(t).Equal(r.executions(), 0)
			r.SetPlatformFaults(platformserver.Faults{})
			r.retryKeyed(r.Daemons[2])
		}},
		{"while the platform doesn't respond", 6, 1, func(r *requestTest) {
			r.SetPlatformFaults(platformserver.Faults{Unresponsive: true})
			is.New(t).Equal(r.sendKeyed(r.Daemons[0]).Outcome, load.OutcomeRefused)
			is.New(t).Equal(r.sendKeyed(r.Daemons[3]).Outcome, load.OutcomeRefused)
			is.New(t).Equal(r.executions(), 0)
			r.SetPlatformFaults(platformserver.Faults{})
			r.retryKeyed(r.Daemons[2])
		}},
		{"while the platform is slower than the deadline", 7, 1, func(r *requestTest) {
			r.SetPlatformFaults(platformserver.Faults{Delay: revision.Duration(400 * time.Millisecond)})
			is.New(t).Equal(r.sendKeyed(r.Daemons[0], shortDeadline).Outcome, load.OutcomeRefused)
			is.New(t).Equal(r.sendKeyed(r.Daemons[2], shortDeadline).Outcome, load.OutcomeRefused)
			r.SetPlatformFaults(platformserver.Faults{})
			r.retryKeyed(r.Daemons[3])
		}},
		{"after its exit was killed", 8, 1, func(r *requestTest) {
			done := make(chan load.AttemptResult, 1)
			go func() {
				done <- r.sendRequest(r.Daemons[0], http.MethodPost, keyedPath, "swan",
					load.Header{Name: targetserver.HeaderIdempotencyKey, Value: "swan"})
			}()
			cluster.Eventually(t, recovery, "the order runs", func() error {
				if r.executions() == 0 {
					return fmt.Errorf("no target has run it")
				}
				return nil
			})
			for _, daemon := range r.Daemons[1:2] {
				daemon.Kill()
			}
			r.responses = append(r.responses, <-done)
			for _, daemon := range r.Daemons[2:] {
				is.New(t).True(r.sendKeyed(daemon).Outcome != load.OutcomeRefused)
			}
		}},
		{"after its entry was killed", 9, 1, func(r *requestTest) {
			done := make(chan load.AttemptResult, 1)
			go func() {
				done <- r.sendRequest(r.Daemons[0], http.MethodPost, keyedPath, "swan",
					load.Header{Name: targetserver.HeaderIdempotencyKey, Value: "swan"})
			}()
			cluster.Eventually(t, recovery, "the order runs", func() error {
				if r.executions() == 0 {
					return fmt.Errorf("no target has run it")
				}
				return nil
			})
			r.Daemons[0].Kill()
			r.responses = append(r.responses, <-done)
			for _, daemon := range r.Daemons[1:] {
				is.New(t).True(r.sendKeyed(daemon).Outcome != load.OutcomeRefused)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRequestTest(t, requestTestOptions{seed: c.seed, zones: 2, hosts: 2, target: func(config *targetserver.Config) {
				config.WorkDuration = revision.Duration(300 * time.Millisecond)
			}})
			c.act(r)
			is.New(t).Equal(len(r.audit()), c.runs)
		})
	}
}

// executions returns the number of execution records of all targets so far.
func (r *requestTest) executions() int {
	count := 0
	for _, target := range r.targets {
		records, err := target.ExecutionRecords()
		is.New(r.t).NoErr(err)
		count += len(records)
	}
	return count
}

// TestRequestThatCrashesTargets checks that a request which crashes every target that runs it crashes at
// most two, although its caller sends it ten times.
func TestRequestThatCrashesTargets(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		seed    uint64
		path    string
		pause   time.Duration // pause after each attempt
		headers []load.Header
	}{
		{"idempotent", 1, "/counter/lookups/poison", time.Second, nil},
		{"idempotent, at once", 2, "/counter/lookups/poison", 0, nil},
		{"not to be repeated", 3, "/counter/orders/poison", time.Second, nil},
		{"not to be repeated, at once", 4, "/counter/orders/poison", 0, nil},
		{"keyed", 5, keyedPath, time.Second, []load.Header{{Name: targetserver.HeaderIdempotencyKey, Value: "poison"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRequestTest(t, requestTestOptions{seed: c.seed, zones: 2, hosts: 3, target: func(config *targetserver.Config) {
				config.WorkDuration = revision.Duration(time.Millisecond)
				config.Crash.RestartAfter = revision.Duration(300 * time.Millisecond)
			}})
			headers := append(c.headers, load.Header{Name: targetserver.HeaderCrash, Value: "yes"})
			for i := range 10 {
				answer := r.sendRequest(r.Daemons[i%len(r.Daemons)], http.MethodPost, c.path, "poison", headers...)
				is.New(t).True(answer.Outcome != load.OutcomeResponded)
				t.Logf("resend %d: %s %d %s", i, answer.Outcome, answer.Status, strings.TrimSpace(answer.Error))
				r.responses = append(r.responses, answer)
				r.sleep(c.pause)
			}
			runs := len(r.audit())
			t.Logf("%d targets crashed", runs)
			is.New(t).True(runs >= 1 && runs <= 2)
		})
	}
}
