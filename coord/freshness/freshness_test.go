package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const second = time.Second

func TestCopyAgesFromItsLatestConfirmation(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var c Copy
	is.Equal(c.Age(start), Never)
	c.Confirm(start)
	c.Confirm(start.Add(-second))
	is.Equal(c.Age(start.Add(2*second)), 2*second)
	is.Equal(c.Age(start.Add(-second)), time.Duration(0))
}

func TestFeedIsAskedAgainBeforeTheCopyExpires(t *testing.T) {
	is := is.New(t)
	b := Bounds{Apply: 2 * second}
	for age := time.Duration(0); age <= b.OverdueLimit(); age += 10 * time.Millisecond {
		wait, first := b.Feed(age, 0)
		_, again := b.Feed(age+first, 1)
		is.True(wait < first)
		is.True(age+first+again <= b.CurrentLimit()+b.OverdueLimit()-b.fraction(feedFraction))
	}
	_, timeout := b.Feed(Never, 100)
	is.True(timeout > b.Apply) // a store that responds slowly is heard in the end
	is.True(b.Rows(100) > b.Apply)
}

// chain is a store that becomes unreachable for its zone readers, and a host that follows them.
type chain struct {
	bounds Bounds
	// confirmed is when the store last responded to a zone reader.
	confirmed time.Duration
	// asked is when the follower asks, silent whether zone readers don't reply any more.
	asked  time.Duration
	silent bool
}

// readAt returns when the follower begins to read the store, with the given number of zone readers.
func (c chain) readAt(readers int, reply time.Duration) time.Duration {
	now, age := c.asked, c.asked-c.confirmed
	for range readers {
		wait, timeout := c.bounds.Poll(age, false)
		switch {
		case c.silent:
			now += timeout
		case age > c.bounds.CurrentLimit():
			now += reply
		default:
			now += min(wait, c.bounds.CurrentLimit()-age) + reply // the copy of the zone reader expires meanwhile
		}
		age = now - c.confirmed
	}
	return now
}

// The change is made just after the last response to the zone readers, who then lose the store or don't reply.
func TestLostReadersLeaveTimeToReadTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{Apply: time.Duration(rapid.IntRange(1000, 12000).Draw(t, "apply")) * time.Millisecond}
		c := chain{
			bounds: b,
			asked:  time.Duration(rapid.Float64Range(0, currentFraction).Draw(t, "asked") * float64(b.Apply)),
			silent: rapid.Bool().Draw(t, "silent"),
		}
		reply := time.Duration(rapid.Float64Range(0, 0.02).Draw(t, "reply") * float64(b.Apply))
		at := c.readAt(2, reply)
		if left := b.Apply - at; left < b.fraction(0.2) {
			t.Fatalf("the store is read at %s of %s", at, b.Apply)
		}
	})
}

// relay is a zone reader without the store that copies from others.
type relay struct{ confirmed time.Duration }

// Each asks the other one first, and then a zone reader that reaches the store.
func TestRelaysThatAskEachOtherStayCurrent(t *testing.T) {
	b := Bounds{Apply: 2 * time.Second}
	const step = 10 * time.Millisecond // also the time of an exchange
	origin := func(now time.Duration) time.Duration {
		return now / b.fraction(feedFraction) * b.fraction(feedFraction)
	}
	relays := [2]relay{}
	blocked, next := [2]time.Duration{}, [2]time.Duration{}
	for now := time.Duration(0); now < time.Minute; now += step {
		for i := range relays {
			r, other := &relays[i], relays[1-i]
			if age := now - r.confirmed; age > b.CurrentLimit() {
				t.Fatalf("relay %d has a copy of age %s at %s", i, age, now)
			}
			if now < next[i] {
				continue
			}
			offered := other.confirmed
			if now < blocked[i] || now-offered > b.FollowLimit(true) {
				if now >= blocked[i] {
					blocked[i] = now + 500*time.Millisecond
				}
				offered = origin(now)
			}
			r.confirmed = max(r.confirmed, offered)
			wait, _ := b.Poll(now-r.confirmed, true)
			next[i] = now + wait + step
		}
	}
}
