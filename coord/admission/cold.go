package admission

import "time"

const (
	// coldBurstTime is the time whose requests a cold target may get at once after a pause. It is short: the
	// target counts the requests of any one second, and a restart of the daemon may fall into it.
	coldBurstTime = 100 * time.Millisecond
	// coldWindow is the time over which the requests to a target are counted, those before it turned cold
	// included.
	coldWindow  = time.Second
	coldBuckets = 20 // in coldWindow
	bucketTime  = coldWindow / coldBuckets
	// coldWindowFactor and coldWindowSlack bound the requests in coldWindow: above what the rate and the burst
	// need, since the count covers up to one bucket more, and below what operators state for cold targets
	// (1.5 times the rate, and 8).
	coldWindowFactor = 1.15
	coldWindowSlack  = 2
	// coldServiceTime is assumed for the slots of a cold target without a response yet.
	coldServiceTime = 100 * time.Millisecond
)

// coldPacer holds a cold target to a rate. Tokens accrue at the rate from 0 on: what an earlier process of the
// daemon, or an earlier state of the target, sent is not known. Besides, it counts all requests of the last
// coldWindow, since a target may turn cold in the middle of traffic.
type coldPacer struct {
	rate      float64 // requests per second; 0 while the target is not cold
	tokens    float64
	updatedAt time.Time
	// sent counts the requests by the time at which they were sent, in a ring of buckets.
	sent   [coldBuckets + 1]int
	bucket int64 // number of the latest bucket since the beginning of 1970
}

func (c *coldPacer) burst() float64 { return max(1, c.rate*coldBurstTime.Seconds()) }

func (c *coldPacer) setRate(rate float64, now time.Time) {
	c.refill(now)
	if c.rate == 0 {
		c.tokens = 0
	}
	c.rate = rate
	c.tokens = min(c.tokens, c.burst())
	c.updatedAt = now
}

func (c *coldPacer) refill(now time.Time) {
	if elapsed := now.Sub(c.updatedAt); c.rate > 0 && elapsed > 0 {
		c.tokens = min(c.tokens+c.rate*elapsed.Seconds(), c.burst())
		c.updatedAt = now
	}
}

// advance empties the buckets that have left the window.
func (c *coldPacer) advance(now time.Time) {
	latest := now.UnixNano() / int64(bucketTime)
	for age := range min(latest-c.bucket, int64(len(c.sent))) {
		c.sent[coldSlot(latest-age)] = 0
	}
	c.bucket = max(c.bucket, latest)
}

// coldSlot returns the place of a bucket in the ring.
func coldSlot(bucket int64) int64 {
	const ring = coldBuckets + 1
	return (bucket%ring + ring) % ring
}

func (c *coldPacer) take(now time.Time) {
	c.refill(now)
	c.advance(now)
	c.sent[coldSlot(c.bucket)]++
	if c.rate > 0 {
		c.tokens--
	}
}

// delay returns the time until a request with ahead others before it may run; 0 if the target is not cold.
func (c *coldPacer) delay(ahead int, now time.Time) time.Duration {
	if c.rate == 0 {
		return 0
	}
	c.refill(now)
	delay := c.windowDelay(ahead, now)
	if missing := float64(ahead+1) - c.tokens; missing > 0 {
		delay = max(delay, tokenDelay(missing, c.rate))
	}
	return delay
}

// windowDelay returns the time until the requests of the last coldWindow leave room for ahead more and one.
func (c *coldPacer) windowDelay(ahead int, now time.Time) time.Duration {
	c.advance(now)
	excess := ahead + 1 - int(coldWindowFactor*c.rate+coldWindowSlack)
	for _, count := range c.sent {
		excess += count
	}
	for age := int64(coldBuckets); age >= 0 && excess > 0; age-- {
		bucket := c.bucket - age
		excess -= c.sent[coldSlot(bucket)]
		if excess <= 0 {
			return time.Unix(0, (bucket+coldBuckets+1)*int64(bucketTime)).Sub(now)
		}
	}
	return 0 // the requests ahead fill the window, for which the tokens account
}

// SetCold holds the target to a rate of requests per second while it is cold, and returns the actions on
// queued requests. Rate 0 ends that; other rates below minRate count as minRate.
func (t *Target) SetCold(rate float64, now time.Time) []Action {
	if rate > 0 {
		rate = max(rate, minRate)
	}
	if rate == t.pacer.cold.rate {
		return nil
	}
	t.pacer.cold.setRate(rate, now)
	return t.Tick(now)
}

// ColdRate returns the rate to which the target is held while it is cold; 0 if it is not.
func (t *Target) ColdRate() float64 { return t.pacer.cold.rate }

// MayProbe reports whether a cold target tolerates one request more that does not wait for its turn. It takes the place
// of a later one (see CountProbe).
func (t *Target) MayProbe(now time.Time) bool {
	return t.pacer.cold.rate == 0 || t.pacer.cold.windowDelay(0, now) == 0
}

// CountProbe counts a request that asks the target for its health. The rate that a target names is not that of probes.
func (t *Target) CountProbe(now time.Time) { t.pacer.cold.take(now) }

// MayRepeat reports whether a request may reach the target a second time on the same slot. A cold target
// tolerates that only within its rate.
func (t *Target) MayRepeat(now time.Time) bool { return t.pacer.cold.delay(0, now) == 0 }
