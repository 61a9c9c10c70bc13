package gossip

import "time"

// budget is a token bucket that limits the bytes sent for rumours and repair.
type budget struct {
	rate       float64 // bytes per second
	burst      float64
	tokens     float64
	refilledAt time.Time
}

func newBudget(cfg *Config, now time.Time) budget {
	burst := float64(cfg.SendBurst)
	return budget{rate: float64(cfg.SendRate), burst: burst, tokens: burst, refilledAt: now}
}

// refill adds the tokens accrued since the last call.
func (b *budget) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// available reports whether anything may be sent.
func (b *budget) available() bool { return b.tokens > 0 }

// repairReserve is the fraction of the burst that is reserved for repair, which needs fewer bytes per
// change when there are many.
const repairReserve = 0.25

// aboveReserve reports whether rumours may be sent.
func (b *budget) aboveReserve() bool { return b.tokens > repairReserve*b.burst }

// spend removes tokens. The last message may overdraw the budget.
func (b *budget) spend(bytes int) { b.tokens -= float64(bytes) }
