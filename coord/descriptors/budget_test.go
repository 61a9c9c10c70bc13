package descriptors

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fill acquires descriptors of the part until it is refused, and returns their number.
func fill(b *Budget, part Part) int {
	count := 0
	for b.Acquire(part) {
		count++
	}
	return count
}

func TestCrowdOfCallersLeavesTheOtherPartsTheirShares(t *testing.T) {
	for _, limit := range []int{128, 256, 1024, 4100, 1 << 20} {
		is := is.New(t)
		b := NewBudget(limit)
		callers := fill(b, Callers)
		is.True(callers > limit/3) // a crowd is served while the other parts are idle
		held := callers
		for _, part := range Parts()[1:] {
			count := fill(b, part)
			is.True(count >= minShare)
			held += count
		}
		is.True(held <= limit-minReserve)
		b.Release(Callers)
		is.True(b.Acquire(Callers))
	}
}

func TestRefusalsAreCounted(t *testing.T) {
	is := is.New(t)
	b := NewBudget(256)
	fill(b, Callers)
	b.Acquire(Callers)
	is.Equal(b.Usage()[Callers].Refused, uint64(2))
	is.Equal(b.Limit(), 256)
}

func TestGuaranteedSharesHoldUnderAnyUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(rapid.IntRange(64, 10_000).Draw(t, "limit"))
		var held [partCount]int
		for range rapid.IntRange(0, 3000).Draw(t, "steps") {
			part := Part(rapid.IntRange(0, int(partCount)-1).Draw(t, "part"))
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				if held[part] > 0 {
					b.Release(part)
					held[part]--
				}
				continue
			}
			acquired := b.Acquire(part)
			if !acquired && held[part] < b.shares[part] {
				t.Fatalf("%v holds %d of %d and is refused", part, held[part], b.shares[part])
			}
			if acquired {
				held[part]++
			}
			sum := 0
			for _, n := range held {
				sum += n
			}
			if sum > b.total {
				t.Fatalf("the parts hold %d of %d", sum, b.total)
			}
		}
	})
}
