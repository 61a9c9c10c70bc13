// Package audit compares the outcomes that callers received with the requests that targets
// executed.
package audit

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"sassafrasnotch.example/mesh/standin/load"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

// Evidence holds the records of both ends. It must be complete: requests of a target whose
// records are missing are reported as lost.
type Evidence struct {
	Results    []load.AttemptResult
	Executions []targetserver.ExecutionRecord
	// IdempotentPrefixes are the path prefixes of requests that may run several times.
	IdempotentPrefixes []string
	// Grace is the time for which a leaving target may still receive new requests.
	Grace time.Duration
}

// Findings are the ids of the requests whose handling violates a guarantee, by kind.
type Findings struct {
	// Lost requests have a successful response, but no target completed them.
	Lost []string
	// ExecutedTooOften requests ran more often than they arrived without being refused, or more
	// than once for their Idempotency-Key.
	ExecutedTooOften []string
	// FalseRefusals are requests that ran although each arrival was refused or never sent.
	FalseRefusals []string
	// Mismatched requests received the response of another request.
	Mismatched []string
	// ReceivedTooLate requests arrived at a target that had been leaving for longer than Grace.
	ReceivedTooLate []string
}

// Empty reports whether there are no findings.
func (f Findings) Empty() bool {
	return len(f.Lost)+len(f.ExecutedTooOften)+len(f.FalseRefusals)+len(f.Mismatched)+len(f.ReceivedTooLate) == 0
}

// String returns the count and the first few ids of each kind.
func (f Findings) String() string {
	kinds := []struct {
		name string
		ids  []string
	}{
		{"lost", f.Lost},
		{"run twice", f.ExecutedTooOften},
		{"false refusals", f.FalseRefusals},
		{"crossed", f.Mismatched},
		{"late work", f.ReceivedTooLate},
	}
	var texts []string
	for _, kind := range kinds {
		texts = append(texts, fmt.Sprintf("%s %d%s", kind.name, len(kind.ids), examples(kind.ids)))
	}
	return strings.Join(texts, ", ")
}

func examples(ids []string) string {
	const maxExamples = 3
	if len(ids) == 0 {
		return ""
	}
	return fmt.Sprintf(" %v", ids[:min(maxExamples, len(ids))])
}

// requestHistory holds all results and execution records of one request.
type requestHistory struct {
	results    []load.AttemptResult
	executions []targetserver.ExecutionRecord
}

// Check returns the findings, each list in ascending order of the ids.
func Check(e Evidence) Findings {
	var f Findings
	histories := groupByRequest(e)
	for _, id := range sortedIDs(histories) {
		h := histories[id]
		appendIf(&f.Lost, id, h.lost())
		appendIf(&f.ExecutedTooOften, id, !e.idempotent(h) && h.executedTooOften())
		appendIf(&f.FalseRefusals, id, h.falselyRefused())
		appendIf(&f.Mismatched, id, h.mismatched())
		appendIf(&f.ReceivedTooLate, id, h.receivedTooLate(e.Grace))
	}
	return f
}

func appendIf(ids *[]string, id string, found bool) {
	if found {
		*ids = append(*ids, id)
	}
}

// groupByRequest groups results and execution records by request id. A record with an
// Idempotency-Key is assigned by the key, which callers set to the request id.
func groupByRequest(e Evidence) map[string]*requestHistory {
	histories := make(map[string]*requestHistory)
	historyOf := func(id string) *requestHistory {
		if histories[id] == nil {
			histories[id] = &requestHistory{}
		}
		return histories[id]
	}
	for _, result := range e.Results {
		h := historyOf(result.RequestID)
		h.results = append(h.results, result)
	}
	for _, record := range e.Executions {
		id := record.RequestID
		if record.IdempotencyKey != "" {
			id = record.IdempotencyKey
		}
		h := historyOf(id)
		h.executions = append(h.executions, record)
	}
	return histories
}

func sortedIDs(histories map[string]*requestHistory) []string {
	ids := make([]string, 0, len(histories))
	for id := range histories {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (e Evidence) idempotent(h *requestHistory) bool {
	return slices.ContainsFunc(e.IdempotentPrefixes, func(prefix string) bool {
		return len(h.executions) > 0 && strings.HasPrefix(h.executions[0].Path, prefix)
	})
}

// lost reports whether the caller received a success although no target completed the request.
func (h *requestHistory) lost() bool {
	succeeded := slices.ContainsFunc(h.results, func(r load.AttemptResult) bool {
		return r.Outcome == load.OutcomeResponded && r.Status < http.StatusMultipleChoices
	})
	completed := slices.ContainsFunc(h.executions, func(r targetserver.ExecutionRecord) bool { return r.Completed })
	return succeeded && !completed
}

// executedTooOften reports whether there are more runs than arrivals that were not refused, or
// more than one for a key.
func (h *requestHistory) executedTooOften() bool {
	if len(h.executions) == 0 {
		return false
	}
	if h.executions[0].IdempotencyKey != "" {
		return len(h.executions) > 1
	}
	arrivals := 0
	for _, result := range h.results {
		if mayHaveExecuted(result) {
			arrivals++
		}
	}
	return len(h.executions) > max(1, arrivals)
}

// falselyRefused reports whether the request ran although no arrival can have led to a run.
func (h *requestHistory) falselyRefused() bool {
	if len(h.results) == 0 || len(h.executions) == 0 {
		return false
	}
	return !slices.ContainsFunc(h.results, mayHaveExecuted)
}

// mayHaveExecuted reports whether the attempt may have led to a run: it was neither refused nor
// unsent.
func mayHaveExecuted(r load.AttemptResult) bool {
	return r.Outcome != load.OutcomeRefused && r.Outcome != load.OutcomeUnsent
}

func (h *requestHistory) mismatched() bool {
	return slices.ContainsFunc(h.results, func(r load.AttemptResult) bool { return r.Mismatched })
}

func (h *requestHistory) receivedTooLate(grace time.Duration) bool {
	return slices.ContainsFunc(h.executions, func(r targetserver.ExecutionRecord) bool { return r.SinceLeaving.Std() > grace })
}
