package retry

import "sync/atomic"

// bucket is a bounded number of tokens. It is safe for concurrent use.
type bucket struct {
	size  atomic.Int64 // tokens that a full bucket holds
	spent atomic.Int64 // tokens missing from a full bucket
}

// setSize changes the size, in retries. An empty bucket stays empty.
func (b *bucket) setSize(retries float64) {
	b.size.Store(int64(retries * tokensPerRetry))
	for {
		spent := b.spent.Load()
		if spent <= b.size.Load() || b.spent.CompareAndSwap(spent, b.size.Load()) {
			return
		}
	}
}

func (b *bucket) empty() { b.spent.Store(b.size.Load()) }

func (b *bucket) held() float64 {
	return float64(max(b.size.Load()-b.spent.Load(), 0)) / tokensPerRetry
}

func (b *bucket) deposit(retries float64) {
	tokens := int64(retries * tokensPerRetry)
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(spent-tokens, 0)) {
			return
		}
	}
}

// withdraw takes a number of retries unless less than the part kept of the size would remain. It
// returns the probability with which they are granted: 1, 0 if the bucket holds too little, or, if the
// bucket is too small for them, the fraction that it holds, which is then taken.
func (b *bucket) withdraw(retries, kept float64) float64 {
	cost := int64(retries * tokensPerRetry)
	for {
		spent, size := b.spent.Load(), b.size.Load()
		usable := size - int64(kept*float64(size))
		held := usable - spent
		taken := cost
		switch {
		case held >= cost:
		case usable < cost && held > 0:
			taken = held
		default:
			return 0
		}
		if b.spent.CompareAndSwap(spent, spent+taken) {
			return float64(taken) / float64(cost)
		}
	}
}
