// Package audit compares what callers were told with what targets ran.
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

// Evidence is what both ends wrote down. It must be whole: a target whose
// records are missing shows as lost requests.
type Evidence struct {
	Results    []load.AttemptResult
	Executions []targetserver.ExecutionRecord
	// IdempotentPrefixes are the path prefixes whose requests may run several times.
	IdempotentPrefixes []string
	// Grace is the time for which a leaving target may still get new work.
	Grace time.Duration
}

// Findings are the ids of the requests that were not treated as promised.
type Findings struct {
	// Lost requests were answered, but no target completed them.
	Lost []string
	// ExecutedTooOften requests ran more often than they arrived, or more than once
	// for their Idempotency-Key.
	ExecutedTooOften []string
	// FalseRefusals are requests that ran although each arrival was refused.
	FalseRefusals []string
	// Mismatched requests got the answer of another one.
	Mismatched []string
	// ReceivedTooLate requests came to a target that had left for longer than Grace.
	ReceivedTooLate []string
}

// Empty reports whether nothing was found.
func (f Findings) Empty() bool {
	return len(f.Lost)+len(f.ExecutedTooOften)+len(f.FalseRefusals)+len(f.Mismatched)+len(f.ReceivedTooLate) == 0
}

// String counts the findings and names the first few of each kind.
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
	const shown = 3
	if len(ids) == 0 {
		return ""
	}
	return fmt.Sprintf(" %v", ids[:min(shown, len(ids))])
}

// history is everything about one request.
type history struct {
	answers []load.AttemptResult
	records []targetserver.ExecutionRecord
}

// Check returns the findings, each list in the order of the ids.
func Check(e Evidence) Findings {
	var f Findings
	histories := collect(e)
	for _, id := range sortedIDs(histories) {
		h := histories[id]
		appendIf(&f.Lost, id, h.lost())
		appendIf(&f.ExecutedTooOften, id, !e.idempotent(h) && h.ranTooOften())
		appendIf(&f.FalseRefusals, id, h.falselyRefused())
		appendIf(&f.Mismatched, id, h.crossed())
		appendIf(&f.ReceivedTooLate, id, h.late(e.Grace))
	}
	return f
}

func appendIf(ids *[]string, id string, found bool) {
	if found {
		*ids = append(*ids, id)
	}
}

// collect groups answers and records by request. A record counts for its
// Idempotency-Key where it has one, which callers set to the request id.
func collect(e Evidence) map[string]*history {
	histories := make(map[string]*history)
	of := func(id string) *history {
		if histories[id] == nil {
			histories[id] = &history{}
		}
		return histories[id]
	}
	for _, answer := range e.Results {
		h := of(answer.RequestID)
		h.answers = append(h.answers, answer)
	}
	for _, record := range e.Executions {
		id := record.RequestID
		if record.IdempotencyKey != "" {
			id = record.IdempotencyKey
		}
		h := of(id)
		h.records = append(h.records, record)
	}
	return histories
}

func sortedIDs(histories map[string]*history) []string {
	ids := make([]string, 0, len(histories))
	for id := range histories {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (e Evidence) idempotent(h *history) bool {
	return slices.ContainsFunc(e.IdempotentPrefixes, func(prefix string) bool {
		return len(h.records) > 0 && strings.HasPrefix(h.records[0].Path, prefix)
	})
}

// lost reports a success told to the caller that no target completed.
func (h *history) lost() bool {
	succeeded := slices.ContainsFunc(h.answers, func(a load.AttemptResult) bool {
		return a.Outcome == load.OutcomeResponded && a.Status < http.StatusMultipleChoices
	})
	completed := slices.ContainsFunc(h.records, func(r targetserver.ExecutionRecord) bool { return r.Completed })
	return succeeded && !completed
}

// ranTooOften reports more runs than arrivals that were not refused, or than
// one for a key.
func (h *history) ranTooOften() bool {
	if len(h.records) == 0 {
		return false
	}
	if h.records[0].IdempotencyKey != "" {
		return len(h.records) > 1
	}
	arrivals := 0
	for _, answer := range h.answers {
		if mayHaveRun(answer) {
			arrivals++
		}
	}
	return len(h.records) > max(1, arrivals)
}

// falselyRefused reports a run although no arrival can have led to one.
func (h *history) falselyRefused() bool {
	if len(h.answers) == 0 || len(h.records) == 0 {
		return false
	}
	return !slices.ContainsFunc(h.answers, mayHaveRun)
}

// mayHaveRun reports whether the caller was not told that its request did not
// run.
func mayHaveRun(a load.AttemptResult) bool {
	return a.Outcome != load.OutcomeRefused && a.Outcome != load.OutcomeUnsent
}

func (h *history) crossed() bool {
	return slices.ContainsFunc(h.answers, func(a load.AttemptResult) bool { return a.Mismatched })
}

func (h *history) late(grace time.Duration) bool {
	return slices.ContainsFunc(h.records, func(r targetserver.ExecutionRecord) bool { return r.SinceLeaving.Std() > grace })
}
