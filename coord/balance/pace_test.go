package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// shares picks calls every 10 ms, each answered in the time of its host, and
// returns the part of them that each host got.
func shares(group *Group, clock *time.Duration, speeds map[string]time.Duration, calls int) map[string]float64 {
	random := source(7)
	counts := make(map[string]int)
	for range calls {
		*clock += 10 * time.Millisecond
		endpoint := group.Pick(random, *clock, nil)
		counts[endpoint.Host]++
		group.Answered(endpoint, "r", speeds[endpoint.Host], *clock)
	}
	parts := make(map[string]float64)
	for host, count := range counts {
		parts[host] = float64(count) / float64(calls)
	}
	return parts
}

// A host that is slower than the others gets fewer calls while there is room
// elsewhere, and its part again when it has recovered.
func TestSlowHostsGetLess(t *testing.T) {
	is := is.New(t)
	const usual, slow = 60 * time.Millisecond, 240 * time.Millisecond
	clock := now
	group := NewIndex(self, members(4, "v1"), nil).Group("orders", "v1")
	even := map[string]time.Duration{"a0": usual, "a1": usual, "a2": usual, "a3": usual}
	is.True(shares(group, &clock, even, 2000)["a3"] > 0.15)
	uneven := map[string]time.Duration{"a0": usual, "a1": usual, "a2": usual, "a3": slow}
	is.True(shares(group, &clock, uneven, 2000)["a3"] < 0.15)
	recovered := shares(group, &clock, even, 4000)["a3"]
	is.True(recovered > 0.15) // it is asked often enough to show that it recovered
}
