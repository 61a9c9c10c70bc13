package retry

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasnotch.example/coord/revision"
)

// chain is two services: runs of the first make nested requests at the second. Each entry has a
// budget for either. It counts arrivals and the first arrivals among them.
type chain struct {
	parents  []*Budget
	leaves   []*Budget
	arrivals [2]int
	firsts   [2]int
	reserve  float64
	failing  float64
	draw     func() float64
}

// request makes the attempts of one request. The target of each attempt makes the nested requests
// before it fails.
func (c *chain) request(entry, service int, kind Kind, first bool) {
	budget := c.parents[entry]
	if service == 1 {
		budget = c.leaves[entry]
	}
	budget.Deposit(kind)
	if first {
		c.firsts[service]++
	}
	for attempt := 1; ; attempt++ {
		c.arrivals[service]++
		for range int(kind.CallsPerRun) {
			c.request(entry, 1, Kind{Nested: true}, first && attempt == 1)
		}
		history := History{
			Outcome: Unknown, Repeat: revision.RepeatIdempotent, Kind: kind, Replayable: true, Attempts: attempt, Remaining: time.Second,
		}
		if c.draw() >= c.failing || !Decide(history, budget, c.draw()).Retry {
			return
		}
	}
}

// newChain returns a chain with a reserve that the entries share.
func newChain(entries int, reserve, failing float64, seed uint64) *chain {
	c := &chain{reserve: reserve, failing: failing, draw: draws(seed)}
	limits := Limits{Shares: SharesOf(0.1, 0), Reserve: reserve / float64(entries)}
	for range entries {
		c.parents = append(c.parents, NewBudget(limits))
		c.leaves = append(c.leaves, NewBudget(limits))
	}
	for _, leaf := range c.leaves {
		leaf.Deposit(Kind{Nested: true}) // before the first one a service uses its whole reserve
	}
	return c
}

// outside is a request from outside that makes the number of nested requests, or one at the second
// service if it is negative.
func (c *chain) outside(calls int) {
	entry := int(c.draw() * float64(len(c.parents)))
	if calls < 0 {
		c.request(entry, 1, Kind{}, true)
		return
	}
	c.request(entry, 0, Kind{CallsPerRun: float64(calls)}, true)
}

// excess returns how far the arrivals beyond the first exceed 0.2 of a service's requests and the
// reserve.
func (c *chain) excess(service int) float64 {
	return float64(c.arrivals[service]-c.firsts[service]) - 0.2*float64(c.firsts[service]) - c.reserve
}

func draws(seed uint64) func() float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	return random.Float64
}

// Guards against budgets that multiply along a chain: for any mix of requests and failures, the
// arrivals beyond the first of each request, also those that repeated runs cause, stay under 0.2 of
// a service's requests plus the reserve of the fleet.
func TestArrivalsBeyondTheFirstAreBoundedAlongAChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 20).Draw(t, "entries")
		// With less, retries are granted with a probability, and the sum scatters around its mean.
		part := rapid.Float64Range(maxCalls/parentPart, 30).Draw(t, "reserve of an entry")
		c := newChain(entries, part*float64(entries), rapid.Float64Range(0, 1).Draw(t, "failing"), rapid.Uint64().Draw(t, "seed"))
		mix := rapid.SliceOfN(rapid.IntRange(-1, maxCalls), 1, 6).Draw(t, "mix")
		for i := range rapid.IntRange(0, 6000).Draw(t, "requests") {
			c.outside(mix[i%len(mix)])
			for service := range c.arrivals {
				if excess := c.excess(service); excess > 0 {
					t.Fatalf("service %d: %.1f above the bound; %d arrivals of %d requests", service, excess, c.arrivals[service], c.firsts[service])
				}
			}
		}
	})
}

const maxCalls = 3

// The same for fleets in which the part of an entry in the reserve is below one retry or a little
// above it.
func TestFleetIsBoundedAlongAChain(t *testing.T) {
	for _, entries := range []int{67, 87, 570} {
		for _, failing := range []float64{0.1, 0.5, 0.9} {
			for calls := 1; calls <= maxCalls; calls++ {
				c := newChain(entries, 164, failing, uint64(calls))
				for range 20_000 {
					c.outside(calls)
				}
				t.Logf("%d entries, %.1f failing, %d calls: repeats %.3f and %.3f of the requests", entries, failing, calls,
					float64(c.arrivals[0])/float64(c.firsts[0])-1, float64(c.arrivals[1])/float64(c.firsts[1])-1)
				if c.excess(0) > 0 || c.excess(1) > 0 {
					t.Errorf("%d entries, %.1f failing, %d calls: %.1f and %.1f above the bound", entries, failing, calls, c.excess(0), c.excess(1))
				}
			}
		}
	}
}

// A service rejects half of all arrivals at random. The retries go to nested requests, each of which
// saves a run elsewhere.
func TestNestedRequestsGetMostOfTheBudget(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(DefaultLimits)
	draw := draws(1)
	retries := map[bool]int{}
	const requests = 40_000
	for i := range requests {
		kind := Kind{Nested: i%2 == 0}
		budget.Deposit(kind)
		for attempt := 1; draw() < 0.5; attempt++ {
			history := History{Outcome: Refused, Kind: kind, Replayable: true, Attempts: attempt, Remaining: time.Second}
			if !Decide(history, budget, draw()).Retry {
				break
			}
			retries[kind.Nested]++
		}
	}
	t.Logf("retries of nested requests %d, of others %d", retries[true], retries[false])
	is.True(retries[true] > 20*retries[false])
	is.True(float64(retries[true]+retries[false]) > 0.11*requests)
}

// Without nested requests the share and the whole reserve are those of the settings.
func TestBudgetWithoutNestedRequestsIsUnchanged(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(Limits{Shares: SharesOf(0.1, 0), Reserve: 20})
	granted := 0
	for range 1000 {
		budget.Deposit(Kind{})
	}
	for budget.TryWithdraw(Kind{}, 0.5) {
		granted++
	}
	is.Equal(granted, 20)
	for range 100 {
		budget.Deposit(Kind{})
	}
	for budget.TryWithdraw(Kind{}, 0.5) {
		granted++
	}
	is.Equal(granted, 30)
}

func TestShares(t *testing.T) {
	is := is.New(t)
	shares := SharesOf(0.1, 0)
	is.Equal(shares.Plain, 0.1)
	is.True(math.Abs(shares.Nested-0.14) < 1e-9)
	is.True(math.Abs(shares.Parent-0.05) < 1e-9)
	is.Equal(SharesOf(0.1, 0.2).Nested, 0.2)
	for _, plain := range []float64{0.01, 0.1, 0.2, 0.5, 1} {
		shares := SharesOf(plain, 0)
		is.True((1+shares.Parent)*(1+shares.Nested)-1 <= 2*plain+1e-9)
	}
}
