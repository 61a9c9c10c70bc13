package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasnotch.example/coord/revision"
)

func TestDecide(t *testing.T) {
	tests := []struct {
		name  string
		after Attempt
		want  bool
	}{
		{"refused, may not be repeated", Attempt{Outcome: Refused, Repeat: revision.RepeatNever, Replayable: true, Attempts: 1, Left: time.Second}, true},
		{"refused, keyed", Attempt{Outcome: Refused, Repeat: revision.RepeatKeyed, Replayable: true, Attempts: 1, Left: time.Second}, true},
		{"refused, body gone", Attempt{Outcome: Refused, Repeat: revision.RepeatIdempotent, Attempts: 1, Left: time.Second}, false},
		{"unknown, idempotent", Attempt{Outcome: Unknown, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 1, Left: time.Second}, true},
		{"unknown, may not be repeated", Attempt{Outcome: Unknown, Repeat: revision.RepeatNever, Replayable: true, Attempts: 1, Left: time.Second}, false},
		{"unknown, keyed", Attempt{Outcome: Unknown, Repeat: revision.RepeatKeyed, Replayable: true, Attempts: 1, Left: time.Second}, false},
		{"unknown, no mode", Attempt{Outcome: Unknown, Replayable: true, Attempts: 1, Left: time.Second}, false},
		{"answered", Attempt{Outcome: Answered, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 1, Left: time.Second}, false},
		{"one crash", Attempt{Outcome: Unknown, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 1, Crashes: 1, Left: time.Second}, true},
		{"two crashes", Attempt{Outcome: Unknown, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 2, Crashes: 2, Left: time.Second}, false},
		{"refused after two crashes", Attempt{Outcome: Refused, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 2, Crashes: 2, Left: time.Second}, false},
		{"attempts used up", Attempt{Outcome: Refused, Replayable: true, Attempts: MaxAttempts, Left: time.Second}, false},
		{"hosts that leave do not count", Attempt{Outcome: Refused, Replayable: true, Attempts: MaxAttempts, Passed: 2, LastPassed: true, Left: time.Second}, true},
		{"counted attempts used up besides", Attempt{Outcome: Refused, Replayable: true, Attempts: MaxAttempts + 2, Passed: 2, Left: time.Second}, false},
		{"too many hosts leave", Attempt{Outcome: Refused, Replayable: true, Attempts: MaxPassed, Passed: MaxPassed, LastPassed: true, Left: time.Second}, false},
		{"no time left", Attempt{Outcome: Refused, Replayable: true, Attempts: 1}, false},
		{"backoff ends past the deadline", Attempt{Outcome: Refused, Replayable: true, Attempts: 2, Left: 2 * time.Millisecond}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Decide(test.after, NewBudget(DefaultLimits), 0.9).Retry, test.want)
		})
	}
}

func TestBackoffIsJitteredAndBounded(t *testing.T) {
	is := is.New(t)
	after := Attempt{Outcome: Refused, Replayable: true, Attempts: 1, Left: time.Second}
	is.Equal(Decide(after, NewBudget(DefaultLimits), 0.5).Backoff, time.Duration(0)) // another host at once
	after.Attempts = 2
	is.Equal(Decide(after, NewBudget(DefaultLimits), 0.5).Backoff, firstBackoff/2)
}

// Whatever the order of calls and retries, the retries granted stay within the
// share of calls and the reserve.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(DefaultLimits)
		calls, retries := 0, 0
		for _, isCall := range rapid.SliceOfN(rapid.Bool(), 0, 2000).Draw(t, "calls") {
			if isCall {
				budget.Call()
				calls++
			} else if budget.Take() {
				retries++
			}
			if retries*tokenUnit > calls*tokenUnit/10+DefaultLimits.Reserve*tokenUnit {
				t.Fatalf("%d retries for %d calls", retries, calls)
			}
		}
	})
}

// When every attempt is refused, attempts over calls approach one plus the
// budget's share and no more.
func TestNoRetryStorm(t *testing.T) {
	is := is.New(t)
	const calls = 10000
	budget := NewBudget(DefaultLimits)
	attempts := 0
	for range calls {
		budget.Call()
		for made := 1; ; made++ {
			attempts++
			after := Attempt{Outcome: Refused, Replayable: true, Attempts: made, Left: time.Second}
			if !Decide(after, budget, 0.5).Retry {
				break
			}
		}
	}
	is.True(float64(attempts)/calls < 1.2)
	is.True(float64(attempts)/calls > 1.09) // the budget is used
}

// Processes that share a reserve and restart again and again retry no more than the
// reserve and the share of all calls allow. A process that has just started knows no
// other one, and takes the whole reserve for its own until it does.
func TestRestartsBringNoReserve(t *testing.T) {
	is := is.New(t)
	const processes, restarts, calls, reserve = 11, 6, 5, 60
	retries := 0
	for range processes * restarts {
		budget := NewEmptyBudget(Limits{Share: 0.1, Reserve: reserve})
		for range calls {
			budget.Call()
			for budget.Take() {
				retries++
			}
		}
		budget.SetLimits(Limits{Share: 0.1, Reserve: reserve / processes})
		for budget.Take() {
			retries++
		}
	}
	is.True(retries <= processes*restarts*calls/10+reserve)
}

// An empty budget fills with calls up to its reserve, which may change meanwhile.
func TestEmptyBudgetFills(t *testing.T) {
	is := is.New(t)
	budget := NewEmptyBudget(Limits{Share: 0.1, Reserve: 60})
	is.True(!budget.Take())
	budget.SetLimits(Limits{Share: 0.1, Reserve: 5})
	for range 10 {
		budget.Call()
	}
	is.True(budget.Take())
	is.True(!budget.Take())
	for range 1000 {
		budget.Call()
	}
	for range 5 {
		is.True(budget.Take())
	}
	is.True(!budget.Take())
}
