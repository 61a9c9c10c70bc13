package admission

import (
	"math"
	"time"
)

const (
	// burstTime is the time whose requests may run at once after a pause.
	burstTime = 250 * time.Millisecond
	// minRate, in requests per second, applies to a target that names less: only its responses tell that
	// it takes more again.
	minRate = 0.25
)

// pacer holds the requests to a target to the rate that it names, and to that of its service while it is
// cold. Tokens accrue at the named rate, up to those of burstTime, and each request takes one. The zero value
// allows any number of requests.
type pacer struct {
	rate      float64 // requests per second; 0 means no limit
	tokens    float64 // below 0 after requests that were not held back
	updatedAt time.Time
	cold      coldPacer
}

// setRate changes the rate. The first rate that a target names allows the burst at once.
func (p *pacer) setRate(rate float64, now time.Time) {
	p.refill(now)
	first := p.rate == 0
	p.rate = max(rate, minRate)
	if first {
		p.tokens = p.burst()
	}
	p.tokens = min(p.tokens, p.burst())
	p.updatedAt = now
}

func (p *pacer) burst() float64 { return max(1, p.rate*burstTime.Seconds()) }

func (p *pacer) refill(now time.Time) {
	if elapsed := now.Sub(p.updatedAt); p.rate > 0 && elapsed > 0 {
		p.tokens = min(p.tokens+p.rate*elapsed.Seconds(), p.burst())
		p.updatedAt = now
	}
}

// take counts a request.
func (p *pacer) take(now time.Time) {
	p.refill(now)
	if p.rate > 0 {
		p.tokens--
	}
	p.cold.take(now)
}

// delay returns the time until a request with ahead others before it may run.
func (p *pacer) delay(ahead int, now time.Time) time.Duration {
	p.refill(now)
	cold := p.cold.delay(ahead, now)
	missing := float64(ahead+1) - p.tokens
	if p.rate == 0 || missing <= 0 {
		return cold
	}
	return max(cold, tokenDelay(missing, p.rate))
}

// tokenDelay returns the time in which a rate adds the missing tokens.
func tokenDelay(missing, rate float64) time.Duration {
	return time.Duration(math.Ceil(missing / rate * float64(time.Second)))
}

// busySlots returns the number of slots that a rate keeps busy, with requests of the given service time; at
// least one.
func busySlots(rate float64, service time.Duration) int {
	return max(1, int(math.Ceil(rate*service.Seconds())))
}
