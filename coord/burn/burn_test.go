package burn

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

var testNow = time.Unix(1700000000, 0)

// historyAt is a Source that reads a history at a fixed time.
type historyAt struct {
	history *History
	now     time.Time
}

func (v historyAt) Over(span time.Duration) Count { return v.history.Over(v.now, span) }

// fill adds 1000 requests with a fraction of failures every 10 seconds, over a span that starts
// and ends the given times before testNow.
func fill(h *History, from, to time.Duration, failures float64) {
	for ago := from; ago > to; ago -= 10 * time.Second {
		h.Add(testNow.Add(-ago), Count{Requests: 1000, Failures: uint64(1000 * failures)})
	}
}

func TestEvaluate(t *testing.T) {
	const day = 24 * time.Hour
	cases := []struct {
		name      string
		fill      func(h *History)
		burning   []bool // by pair of windows
		remaining float64
	}{
		{"no requests", func(*History) {}, []bool{false, false, false}, 1},
		{"no failures", func(h *History) { fill(h, 30*day, 0, 0) }, []bool{false, false, false}, 1},
		{"half the budget", func(h *History) { fill(h, 30*day, 0, 0.005) }, []bool{false, false, false}, 0.5},
		{"slow burn", func(h *History) { fill(h, 30*day, 0, 0.015) }, []bool{false, false, true}, -0.5},
		{"fast burn", func(h *History) {
			fill(h, 30*day, time.Hour, 0)
			fill(h, time.Hour, 0, 0.2)
		}, []bool{true, false, false}, 0.97},
		{"fast burn that has ended", func(h *History) {
			fill(h, time.Hour, 10*time.Minute, 0.3)
			fill(h, 10*time.Minute, 0, 0)
		}, []bool{false, true, true}, -24},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHistory()
			c.fill(h)
			report, ok := Evaluate(revision.Objective{Success: 9900}, historyAt{h, testNow})
			is.True(ok)
			for i, w := range report.Windows {
				is.Equal(w.Burning(), c.burning[i])
			}
			is.True(math.Abs(report.BudgetLeft-c.remaining) < 0.02)
		})
	}
}

// TestSpans checks that the merged counts of two hosts are evaluated like those of one.
func TestSpans(t *testing.T) {
	is := is.New(t)
	objective := revision.Objective{Success: 9900, Window: revision.Duration(24 * time.Hour)}
	good, bad := NewHistory(), NewHistory()
	fill(good, time.Hour, 0, 0)
	fill(bad, time.Hour, 0, 0.5)
	merged := NewSpans(objective, historyAt{good, testNow}).Merge(NewSpans(objective, historyAt{bad, testNow}))
	report, ok := Evaluate(objective, merged)
	is.True(ok)
	is.Equal(report.Total, Count{Requests: 720000, Failures: 180000})
	is.True(report.Burning())
	is.Equal(merged.Over(time.Nanosecond), Count{})
}

func TestNoObjective(t *testing.T) {
	is := is.New(t)
	for _, success := range []int{0, revision.FullShare} {
		_, ok := Evaluate(revision.Objective{Success: success}, historyAt{NewHistory(), testNow})
		is.True(!ok)
	}
}

func TestHistoryDropsOldCounts(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	h.Add(testNow, Count{Requests: 5})
	for _, later := range []time.Duration{0, time.Minute, time.Hour, 48 * time.Hour} {
		now := testNow.Add(later)
		is.Equal(h.Over(now, later+10*time.Second).Requests, uint64(5))
		is.Equal(h.Over(now.Add(2*time.Hour), later+time.Minute).Requests, uint64(0))
	}
	is.Equal(h.Over(testNow.Add(100*24*time.Hour), 200*24*time.Hour).Requests, uint64(0))
	h.Add(testNow.Add(-60*24*time.Hour), Count{Requests: 7}) // older than any ring covers
	is.Equal(h.Over(testNow, time.Minute).Requests, uint64(5))
}
