package nested_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	before = decisions{name: "before"}
	budget = decisions{name: "retries for nested first", nestedFirst: true}
	queue  = decisions{name: "and nested first in the queue", nestedFirst: true, inQueue: true}
	early  = decisions{name: "and refusal before the run", nestedFirst: true, inQueue: true, throttle: true}
	all    = decisions{name: "and spread return times", nestedFirst: true, inQueue: true, throttle: true, returns: true}
)

// total returns the callers of the first service that were served and that asked, and those served by
// the second one.
func (r *result) total(from, to int) (served, asked, second int) {
	for i := from; i < to; i++ {
		served += r.served[i]
		asked += r.asked[i]
		second += r.servedSecond[i]
	}
	return served, asked, second
}

func (r *result) thrownAwayPart() float64 { return r.thrownAway.Seconds() / r.runTime.Seconds() }

// Guards against decisions that throw runs away at an overloaded or failing second service, and
// against a throttle that refuses runs where fewer of them would not help.
func TestRunsThatDependOnAnOverloadedService(t *testing.T) {
	tests := []struct {
		name       string
		conditions conditions
		gain       float64 // least callers of the first service served, as a multiple of those before
		thrownAway float64 // most of its run time
	}{
		{"0.6 of the capacity", conditions{load: 0.6}, 0.998, 0.01},
		{"at the capacity", conditions{load: 1}, 1, 0.01},
		{"a little above", conditions{load: 1.2}, 1.1, 0.06},
		{"far above", conditions{load: 1.5}, 1.4, 0.07},
		{"far above, all times longer", conditions{load: 1.5, scale: 4}, 1.4, 0.07},
		{"half rejected at random", conditions{load: 0.6, rejected: 0.5}, 1.15, 0.62},
		{"half rejected, slots short", conditions{load: 0.6, rejected: 0.5, plain: 0.5, parents: 1.2}, 1.04, 0.35},
		{"far above, slots short", conditions{load: 1.5, plain: 0.5, parents: 1.2}, 1.02, 0.06},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			from, to := 2, 11
			if test.conditions.scale > 0 {
				from, to = 8, 40
			}
			var results []*result
			for _, decided := range []decisions{before, budget, queue, early, all} {
				r := newModel(decided, test.conditions, to+1).run()
				results = append(results, r)
				served, asked, second := r.total(from, to)
				t.Logf("%-30s served %4d of %4d a second, at the second service %3d, run time thrown away %.3f", decided.name,
					served/(to-from), asked/(to-from), second/(to-from), r.thrownAwayPart())
			}
			servedBefore, _, _ := results[0].total(from, to)
			served, _, _ := results[4].total(from, to)
			is.True(float64(served) >= test.gain*float64(servedBefore))
			is.True(results[4].thrownAwayPart() <= test.thrownAway)
		})
	}
}

// Guards against a state of many thrown away runs that lasts beyond the burst that caused it, and
// against a throttle that sees a recovery late.
func TestGoodputReturnsWithinTwoSecondsOfABurst(t *testing.T) {
	for _, load := range []float64{0.7, 0.95} {
		is := is.New(t)
		r := newModel(all, conditions{load: load, burst: 2.4}, 18).run()
		in, asked, _ := r.total(6, 11)
		is.True(float64(in) < 0.6*float64(asked)) // the burst does overload the second service
		for second := 13; second < 17; second++ {
			served, asked, _ := r.total(second, second+1)
			t.Logf("load %.2f, second %d: %d of %d", load, second, served, asked)
			is.True(float64(served) >= 0.99*float64(asked))
		}
	}
}

// Guards against refused callers that return together: after a burst of 300 ms most of them were told
// nearly the same time.
func TestRefusedCallersOfAFlashAreServedLater(t *testing.T) {
	is := is.New(t)
	flash := conditions{load: 0.7, plain: 0.95, parents: 0.9, burst: 10, flash: true, patience: 3 * time.Second}
	count := func(decided decisions) (served int) {
		for flash.seed = range 5 {
			in, asked, _ := newModel(decided, flash, 9).run().total(5, 6)
			served += in
			t.Logf("%-28s %d of %d", decided.name, in, asked)
		}
		return served
	}
	is.True(float64(count(all)) > 1.05*float64(count(early)))
}
