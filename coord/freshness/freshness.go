// Package freshness decides how long a host may hand out its copy of the store's rows as current, and
// when it has to ask elsewhere. A copy is as old as the last response of the store that confirmed it.
// A host that passes its copy on passes its age on as well, so that the age holds over any number of
// hosts. It replaces the question whether an exchange has failed yet: a host that has lost the store
// learns of that only after a timeout, while the age grows from the first moment.
package freshness

import (
	"math"
	"sync"
	"time"
)

// Ages and durations as fractions of Bounds.Apply. A change that is made just after the last response of
// the store is in force within Bounds.Apply at each host that reaches the store: its zone reader is no
// longer followed at currentFraction, no other host is asked after readFraction, and the remaining time
// is for a read of the store.
const (
	// feedFraction is the age at which a response of the change feed is due, with changes or without.
	feedFraction = 0.35
	// overdueFraction is the age at which a request to the change feed is given up for one on another
	// connection, which is due at currentFraction.
	overdueFraction = 0.42
	// currentFraction is the age up to which a copy is current.
	currentFraction = 0.5
	// readFraction is the age at which a host without a current zone reader reads the store.
	readFraction = 0.75
	// pollFraction is the time for which a zone reader may hold back a reply without newer rows.
	pollFraction = 0.2
	// replyFraction is the time that a reply of another host may take in addition.
	replyFraction = 0.15
	// rowsFraction is the time that a read of all rows may take.
	rowsFraction = 0.25
)

// maxDoublings bounds the growth of timeouts after failures. The operations have timeouts of their own.
const maxDoublings = 5

// Never is the age of a copy that no response of the store has confirmed.
const Never time.Duration = math.MaxInt64

// Bounds derives the times of the exchanges that keep a copy fresh.
type Bounds struct {
	// Apply is the time within which a change has to be in force everywhere.
	Apply time.Duration
}

func (b Bounds) fraction(f float64) time.Duration { return time.Duration(float64(b.Apply) * f) }

// CurrentLimit returns the age up to which a copy is current.
func (b Bounds) CurrentLimit() time.Duration { return b.fraction(currentFraction) }

// ReadLimit returns the age at which a host without a current zone reader reads the store.
func (b Bounds) ReadLimit() time.Duration { return b.fraction(readFraction) }

// OverdueLimit returns the age at which a response of the change feed is overdue.
func (b Bounds) OverdueLimit() time.Duration { return b.fraction(overdueFraction) }

// ReplyTime returns the time that a reply of another host may take, beyond the time for which it may be
// held back.
func (b Bounds) ReplyTime() time.Duration { return b.fraction(replyFraction) }

// Feed returns for how long the store may hold back a response of the change feed to the holder of a
// copy of this age, and the time after which the request is given up. Failures counts the requests
// that have failed since the last response; after the first one, the response is not held back.
func (b Bounds) Feed(age time.Duration, failures int) (wait, timeout time.Duration) {
	if failures > 0 {
		return 0, b.fraction(currentFraction-overdueFraction) << min(failures-1, maxDoublings)
	}
	wait = max(0, b.fraction(feedFraction)-age)
	return wait, max(b.fraction(overdueFraction)-age, b.fraction(overdueFraction-feedFraction))
}

// Rows returns the time after which a read of all rows is given up. Failures is as in Feed.
func (b Bounds) Rows(failures int) time.Duration {
	return b.fraction(rowsFraction) << min(failures, maxDoublings)
}

// FollowLimit returns the age up to which a copy that another host offers is taken for current. A host
// that relays the copy to others takes no copy that would expire before the next exchange, so that two
// relays that follow each other turn to a third host in time.
func (b Bounds) FollowLimit(relays bool) time.Duration {
	if relays {
		return b.OverdueLimit()
	}
	return b.CurrentLimit()
}

// Poll returns for how long another host may hold back its reply to the holder of a copy of this age,
// and the time after which the request is given up. As long as the holder need not read the store yet,
// the request leaves it time to do so.
func (b Bounds) Poll(age time.Duration, relays bool) (wait, timeout time.Duration) {
	wait = min(max(0, b.FollowLimit(relays)-age), b.fraction(pollFraction))
	if age >= b.ReadLimit() {
		return wait, b.ReplyTime()
	}
	return wait, max(min(wait+b.ReplyTime(), b.ReadLimit()-age), b.ReplyTime()/2)
}

// Copy records how old a copy of the store's rows is. The zero Copy was never confirmed. It is safe for
// concurrent use.
type Copy struct {
	mu        sync.Mutex
	confirmed time.Time
}

// Confirm records that the copy held all changes that the store had at a time, of a clock that never goes
// back. An earlier time than the recorded one has no effect.
func (c *Copy) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}

// Age returns the time since the copy was confirmed, or Never.
func (c *Copy) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmed.IsZero() {
		return Never
	}
	return max(0, now.Sub(c.confirmed))
}
