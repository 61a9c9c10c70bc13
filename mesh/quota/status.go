package quota

import (
	"time"

	"go.uber.org/zap"
)

// maxNames is the number of tenants that are counted by name.
const maxNames = 256

// OtherTenants is the name under which further tenants are counted.
const OtherTenants = "other"

// Count holds the requests of a tenant that were granted a token and that were refused.
type Count struct{ Granted, Limited uint64 }

// counts are the counts by tenant.
type counts map[string]*Count

func newCounts() counts { return counts{} }

func (c counts) add(tenant string, granted bool) {
	if c[tenant] == nil && len(c) >= maxNames {
		tenant = OtherTenants
	}
	count := c[tenant]
	if count == nil {
		count = &Count{}
		c[tenant] = count
	}
	if granted {
		count.Granted++
	} else {
		count.Limited++
	}
}

// Status is the state of a limiter for metrics.
type Status struct {
	Counts map[string]Count
	// Coordinator means that this daemon acts as coordinator of its zone, for the part Share of the zone's
	// daemons; Root that it divides the limits between zones.
	Coordinator, Root bool
	Share             float64
}

// Status returns the present state.
func (l *Limiter) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{Counts: make(map[string]Count, len(l.counts))}
	for tenant, count := range l.counts {
		s.Counts[tenant] = *count
	}
	now := l.now()
	s.Coordinator, s.Share = l.coordinator.Acts(now), l.coordinator.Part(now)
	s.Root = s.Coordinator && l.shares.IsRoot(now)
	return s
}

// changeLogInterval is the shortest time between two log lines about coordinators: during a network
// partition they may change several times a second.
const changeLogInterval = 10 * time.Second

// changeLog logs which daemon coordinates the limits.
type changeLog struct {
	coordinator string
	acts        bool
	loggedAt    time.Time
}

func (c *changeLog) observe(log *zap.Logger, coordinator string, acts bool) {
	if coordinator == c.coordinator && acts == c.acts || time.Since(c.loggedAt) < changeLogInterval {
		return
	}
	c.coordinator, c.acts, c.loggedAt = coordinator, acts, time.Now()
	log.Info("coordinator of tenant limits changed", zap.String("peer", coordinator), zap.Bool("acts_here", acts))
}
