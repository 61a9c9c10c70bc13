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
		after History
		want  bool
	}{
		{"refused, may not be repeated", History{Outcome: Refused, Repeat: revision.RepeatNever, Replayable: true, Attempts: 1, Remaining: time.Second}, true},
		{"refused, keyed", History{Outcome: Refused, Repeat: revision.RepeatKeyed, Replayable: true, Attempts: 1, Remaining: time.Second}, true},
		{"refused, body gone", History{Outcome: Refused, Repeat: revision.RepeatIdempotent, Attempts: 1, Remaining: time.Second}, false},
		{"unknown, idempotent", History{Outcome: Unknown, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 1, Remaining: time.Second}, true},
		{"unknown, may not be repeated", History{Outcome: Unknown, Repeat: revision.RepeatNever, Replayable: true, Attempts: 1, Remaining: time.Second}, false},
		{"unknown, keyed", History{Outcome: Unknown, Repeat: revision.RepeatKeyed, Replayable: true, Attempts: 1, Remaining: time.Second}, false},
		{"unknown, no mode", History{Outcome: Unknown, Replayable: true, Attempts: 1, Remaining: time.Second}, false},
		{"answered", History{Outcome: Responded, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 1, Remaining: time.Second}, false},
		{"one crash", History{Outcome: Unknown, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 1, Crashes: 1, Remaining: time.Second}, true},
		{"two crashes", History{Outcome: Unknown, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 2, Crashes: 2, Remaining: time.Second}, false},
		{"refused after two crashes", History{Outcome: Refused, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 2, Crashes: 2, Remaining: time.Second}, false},
		{"attempts used up", History{Outcome: Refused, Replayable: true, Attempts: MaxAttempts, Remaining: time.Second}, false},
		{"hosts that leave do not count", History{Outcome: Refused, Replayable: true, Attempts: MaxAttempts, NoTarget: 2, LastNoTarget: true, Remaining: time.Second}, true},
		{"counted attempts used up besides", History{Outcome: Refused, Replayable: true, Attempts: MaxAttempts + 2, NoTarget: 2, Remaining: time.Second}, false},
		{"too many hosts leave", History{Outcome: Refused, Replayable: true, Attempts: MaxNoTarget, NoTarget: MaxNoTarget, LastNoTarget: true, Remaining: time.Second}, false},
		{"no time left", History{Outcome: Refused, Replayable: true, Attempts: 1}, false},
		{"backoff ends past the deadline", History{Outcome: Refused, Replayable: true, Attempts: 2, Remaining: 2 * time.Millisecond}, false},
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
	after := History{Outcome: Refused, Replayable: true, Attempts: 1, Remaining: time.Second}
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
				budget.Deposit()
				calls++
			} else if budget.TryWithdraw() {
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
		budget.Deposit()
		for made := 1; ; made++ {
			attempts++
			after := History{Outcome: Refused, Replayable: true, Attempts: made, Remaining: time.Second}
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
			budget.Deposit()
			for budget.TryWithdraw() {
				retries++
			}
		}
		budget.SetLimits(Limits{Share: 0.1, Reserve: reserve / processes})
		for budget.TryWithdraw() {
			retries++
		}
	}
	is.True(retries <= processes*restarts*calls/10+reserve)
}

// An empty budget fills with calls up to its reserve, which may change meanwhile.
func TestEmptyBudgetFills(t *testing.T) {
	is := is.New(t)
	budget := NewEmptyBudget(Limits{Share: 0.1, Reserve: 60})
	is.True(!budget.TryWithdraw())
	budget.SetLimits(Limits{Share: 0.1, Reserve: 5})
	for range 10 {
		budget.Deposit()
	}
	is.True(budget.TryWithdraw())
	is.True(!budget.TryWithdraw())
	for range 1000 {
		budget.Deposit()
	}
	for range 5 {
		is.True(budget.TryWithdraw())
	}
	is.True(!budget.TryWithdraw())
}
