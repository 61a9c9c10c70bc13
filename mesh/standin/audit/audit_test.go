package audit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/standin/load"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

func TestCheck(t *testing.T) {
	const grace = time.Second
	result := func(o load.Outcome, status int) load.AttemptResult {
		return load.AttemptResult{RequestID: "r", Outcome: o, Status: status}
	}
	success := result(load.OutcomeResponded, 200)
	refused := result(load.OutcomeRefused, 503)
	unknown := result(load.OutcomeUnknown, 504)
	mismatched := success
	mismatched.Mismatched = true
	order := targetserver.ExecutionRecord{RequestID: "r", Path: "/orders", Completed: true}
	interrupted := targetserver.ExecutionRecord{RequestID: "r", Path: "/orders"}
	lookup := targetserver.ExecutionRecord{RequestID: "r", Path: "/lookups/1", Completed: true}
	keyedOrder := targetserver.ExecutionRecord{RequestID: "r", IdempotencyKey: "r", Path: "/orders", Completed: true}
	tooLate, inTime := order, order
	tooLate.SinceLeaving = revision.Duration(grace + 1)
	inTime.SinceLeaving = revision.Duration(grace)
	r := []string{"r"}
	cases := []struct {
		name       string
		results    []load.AttemptResult
		executions []targetserver.ExecutionRecord
		want       Findings
	}{
		{"success and run once", []load.AttemptResult{success}, []targetserver.ExecutionRecord{order}, Findings{}},
		{"refused and not run", []load.AttemptResult{refused}, nil, Findings{}},
		{"unknown and run", []load.AttemptResult{unknown}, []targetserver.ExecutionRecord{interrupted}, Findings{}},
		{"lost", []load.AttemptResult{success}, nil, Findings{Lost: r}},
		{"success but interrupted", []load.AttemptResult{success}, []targetserver.ExecutionRecord{interrupted}, Findings{Lost: r}},
		{"a failure response needs no run", []load.AttemptResult{result(load.OutcomeResponded, 500)}, nil, Findings{}},
		{"run twice", []load.AttemptResult{success}, []targetserver.ExecutionRecord{order, order}, Findings{ExecutedTooOften: r}},
		{"run twice, once interrupted", []load.AttemptResult{success}, []targetserver.ExecutionRecord{interrupted, order}, Findings{ExecutedTooOften: r}},
		{"run once for each arrival", []load.AttemptResult{unknown, success}, []targetserver.ExecutionRecord{order, order}, Findings{}},
		{"run for a refused arrival too", []load.AttemptResult{refused, success}, []targetserver.ExecutionRecord{order, order}, Findings{ExecutedTooOften: r}},
		{"idempotent", []load.AttemptResult{success}, []targetserver.ExecutionRecord{lookup, lookup}, Findings{}},
		{"keyed and run for each arrival", []load.AttemptResult{unknown, success}, []targetserver.ExecutionRecord{keyedOrder, keyedOrder}, Findings{ExecutedTooOften: r}},
		{"run twice without a result", nil, []targetserver.ExecutionRecord{order, order}, Findings{ExecutedTooOften: r}},
		{"falsely refused", []load.AttemptResult{refused}, []targetserver.ExecutionRecord{interrupted}, Findings{FalseRefusals: r}},
		{"idempotent and falsely refused", []load.AttemptResult{refused}, []targetserver.ExecutionRecord{lookup}, Findings{FalseRefusals: r}},
		{"refused after an unknown outcome", []load.AttemptResult{unknown, refused}, []targetserver.ExecutionRecord{order}, Findings{}},
		{"mismatched response", []load.AttemptResult{mismatched}, []targetserver.ExecutionRecord{order}, Findings{Mismatched: r}},
		{"received after the grace time", []load.AttemptResult{success}, []targetserver.ExecutionRecord{tooLate}, Findings{ReceivedTooLate: r}},
		{"received within the grace time", []load.AttemptResult{success}, []targetserver.ExecutionRecord{inTime}, Findings{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := Check(Evidence{Results: c.results, Executions: c.executions, IdempotentPrefixes: []string{"/lookups"}, Grace: grace})
			is.Equal(got, c.want)
			is.Equal(got.Empty(), c.want.Empty())
		})
	}
}

func TestFindingsString(t *testing.T) {
	f := Findings{Lost: []string{"a", "b", "c", "d"}}
	is.New(t).Equal(f.String(), "lost 4 [a b c], run twice 0, false refusals 0, crossed 0, late work 0")
}
