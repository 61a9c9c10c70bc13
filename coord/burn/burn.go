// Package burn computes the burn rate of a service's error budget, which follows from its
// service-level objective. It evaluates several windows at once, so that a fast burn is detected
// within minutes and a slow one is detected as well (Beyer and others, "The Site Reliability
// Workbook", 2018, chapter 5, multiwindow multi-burn-rate alerts).
package burn

import (
	"time"

	"sassafrasnotch.example/coord/revision"
)

// Count holds the number of requests and of those among them that missed the objective.
type Count struct {
	Requests uint64 `json:"requests"`
	Failures uint64 `json:"failures"`
}

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count {
	return Count{Requests: c.Requests + other.Requests, Failures: c.Failures + other.Failures}
}

// Rate returns the fraction of the requests that failed, or 0 without requests.
func (c Count) Rate() float64 {
	if c.Requests == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Requests)
}

// DefaultWindow is the period of an objective that states none.
const DefaultWindow = 30 * 24 * time.Hour

// windowPair is a pair of windows, as fractions of the objective's period, and the burn rate at
// which both together mean an alert.
type windowPair struct {
	long, short float64
	rate        float64
}

// windowPairs are the evaluated pairs. At their rates, 2, 5 and 10 % of the budget of the period
// are spent within the long window.
var windowPairs = []windowPair{
	{long: 1.0 / 720, short: 1.0 / 8640, rate: 14.4},
	{long: 1.0 / 120, short: 1.0 / 1440, rate: 6},
	{long: 1.0 / 10, short: 1.0 / 120, rate: 1},
}

// Window is the burn rate over one pair of windows. A rate of 1 spends exactly the budget over
// the objective's period.
type Window struct {
	// Long and Short are the durations of the windows.
	Long  revision.Duration `json:"long"`
	Short revision.Duration `json:"short"`
	// LongRate and ShortRate are the burn rates; nil without requests in the window.
	LongRate  *float64 `json:"longRate"`
	ShortRate *float64 `json:"shortRate"`
	// Limit is the burn rate from which both windows together mean an alert.
	Limit float64 `json:"limit"`
}

// Burning reports whether both windows reach the limit: the long one shows that the burn is
// significant, the short one that it continues.
func (w Window) Burning() bool { return w.reachesLimit(w.LongRate) && w.reachesLimit(w.ShortRate) }

func (w Window) reachesLimit(rate *float64) bool { return rate != nil && *rate >= w.Limit }

// Report holds the burn rates of one service.
type Report struct {
	// Period is the period of the objective.
	Period revision.Duration `json:"period"`
	// Windows holds the pairs of windows, from the shortest.
	Windows []Window `json:"windows"`
	// Total counts the requests over the objective's period.
	Total Count `json:"total"`
	// BudgetLeft is the fraction of the period's budget that remains, based on the requests so
	// far; below 0 the objective is missed.
	BudgetLeft float64 `json:"budgetLeft"`
}

// Burning reports whether any pair of windows is burning.
func (r Report) Burning() bool {
	for _, w := range r.Windows {
		if w.Burning() {
			return true
		}
	}
	return false
}

// Source provides the counts over a span that ends at the time of the call.
type Source interface {
	Over(span time.Duration) Count
}

// Evaluate returns the burn rates of a service with an objective. It returns false if there is no
// error budget: the objective states no success rate, or one that allows no failure.
func Evaluate(objective revision.Objective, source Source) (Report, bool) {
	allowed := 1 - float64(objective.Success)/revision.FullShare
	if objective.Success == 0 || allowed <= 0 {
		return Report{}, false
	}
	full := period(objective)
	report := Report{Period: revision.Duration(full), Total: source.Over(full)}
	report.BudgetLeft = 1 - report.Total.Rate()/allowed
	for _, pair := range windowPairs {
		long, short := fractionOf(full, pair.long), fractionOf(full, pair.short)
		report.Windows = append(report.Windows, Window{
			Long: revision.Duration(long), Short: revision.Duration(short),
			LongRate:  burnRate(source.Over(long), allowed),
			ShortRate: burnRate(source.Over(short), allowed),
			Limit:     pair.rate,
		})
	}
	return report, true
}

// burnRate returns the burn rate of a count, given the fraction of requests that may fail, or nil
// without requests.
func burnRate(c Count, allowed float64) *float64 {
	if c.Requests == 0 {
		return nil
	}
	rate := c.Rate() / allowed
	return &rate
}

// period returns the period of an objective.
func period(objective revision.Objective) time.Duration {
	if objective.Window == 0 {
		return DefaultWindow
	}
	return objective.Window.Std()
}

// evaluatedSpans returns the spans for which Evaluate queries a source.
func evaluatedSpans(objective revision.Objective) []time.Duration {
	full := period(objective)
	all := []time.Duration{full}
	for _, pair := range windowPairs {
		all = append(all, fractionOf(full, pair.long), fractionOf(full, pair.short))
	}
	return all
}

// fractionOf returns a fraction of a duration, rounded to seconds.
func fractionOf(full time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(full) * fraction).Round(time.Second)
}
