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
		name    string
		history History
		want    bool
	}{
		{"refused, must not be repeated", History{Outcome: Refused, Repeat: revision.RepeatNever, Replayable: true, Attempts: 1, Remaining: time.Second}, true},
		{"refused, keyed", History{Outcome: Refused, Repeat: revision.RepeatKeyed, Replayable: true, Attempts: 1, Remaining: time.Second}, true},
		{"refused, body not replayable", History{Outcome: Refused, Repeat: revision.RepeatIdempotent, Attempts: 1, Remaining: time.Second}, false},
		{"unknown, idempotent", History{Outcome: Unknown, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 1, Remaining: time.Second}, true},
		{"unknown, must not be repeated", History{Outcome: Unknown, Repeat: revision.RepeatNever, Replayable: true, Attempts: 1, Remaining: time.Second}, false},
		{"unknown, keyed", History{Outcome: Unknown, Repeat: revision.RepeatKeyed, Replayable: true, Attempts: 1, Remaining: time.Second}, false},
		{"unknown, no repeat mode", History{Outcome: Unknown, Replayable: true, Attempts: 1, Remaining: time.Second}, false},
		{"responded", History{Outcome: Responded, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 1, Remaining: time.Second}, false},
		{"one crash", History{Outcome: Unknown, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 1, Crashes: 1, Remaining: time.Second}, true},
		{"two crashes", History{Outcome: Unknown, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 2, Crashes: 2, Remaining: time.Second}, false},
		{"refused after two crashes", History{Outcome: Refused, Repeat: revision.RepeatIdempotent, Replayable: true, Attempts: 2, Crashes: 2, Remaining: time.Second}, false},
		{"attempts used up", History{Outcome: Refused, Replayable: true, Attempts: MaxAttempts, Remaining: time.Second}, false},
		{"hosts without a target do not count", History{Outcome: Refused, Replayable: true, Attempts: MaxAttempts, NoTarget: 2, LastNoTarget: true, Remaining: time.Second}, true},
		{"counted attempts used up, others beside them", History{Outcome: Refused, Replayable: true, Attempts: MaxAttempts + 2, NoTarget: 2, Remaining: time.Second}, false},
		{"too many hosts without a target", History{Outcome: Refused, Replayable: true, Attempts: MaxNoTarget, NoTarget: MaxNoTarget, LastNoTarget: true, Remaining: time.Second}, false},
		{"the run that made it has ended", History{Outcome: Refused, Replayable: true, Attempts: 1, ParentEnded: true, Remaining: time.Second}, false},
		{"no time remaining", History{Outcome: Refused, Replayable: true, Attempts: 1}, false},
		{"backoff ends past the deadline", History{Outcome: Refused, Replayable: true, Attempts: 2, Remaining: 2 * time.Millisecond}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Decide(test.history, NewBudget(DefaultLimits), 0.9).Retry, test.want)
		})
	}
}

func TestBackoffIsJitteredAndBounded(t *testing.T) {
	is := is.New(t)
	history := History{Outcome: Refused, Replayable: true, Attempts: 1, Remaining: time.Second}
	is.Equal(Decide(history, NewBudget(DefaultLimits), 0.5).Backoff, time.Duration(0)) // the second attempt follows at once
	history.Attempts = 2
	is.Equal(Decide(history, NewBudget(DefaultLimits), 0.5).Backoff, backoffBase/2)
}

// For any order of requests and retries, the granted retries must stay within the share of the
// requests plus the reserve.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(DefaultLimits)
		requests, retries := 0, 0
		for _, isRequest := range rapid.SliceOfN(rapid.Bool(), 0, 2000).Draw(t, "requests") {
			if isRequest {
				budget.Deposit(Kind{})
				requests++
			} else if budget.TryWithdraw(Kind{}, 0.5) {
				retries++
			}
			if float64(retries) > float64(requests)/10+DefaultLimits.Reserve {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

// Guards against a retry storm: when every attempt is refused, the ratio of attempts to requests
// must stay close to one plus the share of the budget.
func TestNoRetryStorm(t *testing.T) {
	is := is.New(t)
	const requests = 10000
	budget := NewBudget(DefaultLimits)
	attempts := 0
	for range requests {
		budget.Deposit(Kind{})
		for count := 1; ; count++ {
			attempts++
			history := History{Outcome: Refused, Replayable: true, Attempts: count, Remaining: time.Second}
			if !Decide(history, budget, 0.5).Retry {
				break
			}
		}
	}
	is.True(float64(attempts)/requests < 1.2)
	is.True(float64(attempts)/requests > 1.09) // the budget is used up
}

// Guards against processes that share a reserve and add to it with each restart: together they
// must retry no more than the reserve and the share of all requests allow. A process that has
// just started knows no other one, and applies the whole reserve as its limit until it does.
func TestRestartsBringNoReserve(t *testing.T) {
	is := is.New(t)
	const processes, restarts, requests, reserve = 11, 6, 5, 60
	retries := 0
	for range processes * restarts {
		budget := NewEmptyBudget(Limits{Shares: SharesOf(0.1, 0), Reserve: reserve})
		for range requests {
			budget.Deposit(Kind{})
			for budget.TryWithdraw(Kind{}, 0.5) {
				retries++
			}
		}
		budget.SetLimits(Limits{Shares: SharesOf(0.1, 0), Reserve: reserve / processes})
		for budget.TryWithdraw(Kind{}, 0.5) {
			retries++
		}
	}
	is.True(retries <= processes*restarts*requests/10+reserve)
}

// An empty budget must fill with requests up to its reserve, also when the reserve changes.
func TestEmptyBudgetFills(t *testing.T) {
	is := is.New(t)
	budget := NewEmptyBudget(Limits{Shares: SharesOf(0.1, 0), Reserve: 60})
	is.True(!budget.TryWithdraw(Kind{}, 0.5))
	budget.SetLimits(Limits{Shares: SharesOf(0.1, 0), Reserve: 5})
	for range 10 {
		budget.Deposit(Kind{})
	}
	is.True(budget.TryWithdraw(Kind{}, 0.5))
	is.True(!budget.TryWithdraw(Kind{}, 0.5))
	for range 1000 {
		budget.Deposit(Kind{})
	}
	for range 5 {
		is.True(budget.TryWithdraw(Kind{}, 0.5))
	}
	is.True(!budget.TryWithdraw(Kind{}, 0.5))
}

// A reserve that more processes share than it holds retries is neither lost nor exceeded.
func TestReserveIsSharedByMoreProcessesThanItHoldsRetries(t *testing.T) {
	is := is.New(t)
	const processes, reserve, requests = 570, 430, 20
	retries := 0
	for process := range processes {
		budget := NewEmptyBudget(Limits{Shares: SharesOf(0.1, 0), Reserve: float64(reserve) / processes})
		for range requests {
			budget.Deposit(Kind{})
		}
		for try := range 5 { // of which a process with one retry could make one
			draw := float64(process) / processes
			if budget.TryWithdraw(Kind{}, draw) {
				retries++
				is.Equal(try, 0)
			}
		}
	}
	is.True(retries <= reserve)
	is.True(retries >= reserve-processes/tokensPerRetry-1) // a token is a thousandth of a retry
}
