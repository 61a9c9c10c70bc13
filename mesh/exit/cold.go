package exit

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/admin"
)

const (
	// coldSilence is the time without a heartbeat or health response after which a target is assumed to be
	// cold: a usual interval of 1.5 s between heartbeats, and a second of delay. Where the target has a health
	// path, the assumption mostly ends at once.
	coldSilence = 2500 * time.Millisecond
	// restartSpan is the time within which the connections of a process that ends are lost.
	restartSpan = 200 * time.Millisecond
	// unknownColdRate, in requests per second, holds a target that states that it is cold while no
	// configuration tells what it tolerates.
	unknownColdRate = 1.0
	// maxColdStated bounds the time for which a target may state in a response that it stays cold.
	maxColdStated = 24 * time.Hour
)

// ColdPolicy is what the configuration states of the cold targets of a service.
type ColdPolicy struct {
	// Rate is the number of requests per second that a cold target tolerates; 0 means any number.
	Rate float64
	// Duration is how long a target is cold after its start, where it does not state it.
	Duration time.Duration
	// Known is unset while there is no configuration.
	Known bool
}

// WithColdPolicy sets the function that returns what the configuration states of the cold targets of a
// service. Without it, cold targets are not held to a rate.
func WithColdPolicy(policy func(service string) ColdPolicy) Option {
	return func(e *Exit) { e.coldPolicy = policy }
}

// coldState is what is known of whether a target is cold. The zero value stands for a warm target.
type coldState struct {
	addedAt time.Time // when the target was first announced to this process
	// heardAt is when the latest heartbeat or health response came.
	heardAt time.Time
	// announcedUntil is the end of the cold period by the latest heartbeat, respondedUntil by the responses.
	// They are apart, since a heartbeat that comes late must not end what a response stated.
	announcedUntil, respondedUntil time.Time
	// assumed means that the target is taken for cold because it may have restarted or been paused since
	// it was heard of. A heartbeat or health response that comes later ends that.
	assumed   bool
	assumedAt time.Time
	// ignore is the number of heartbeats that do not end it, since they may have been sent before.
	ignore    int
	checkedAt time.Time
	checking  bool      // a health check has not ended
	lostAt    time.Time // when a connection was lost with a request on it
}

func (s *coldState) until() time.Time {
	if s.announcedUntil.After(s.respondedUntil) {
		return s.announcedUntil
	}
	return s.respondedUntil
}

// coldPolicyOf returns the policy of a target, with the rate that applies while it is cold.
func (e *Exit) coldPolicyOf(t *target) ColdPolicy {
	policy := e.coldPolicy(t.Service)
	if !policy.Known {
		policy.Rate = unknownColdRate
	}
	return policy
}

// observeAnnouncement records what a heartbeat states. The caller holds e.mu.
func (e *Exit) observeAnnouncement(t *target, a admin.Announcement, now time.Time) {
	t.cold.heardAt = now
	t.cold.announcedUntil = now.Add(a.ColdRemaining.Std())
	if a.ColdUnstated {
		born := t.cold.addedAt
		if a.Incarnation > 1 { // the start time in milliseconds, and one
			born = time.UnixMilli(int64(a.Incarnation - 1))
		}
		t.cold.announcedUntil = born.Add(e.coldPolicy(t.Service).Duration)
	}
	if t.cold.ignore > 0 {
		t.cold.ignore--
	} else {
		t.cold.assumed = false
	}
	e.updateCold(t, now)
}

// observeCold records for how long a response states that its target stays cold. The caller holds e.mu.
func (e *Exit) observeCold(t *target, remaining time.Duration, now time.Time) {
	if until := now.Add(remaining); until.After(t.cold.respondedUntil) {
		t.cold.respondedUntil = until
	}
	e.updateCold(t, now)
}

// assumeCold takes a target for cold until it is heard of again. The caller holds e.mu.
func (e *Exit) assumeCold(t *target, cause string, now time.Time) {
	if t.cold.assumed || e.coldPolicy(t.Service).Rate == 0 {
		return
	}
	t.cold.assumed, t.cold.assumedAt = true, now
	e.log.Info("target assumed cold", zap.String("instance", t.Instance), zap.String("cause", cause))
	e.updateCold(t, now)
}

// applyDoubt takes a target for cold whose instance was removed without its own word. The heartbeat that announces it
// may have been sent before it ended, so that only a later one ends that.
func (e *Exit) applyDoubt(t *target, now time.Time) {
	t.cold.addedAt = now
	if _, doubted := e.doubted[t.Instance]; doubted {
		t.cold.assumed, t.cold.assumedAt, t.cold.ignore = true, now, 1
		delete(e.doubted, t.Instance)
	}
}

func (e *Exit) expireDoubts(now time.Time) {
	for instance, at := range e.doubted {
		if now.Sub(at) > withdrawalRetention {
			delete(e.doubted, instance)
		}
	}
}

// updateCold holds a target to the rate of its service while it is cold. The caller holds e.mu.
func (e *Exit) updateCold(t *target, now time.Time) {
	policy := e.coldPolicyOf(t)
	cold := t.cold.assumed || now.Before(t.cold.until())
	if policy.Rate > 0 && policy.Known {
		t.coldUntil = t.cold.until()
	}
	rate := 0.0
	if cold {
		rate = policy.Rate
	}
	before := t.admission.ColdRate()
	e.deliver(t, t.admission.SetCold(rate, now), now)
	after := t.admission.ColdRate()
	if before == after {
		return
	}
	t.reportedSlots = t.Slots
	if t.namedRate != nil || after > 0 {
		t.reportedSlots = t.admission.RatedSlots()
	}
	switch {
	case before == 0:
		e.coldPeriods++
		e.log.Info("target is cold", zap.String("instance", t.Instance), zap.Float64("rate", after),
			zap.Bool("assumed", t.cold.assumed), zap.Duration("remaining", max(t.cold.until().Sub(now), 0)))
	case after == 0:
		e.log.Info("target is warm", zap.String("instance", t.Instance))
	}
}

// coldRemaining returns the time for which the target of a response states to stay cold, and whether it does.
func (c *Conventions) coldRemaining(header http.Header) (time.Duration, bool) {
	values := header[http.CanonicalHeaderKey(c.ColdRemaining)]
	if c.ColdRemaining == "" || len(values) != 1 {
		return 0, false
	}
	millis, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || millis < 0 {
		return 0, false
	}
	return time.Duration(min(millis, maxColdStated.Milliseconds())) * time.Millisecond, true
}

// mayRepeat reports whether a request that failed on a reused connection may be written to the same target
// again.
func (e *Exit) mayRepeat(t *target) bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.evacuated {
		return false
	}
	return t.admission.MayRepeat(now)
}

// observeLoss records that a connection was lost before the response of its request. A restart shows in several
// at once, or in the idle ones; the next process is cold, and no heartbeat of it may have come yet.
func (e *Exit) observeLoss(t *target) {
	if e.coldPolicy(t.Service).Rate == 0 {
		return
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(t.cold.lostAt) < restartSpan || t.conns.allStale() {
		e.assumeCold(t, "its connections are closed", now)
	}
	t.cold.lostAt = now
}

// ColdTargets returns the number of targets that are held to the rate of cold ones, and how often a target
// became so.
func (e *Exit) ColdTargets() (cold int, periods uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.targets {
		if t.admission.ColdRate() > 0 {
			cold++
		}
	}
	return cold, e.coldPeriods
}
