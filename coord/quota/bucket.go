package quota

import (
	"math"
	"time"
)

// smallCapacitySpan is the part of the limit's allowance that the buckets of a tenant may hold beyond its
// burst, if the part of one coordinator in the burst is less than one token. Without it, a tenant with a
// burst of a few requests was refused below its limit, since its buckets were full most of the time.
const (
	smallCapacityShare = 0.05
	smallCapacitySpan  = 5 * time.Second
)

// bucket is the token bucket of one tenant at one coordinator. It starts empty, so that a restart
// brings no new burst.
type bucket struct {
	limit   Limit
	part    float64 // of the limit
	level   float64
	updated time.Duration
	granted []grantedTokens // that may not have expired, oldest first
	denied  float64         // requests that were refused of late, averaged over demandPeriod
	// borrowed are tokens of the root's bucket. The root found its bucket empty if noLoanUntil has not
	// passed, and expects a token after lenderRetryAfter.
	borrowed         tokens
	noLoanUntil      time.Duration
	lenderRetryAfter time.Duration
}

const (
	// borrowedTTL is the time in which a coordinator passes on borrowed tokens. The requests that they are
	// for ask again within milliseconds.
	borrowedTTL = 50 * time.Millisecond
	// maxNoLoan bounds the time for which a coordinator does not ask the root again for a tenant whose
	// bucket was empty there.
	maxNoLoan = 250 * time.Millisecond
)

type grantedTokens struct {
	at    time.Duration
	count int
}

// capacity returns the most tokens that the bucket may hold at its part of the limit.
func (b *bucket) capacity() float64 {
	capacity := b.limit.Burst * b.part
	if capacity < 1 {
		extra := smallCapacityShare * (b.limit.Rate*smallCapacitySpan.Seconds() + b.limit.Burst) * b.part
		capacity = min(1, capacity+extra)
	}
	return capacity
}

// advance refills the bucket up to now at the part of the limit that applied, and cuts the level to what
// the present part allows. Tokens that were granted and may still be used count against the capacity,
// except for what the rate adds in their lifetime, so that a full bucket and the unused tokens do not sum
// to more than the burst.
func (b *bucket) advance(now time.Duration, part float64) {
	elapsed := now - b.updated
	b.updated = now
	if elapsed > reportValid {
		// The process was stopped: by now the daemons may report elsewhere.
		b.level, elapsed = 0, 0
	}
	b.level += b.limit.Rate * min(b.part, part) * elapsed.Seconds()
	b.part = part
	outstanding := 0
	kept := b.granted[:0]
	for _, g := range b.granted {
		if now-g.at < tokenTTL {
			kept = append(kept, g)
			outstanding += g.count
		}
	}
	b.granted = kept
	if b.denied > 0 {
		b.denied *= math.Exp(-elapsed.Seconds() / demandPeriod.Seconds())
	}
	capacity := b.capacity()
	unused := max(float64(outstanding)-b.limit.Rate*part*tokenTTL.Seconds(), 0)
	b.level = min(b.level, max(capacity-unused, 0))
}

// take removes up to wanted tokens. The draw is uniform from 0 up to 1: a full bucket that holds less than
// one token is emptied and grants one with the probability of its content.
func (b *bucket) take(now time.Duration, wanted int, draw float64) int {
	lent := 0
	if now < b.borrowed.expiry {
		lent = min(wanted, b.borrowed.count)
		b.borrowed.count -= lent
		wanted -= lent
	}
	count := min(wanted, int(b.level+1e-9))
	b.level -= float64(count)
	if capacity := b.capacity(); count == 0 && wanted > 0 && capacity < 1 && b.level > 0 && b.level >= capacity-1e-9 {
		if draw < b.level {
			count = 1
		}
		b.level = 0
	}
	b.level = max(b.level, 0)
	if count > 0 {
		b.granted = append(b.granted, grantedTokens{now, count})
	}
	b.denied += float64(wanted - count)
	return lent + count
}

// borrow adds tokens of the root's bucket. Fewer than wanted means that it is empty.
func (b *bucket) borrow(now time.Duration, lent Loan) {
	if now >= b.borrowed.expiry {
		b.borrowed.count = 0
	}
	if lent.Tokens > 0 {
		b.borrowed = tokens{now + borrowedTTL, b.borrowed.count + lent.Tokens}
	}
	if lent.RetryAfter > 0 {
		b.lenderRetryAfter = lent.RetryAfter
		b.noLoanUntil = now + min(max(lent.RetryAfter, minEmpty), maxNoLoan)
	}
}

// putBack returns unused tokens, at most as many as were granted and have not expired.
func (b *bucket) putBack(count int) {
	for i := len(b.granted) - 1; i >= 0 && count > 0; i-- {
		n := min(count, b.granted[i].count)
		b.granted[i].count -= n
		b.level += float64(n)
		count -= n
	}
	b.level = min(b.level, b.capacity())
}

// retryAfter returns the time until the bucket may have a token for a request that is refused now. The
// refused requests are spread over the time in which the refill can serve them.
func (b *bucket) retryAfter(now time.Duration, draw float64) time.Duration {
	if now < b.noLoanUntil && b.lenderRetryAfter > 0 {
		return b.lenderRetryAfter
	}
	rate := b.limit.Rate * b.part
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := (max(1-b.level, 0) + b.denied*draw) / rate
	return time.Duration(min(wait, maxRetryAfter.Seconds()) * float64(time.Second))
}
