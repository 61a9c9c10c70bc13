package balance

import "math/bits"

// Source returns uniformly distributed 64-bit numbers, as a Source of math/rand/v2 does.
type Source interface {
	Uint64() uint64
}

// IntN returns a number from 0 to n-1, uniform up to a bias below n/2^64.
func IntN(random Source, n int) int {
	high, _ := bits.Mul64(random.Uint64(), uint64(n))
	return int(high)
}
