package gossip

import (
	"math"
	"time"
)

// Config holds the tunables of a Node.
type Config struct {
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// RumourInterval is the time between two rounds of rumours.
	RumourInterval time.Duration
	// RepairInterval is the mean time between two comparisons of root hashes.
	RepairInterval time.Duration
	// SeedInterval is the mean time between two contacts of an unknown seed.
	SeedInterval time.Duration
	// DeadProbeInterval is the time between two probes of dead members.
	DeadProbeInterval time.Duration
	// IndirectProbes is the number of members asked to probe a silent one.
	IndirectProbes int
	// Fanout is the number of members that one round of rumours goes to.
	Fanout int
	// Bridges is the number of members of a zone that probe and repair
	// towards one other zone.
	Bridges int
	// RetransmitMultiplier times log10 of the zone's members bounds how often
	// a rumour is sent.
	RetransmitMultiplier int
	// RumourMaxAge is the time after which a rumour is left to the repair.
	RumourMaxAge time.Duration
	// SuspicionMultiplier times log10 of the zone's members is the time, in
	// intervals, that a suspect has to refute.
	SuspicionMultiplier int
	// HoldShare is the share of a zone's members above which suspects are not
	// declared dead.
	HoldShare float64
	// HoldLimit bounds the time for which a suspect is held.
	HoldLimit time.Duration
	// RemoveAfter is the time after which a dead member is removed.
	RemoveAfter time.Duration
	// MaxMessage bounds the encoded size of a message, in bytes. Only a record
	// that is larger by itself exceeds it.
	MaxMessage int
	// SendRate bounds rumours and repair, in bytes a second sent, and
	// SpreadBurst, in bytes, what may be sent at once after a quiet time.
	SendRate  int
	SendBurst int
	// MaxUpdates bounds the notices kept.
	MaxUpdates int
}

// DefaultConfig returns the tunables for a probe interval.
func DefaultConfig(interval time.Duration) Config {
	return Config{
		ProbeInterval:        interval,
		RumourInterval:       interval / 5,
		RepairInterval:       5 * interval,
		SeedInterval:         5 * interval,
		DeadProbeInterval:    3 * interval,
		IndirectProbes:       3,
		Fanout:               2,
		Bridges:              3,
		RetransmitMultiplier: 4,
		RumourMaxAge:         4 * interval,
		SuspicionMultiplier:  3,
		HoldShare:            0.25,
		HoldLimit:            30 * time.Minute,
		RemoveAfter:          10 * time.Minute,
		MaxMessage:           1200,
		SendRate:             1800,
		SendBurst:            32 << 10,
		MaxUpdates:           256,
	}
}

// retryAfter is the time after which an unanswered probe goes indirect.
func (c *Config) retryAfter() time.Duration { return c.ProbeInterval * 3 / 10 }

// probeTimeout is the time after which an unanswered probe raises suspicion.
func (c *Config) probeTimeout() time.Duration { return c.ProbeInterval * 8 / 5 }

// zoneTimeout is the silence after which a bridge reports a zone unreachable.
func (c *Config) zoneTimeout() time.Duration { return 5 * c.ProbeInterval }

// unreachableTTL is the validity of such a report; it is renewed at half.
func (c *Config) unreachableTTL() time.Duration { return 8 * c.ProbeInterval }

// stallLimit is the gap between ticks above which the host itself was paused.
func (c *Config) stallLimit() time.Duration { return 2 * c.ProbeInterval }

// minSuspicionScale keeps small zones from a verdict before the extent of a
// cut shows.
const minSuspicionScale = 1.5

// suspicionTimeout is the time that a suspect has to refute.
func (c *Config) suspicionTimeout(members int) time.Duration {
	scale := math.Max(minSuspicionScale, math.Log10(float64(members)))
	return time.Duration(float64(c.SuspicionMultiplier) * scale * float64(c.ProbeInterval))
}

// crowdedRumours is the queue length from which each rumour is sent less often
// and the repair is left to deliver the rest.
const crowdedRumours = 24

// minRetransmits bounds from below how often a rumour is sent.
const minRetransmits = 6

// retransmits returns how often a rumour is sent.
func (c *Config) retransmits(members, queued int) int {
	limit := c.RetransmitMultiplier * int(math.Ceil(math.Log10(float64(members+1))))
	limit = max(limit, minRetransmits)
	if queued > crowdedRumours {
		limit /= 2
	}
	return limit
}
