package gossip

import (
	"math"
	"time"
)

// Config holds the parameters of a Node. DefaultConfig returns values that fit together.
type Config struct {
	// ProbeInterval is the time between two probes of members of the local zone.
	ProbeInterval time.Duration
	// RumourInterval is the time between two rounds of rumours.
	RumourInterval time.Duration
	// RepairInterval is the mean time between two repairs (comparisons of root hashes).
	RepairInterval time.Duration
	// SeedInterval is the mean time between two contacts of a seed that is not a known member.
	// A node that knows no active member contacts several seeds at intervals of about
	// ProbeInterval.
	SeedInterval time.Duration
	// DeadProbeInterval is the mean time between two probes of dead members.
	DeadProbeInterval time.Duration
	// IndirectProbes is the number of members that are asked to probe a member which does not
	// respond.
	IndirectProbes int
	// Fanout is the number of members that receive one round of rumours.
	Fanout int
	// Bridges is the number of members of a zone that, for one remote zone, probe it, repair with
	// it and forward the changes of the local zone to it. Each remote zone has its own bridges.
	Bridges int
	// RetransmitMultiplier times log10(members of the zone + 1), the logarithm rounded up,
	// limits how often a rumour is sent. The limit is at least 6, and half as high while many
	// rumours are queued.
	RetransmitMultiplier int
	// RumourMaxAge is the time after which a rumour is dropped and left to the repair.
	RumourMaxAge time.Duration
	// SuspicionMultiplier times log10(members of the zone), the logarithm at least 1.5, is the
	// number of probe intervals within which a suspect can refute the suspicion.
	SuspicionMultiplier int
	// HoldShare is a fraction (0 to 1) of a zone's members. While more than this fraction, and more
	// than one member, is unreachable at once, a network partition is assumed and suspects are
	// held: they are not declared dead. Suspects are also held while most of this host's own probes
	// fail, except in a zone of at most smallZoneSize members.
	HoldShare float64
	// HoldLimit is the longest time for which a suspect is held.
	HoldLimit time.Duration
	// RemoveAfter is the time after which a dead or leaving member is removed from the table.
	RemoveAfter time.Duration
	// MaxMessage limits the encoded size of a message, in bytes. Only a message with a single
	// larger record exceeds it.
	MaxMessage int
	// SendRate limits the rumours and repair data sent, in bytes per second. SendBurst, in
	// bytes, is what may be sent at once after an idle period. Urgent rumours (updates, the own
	// record, records of hosts or targets that are leaving) are sent regardless of the limit.
	SendRate  int
	SendBurst int
	// MaxUpdates is the maximum number of stored updates.
	MaxUpdates int
}

// DefaultConfig returns the configuration for a probe interval.
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
		SendBurst:            128 << 10,
		MaxUpdates:           256,
	}
}

// retryAfter is the time after which an unanswered probe is repeated, directly and indirectly.
func (c *Config) retryAfter() time.Duration { return c.ProbeInterval * 3 / 10 }

// probeTimeout is the time after which an unanswered probe makes its target a suspect.
func (c *Config) probeTimeout() time.Duration { return c.ProbeInterval * 8 / 5 }

// isolationTimeout is the time without a message after which a host takes itself for isolated: two
// rounds of probes.
func (c *Config) isolationTimeout() time.Duration { return 2 * c.ProbeInterval }

// zoneTimeout is the time without a message after which a bridge reports a zone unreachable.
func (c *Config) zoneTimeout() time.Duration { return 5 * c.ProbeInterval }

// unreachableTTL is the validity of a bridge's report; the bridge renews it at half this time.
func (c *Config) unreachableTTL() time.Duration { return 8 * c.ProbeInterval }

// stallLimit is the shortest gap between two ticks that is treated as a pause of this host.
func (c *Config) stallLimit() time.Duration { return 2 * c.ProbeInterval }

// minSuspicionScale is the lower bound of the log10 factor of the suspicion timeout. It keeps
// small zones from declaring members dead before it shows how many of them a partition affects.
const minSuspicionScale = 1.5

// suspicionTimeout is the time within which a suspect can refute the suspicion.
func (c *Config) suspicionTimeout(members int) time.Duration {
	scale := math.Max(minSuspicionScale, math.Log10(float64(members)))
	return time.Duration(float64(c.SuspicionMultiplier) * scale * float64(c.ProbeInterval))
}

// crowdedQueueLength is the queue length above which the number of transmissions of each rumour is
// halved; the repair delivers the remainder.
const crowdedQueueLength = 24

// minTransmissions is the lower bound of the transmissions of a rumour while the queue is not
// crowded.
const minTransmissions = 6

// maxTransmissions returns the number of times that a rumour is sent, given the number of members of
// the zone and the length of the queue.
func (c *Config) maxTransmissions(members, queued int) int {
	limit := c.RetransmitMultiplier * int(math.Ceil(math.Log10(float64(members+1))))
	limit = max(limit, minTransmissions)
	if queued > crowdedQueueLength {
		limit /= 2
	}
	return limit
}
