package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

func TestOutcomeByFault(t *testing.T) {
	good := respondsWith(200, "swan")
	overloaded := refusesWith(peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED)
	quarantined := refusesWith(peerpb.RefusalReason_REFUSAL_REASON_QUARANTINED)
	crossed := sendsFrames(func(attempt uint64) []*peerpb.CallFrame {
		return []*peerpb.CallFrame{responseFrame(attempt+1, &peerpb.AnswerHead{Status: 200, Complete: true})}
	})
	short := sendsFrames(func(attempt uint64) []*peerpb.CallFrame {
		return []*peerpb.CallFrame{responseFrame(attempt, &peerpb.AnswerHead{Status: 200, ContentLength: 9, InlineBody: []byte("x"), Complete: true})}
	})
	badField := sendsFrames(func(attempt uint64) []*peerpb.CallFrame {
		fields := []*peerpb.Header{{Name: "Content-Length ", Value: "1"}}
		return []*peerpb.CallFrame{responseFrame(attempt, &peerpb.AnswerHead{Status: 200, Headers: fields, ContentLength: 1, InlineBody: []byte("x"), Complete: true})}
	})
	noHead := sendsFrames(func(attempt uint64) []*peerpb.CallFrame {
		return []*peerpb.CallFrame{dataFrame(attempt, "x")}
	})
	tests := []struct {
		name    string
		path    string
		hosts   map[string]hostHandler
		status  int
		outcome string
		reason  Reason
		runs    int // requests that reached a host
	}{
		{"answered", "/order", twoHosts(good, nil), 200, "answered", "", 1},
		{"target error is a response", "/catalog", twoHosts(respondsWith(500, "broken"), good), 500, "answered", "", 1},
		{"unreachable, then another host", "/order", twoHosts(nil, good), 200, "answered", "", 1},
		{"all unreachable", "/order", twoHosts(nil, nil), 503, "refused", ReasonUnreachable, 0},
		{"refused, then another host", "/order", twoHosts(overloaded, good), 200, "answered", "", 2},
		{"refused by all", "/order", twoHosts(overloaded, overloaded), 503, "refused", ReasonOverloaded, 2},
		{"quarantined is not retried", "/catalog", twoHosts(quarantined, good), 503, "refused", ReasonQuarantined, 1},
		{"lost, may not be repeated", "/order", twoHosts(closesStream, good), 502, "unknown", ReasonLost, 1},
		{"lost, idempotent", "/catalog", twoHosts(closesStream, good), 200, "answered", "", 2},
		{"lost, then refused, is unknown", "/catalog", twoHosts(closesStream, overloaded), 502, "unknown", ReasonLost, 2},
		{"failed, may not be repeated", "/order", twoHosts(fails(false), good), 502, "unknown", ReasonFailed, 1},
		{"crashed, may not be repeated", "/order", twoHosts(fails(true), good), 502, "unknown", ReasonFailed, 1},
		{"crashed, idempotent", "/catalog", twoHosts(fails(true), good), 200, "answered", "", 2},
		{"crashed everywhere", "/catalog", map[string]hostHandler{"a0": fails(true), "a1": fails(true), "a2": fails(true)}, 502, "unknown", ReasonFailed, 2},
		{"response of another attempt, may not be repeated", "/order", twoHosts(crossed, good), 502, "unknown", ReasonInvalidResponse, 1},
		{"response of another attempt, idempotent", "/catalog", twoHosts(crossed, good), 200, "answered", "", 2},
		{"short response", "/order", twoHosts(short, good), 502, "unknown", ReasonInvalidResponse, 1},
		{"invalid field name", "/order", twoHosts(badField, good), 502, "unknown", ReasonInvalidResponse, 1},
		{"invalid field name, idempotent", "/catalog", twoHosts(badField, good), 200, "answered", "", 2},
		{"data before the head", "/order", twoHosts(noHead, good), 502, "unknown", ReasonInvalidResponse, 1},
		{"no route", "/nothing", twoHosts(good, good), 404, "refused", ReasonNoRoute, 0},
		{"dot segment", "/catalog/%2e%2e/order", twoHosts(good, good), 400, "refused", ReasonBadRequest, 0},
		{"no target known", "/order", map[string]hostHandler{}, 503, "refused", ReasonNoTarget, 0},
		{"keyed without a key", "/keyed", twoHosts(good, good), 400, "refused", ReasonKeyMissing, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, testSettings(), nil, test.hosts)
			response, err := f.client.Post(f.url+test.path, "text/plain", strings.NewReader("a swan"))
			is.NoErr(err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.Equal(response.Header.Get(HeaderOutcome), test.outcome)
			is.True(response.Header.Get(HeaderRequestID) != "")
			is.Equal(f.hosts.dispatched(), test.runs)
			if test.reason == "" {
				return
			}
			var problem Problem
			is.NoErr(json.Unmarshal(body, &problem))
			is.Equal(problem.Reason, test.reason)
			is.Equal(problem.Outcome, test.outcome)
			is.True(problem.Step != "")
			is.Equal(response.Header.Get("Retry-After") != "", test.status == 503)
		})
	}
}

func TestDeadline(t *testing.T) {
	tests := []struct {
		name     string
		deadline string
		body     int // bytes
		status   int
		outcome  string
	}{
		{"passes while the host is silent", "30", 0, 504, "unknown"},
		{"passes after a short body", "30", 10, 504, "unknown"},
		{"passes after a streamed body", "300", 50_000, 504, "unknown"},
		{"already passed", "0", 0, 503, "refused"},
		{"malformed", "soon", 0, 400, "refused"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, testSettings(), nil, map[string]hostHandler{"a0": neverResponds})
			request, err := http.NewRequest(http.MethodPost, f.url+"/order", strings.NewReader(strings.Repeat("x", test.body)))
			is.NoErr(err)
			request.Header.Set(HeaderDeadline, test.deadline)
			response, err := f.client.Do(request)
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, test.status)
			is.Equal(response.Header.Get(HeaderOutcome), test.outcome)
		})
	}
}

func TestNotConfiguredIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, ""), nil))
	f.configuration.Store(nil)
	response, err := f.client.Get(f.url + "/order")
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, 503)
	is.Equal(response.Header.Get(HeaderOutcome), "refused")
	is.Equal(f.hosts.dispatched(), 0)
}

func TestUnreportedCountsOmitWhatTheHostReports(t *testing.T) {
	is := is.New(t)
	counts := NewUnreportedCounts()
	attempt := Attempt{Service: "orders", Version: "v2", Route: "order", Zone: "a"}
	for _, lost := range []Attempt{
		{Outcome: retry.Unknown, Reason: ReasonLost},
		{Outcome: retry.Unknown, Reason: ReasonTimeout},
		{Outcome: retry.Unknown, Reason: ReasonFailed, ReportedByHost: true},
		{Outcome: retry.Unknown, Reason: ReasonCallerDisconnected},
		{Outcome: retry.Refused, Reason: ReasonUnreachable},
		{Outcome: retry.Responded, Status: 500, ReportedByHost: true},
	} {
		lost.Service, lost.Version, lost.Route, lost.Zone = attempt.Service, attempt.Version, attempt.Route, attempt.Zone
		counts.ObserveAttempt(lost)
	}
	outcomes := counts.Outcomes()
	is.Equal(len(outcomes), 1)
	is.Equal(outcomes[0].GetUnknown(), uint64(2))
	is.Equal(outcomes[0].GetRequests(), uint64(2))
	is.Equal(outcomes[0].GetVersion(), "v2")
	is.Equal(len(counts.Outcomes()), 0)
}

func TestRequestChainIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, ""), nil))
	request, err := http.NewRequest(http.MethodGet, f.url+"/order", nil)
	is.NoErr(err)
	request.Header.Set(HeaderHops, "32")
	response, err := f.client.Do(request)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusLoopDetected)
	is.Equal(f.hosts.dispatched(), 0)
}

func TestCallerDisconnectCancelsTheExchange(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	f := newFixture(t, testSettings(), nil, twoHosts(func(stream *pipeStream, head *peerpb.CallHead, attempt uint64) {
		neverResponds(stream, head, attempt) // until the entry closes the stream
		close(cancelled)
	}, nil))
	conn := dial(t, f)
	_, err := io.WriteString(conn, "GET /order HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	waitFor(t, func() bool { return f.hosts.dispatched() == 1 })
	is.NoErr(conn.Close())
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Fatal("the stream was not closed within 10 s of the caller's disconnect")
	}
}
