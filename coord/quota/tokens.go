package quota

import (
	"math"
	"slices"
	"time"
)

// Waiter is a request that waits for a token. Its fields are set when it is decided.
type Waiter struct {
	tenant           string
	Decided, Granted bool
	// RetryAfter is the time after which a refused request is worth another try.
	RetryAfter time.Duration
}

// tenantTokens are the tokens of one tenant at a daemon, and its demand.
type tenantTokens struct {
	held       []tokens // oldest first
	used       []tokens // that may be given back
	waiters    []*Waiter
	asked      int // waiters that the pending exchange asked for
	arrivals   int
	offered    float64 // per second
	emptyUntil time.Duration
	retryAfter time.Duration
	refused    int // since the start
}

type tokens struct {
	expiry time.Duration
	count  int
}

// addTokens adds tokens to a list that is ordered by expiry.
func addTokens(list []tokens, added tokens) []tokens {
	i := len(list)
	for i > 0 && list[i-1].expiry > added.expiry {
		i--
	}
	if i > 0 && list[i-1].expiry == added.expiry {
		list[i-1].count += added.count
		return list
	}
	return slices.Insert(list, i, added)
}

// spreadRetryAfter returns the time after which a request that is refused now is worth another try. It is one
// to two times that of the coordinator, spread evenly, so that requests refused together do not come back
// together.
func (t *tenantTokens) spreadRetryAfter() time.Duration {
	const goldenRatio = 0.6180339887498949 // its multiples are spread evenly modulo 1
	t.refused++
	_, spread := math.Modf(float64(t.refused) * goldenRatio)
	return time.Duration(float64(t.retryAfter) * (1 + spread))
}

// take uses a token and reports whether there was one.
func (t *tenantTokens) take(now time.Duration) bool {
	t.expire(now)
	if len(t.held) == 0 {
		return false
	}
	first := &t.held[0]
	t.used = addTokens(t.used, tokens{first.expiry, 1})
	if first.count--; first.count == 0 {
		t.held = t.held[1:]
	}
	return true
}

func (t *tenantTokens) expire(now time.Duration) {
	expired := func(token tokens) bool { return token.expiry <= now }
	t.held = slices.DeleteFunc(t.held, expired)
	t.used = slices.DeleteFunc(t.used, expired)
}

func (t *tenantTokens) count() int {
	count := 0
	for _, token := range t.held {
		count += token.count
	}
	return count
}

// balance returns how many tokens the tenant wants, or how many it has too many.
func (t *tenantTokens) balance(now time.Duration) int {
	t.expire(now)
	ahead := int(t.offered * fetchAhead.Seconds())
	return min(len(t.waiters)+ahead-t.count(), maxWanted)
}

// giveUp removes tokens that are given back to the coordinator, those that last longest.
func (t *tenantTokens) giveUp(count int) int {
	given := 0
	for last := len(t.held) - 1; last >= 0 && given < count; last-- {
		n := min(count-given, t.held[last].count)
		given += n
		if t.held[last].count -= n; t.held[last].count == 0 {
			t.held = t.held[:last]
		}
	}
	return given
}

// decide gives the tokens to the waiting requests, and refuses those that the exchange asked for in vain.
func (t *tenantTokens) decide(now time.Duration) (decided []*Waiter) {
	rest := t.waiters[:0]
	for i, w := range t.waiters {
		w.Granted = t.take(now)
		if w.Decided = w.Granted || i < t.asked; w.Decided {
			if !w.Granted {
				w.RetryAfter = t.spreadRetryAfter()
			}
			decided = append(decided, w)
		} else {
			rest = append(rest, w)
		}
	}
	clear(t.waiters[len(rest):])
	t.waiters, t.asked = rest, 0
	return decided
}
