package gossip

import "time"

// budget is a token bucket, in bytes.
type budget struct {
	rate   float64 // bytes a second
	burst  float64
	tokens float64
	at     time.Time
}

func newBudget(cfg *Config, now time.Time) budget {
	burst := float64(cfg.SendBurst)
	return budget{rate: float64(cfg.SendRate), burst: burst, tokens: burst, at: now}
}

// refill adds the tokens that have accrued.
func (b *budget) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// open reports whether anything may be sent.
func (b *budget) open() bool { return b.tokens > 0 }

// ample reports whether rumours may be sent. The rest is kept for repair, which
// costs less for each change when there are many.
func (b *budget) ample() bool { return b.tokens > b.burst/2 }

// spend takes tokens; the last message may overdraw.
func (b *budget) spend(bytes int) { b.tokens -= float64(bytes) }
