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
	told := func(o load.Outcome, status int) load.AttemptResult {
		return load.AttemptResult{RequestID: "r", Outcome: o, Status: status}
	}
	ok := told(load.OutcomeResponded, 200)
	refused := told(load.OutcomeRefused, 503)
	unknown := told(load.OutcomeUnknown, 504)
	crossed := ok
	crossed.Mismatched = true
	order := targetserver.ExecutionRecord{RequestID: "r", Path: "/orders", Completed: true}
	cut := targetserver.ExecutionRecord{RequestID: "r", Path: "/orders"}
	lookup := targetserver.ExecutionRecord{RequestID: "r", Path: "/lookups/1", Completed: true}
	keyed := targetserver.ExecutionRecord{RequestID: "r", IdempotencyKey: "r", Path: "/orders", Completed: true}
	late, inTime := order, order
	late.SinceLeaving = revision.Duration(grace + 1)
	inTime.SinceLeaving = revision.Duration(grace)
	r := []string{"r"}
	cases := []struct {
		name    string
		answers []load.AttemptResult
		records []targetserver.ExecutionRecord
		want    Findings
	}{
		{"as promised", []load.AttemptResult{ok}, []targetserver.ExecutionRecord{order}, Findings{}},
		{"refused and not run", []load.AttemptResult{refused}, nil, Findings{}},
		{"unknown and run", []load.AttemptResult{unknown}, []targetserver.ExecutionRecord{cut}, Findings{}},
		{"lost", []load.AttemptResult{ok}, nil, Findings{Lost: r}},
		{"answered but cut off", []load.AttemptResult{ok}, []targetserver.ExecutionRecord{cut}, Findings{Lost: r}},
		{"an answered failure may come from elsewhere", []load.AttemptResult{told(load.OutcomeResponded, 500)}, nil, Findings{}},
		{"run twice", []load.AttemptResult{ok}, []targetserver.ExecutionRecord{order, order}, Findings{ExecutedTooOften: r}},
		{"run twice, once cut off", []load.AttemptResult{ok}, []targetserver.ExecutionRecord{cut, order}, Findings{ExecutedTooOften: r}},
		{"run once for each arrival", []load.AttemptResult{unknown, ok}, []targetserver.ExecutionRecord{order, order}, Findings{}},
		{"run for a refused arrival too", []load.AttemptResult{refused, ok}, []targetserver.ExecutionRecord{order, order}, Findings{ExecutedTooOften: r}},
		{"idempotent", []load.AttemptResult{ok}, []targetserver.ExecutionRecord{lookup, lookup}, Findings{}},
		{"keyed and run for each arrival", []load.AttemptResult{unknown, ok}, []targetserver.ExecutionRecord{keyed, keyed}, Findings{ExecutedTooOften: r}},
		{"run twice without an answer", nil, []targetserver.ExecutionRecord{order, order}, Findings{ExecutedTooOften: r}},
		{"falsely refused", []load.AttemptResult{refused}, []targetserver.ExecutionRecord{cut}, Findings{FalseRefusals: r}},
		{"idempotent, falsely refused", []load.AttemptResult{refused}, []targetserver.ExecutionRecord{lookup}, Findings{FalseRefusals: r}},
		{"refused after an unknown outcome", []load.AttemptResult{unknown, refused}, []targetserver.ExecutionRecord{order}, Findings{}},
		{"crossed", []load.AttemptResult{crossed}, []targetserver.ExecutionRecord{order}, Findings{Mismatched: r}},
		{"late work", []load.AttemptResult{ok}, []targetserver.ExecutionRecord{late}, Findings{ReceivedTooLate: r}},
		{"work in time", []load.AttemptResult{ok}, []targetserver.ExecutionRecord{inTime}, Findings{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := Check(Evidence{Results: c.answers, Executions: c.records, IdempotentPrefixes: []string{"/lookups"}, Grace: grace})
			is.Equal(got, c.want)
			is.Equal(got.Empty(), c.want.Empty())
		})
	}
}

func TestFindingsAreNamed(t *testing.T) {
	f := Findings{Lost: []string{"a", "b", "c", "d"}}
	is.New(t).Equal(f.String(), "lost 4 [a b c], run twice 0, false refusals 0, crossed 0, late work 0")
}
