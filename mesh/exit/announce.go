package exit

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/admission"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/steperr"
)

// ErrStaleAnnouncement is returned for an announcement that is superseded by a later one of the
// target, by its withdrawal, or by a later incarnation of another target at its address.
var ErrStaleAnnouncement = errors.New("the announcement is superseded by a later one or by a withdrawal")

var (
	errIncomplete = errors.New("instance, service and version must be set")
	errSlots      = fmt.Errorf("slots must be from 1 to %d", gossip.MaxSlots)
	errNameLength = fmt.Errorf("service and version may have at most %d bytes", maxNameLength)
)

// maxNameLength bounds the names of a target's service and version, in bytes: every daemon is told of them
// in a datagram.
const maxNameLength = 256

// Announce adds or renews a target. An instance that is announced with another address, service or
// version replaces the previous one. Announce returns ErrStaleAnnouncement for an announcement
// that is superseded, and another error for one that is incomplete or has an address that is
// invalid or not the configured one. A target whose departure an earlier process may have acknowledged is
// held: it is opened later, without a further announcement.
func (e *Exit) Announce(a admin.Announcement) error {
	now := time.Now()
	e.mu.Lock()
	err := e.checkAnnouncement(a)
	if err == nil {
		err = e.applyAnnouncement(a, now)
	}
	e.mu.Unlock()
	if err != nil {
		return steperr.Wrap(err, "announce", a.Instance)
	}
	e.notifyDeparture()
	e.notifyChange()
	return nil
}

// applyAnnouncement adds, renews or replaces the target of a valid announcement. The caller holds
// e.mu.
func (e *Exit) applyAnnouncement(a admin.Announcement, now time.Time) error {
	if e.isStale(a) {
		return ErrStaleAnnouncement
	}
	t := e.targets[a.Instance]
	if t != nil && !sameTarget(t.Announcement, a) {
		e.removeTarget(t)
		t = nil
	}
	if t == nil && !a.Leaving && e.departures.Departed(a.Instance, a.Incarnation) {
		return ErrStaleAnnouncement
	}
	if t == nil && !a.Leaving && !e.departures.MayOpen(a.Instance, a.Incarnation, a.Sequence, now) {
		e.hold(a, now)
		return nil
	}
	e.open(a, now)
	return nil
}

// open adds or renews the target of an announcement. The caller holds e.mu.
func (e *Exit) open(a admin.Announcement, now time.Time) {
	delete(e.held, a.Instance)
	t := e.targets[a.Instance]
	if t == nil {
		e.removeAtAddress(a)
		t = e.addTarget(a, now)
	}
	t.expires = now.Add(e.settings.AnnounceTTL.Std())
	t.Slots = a.Slots
	t.Sequence = a.Sequence
	t.admission.SetSlots(a.Slots)
	if t.namedRate == nil && t.admission.ColdRate() == 0 {
		t.reportedSlots = a.Slots
	}
	e.observeAnnouncement(t, a, now)
	if a.Leaving {
		e.recordDeparture(a.Instance, a.Incarnation, now)
	}
	if (a.Leaving || e.leaving) && !t.Leaving {
		t.startLeaving()
		e.log.Info("target is leaving", zap.String("instance", t.Instance), zap.Uint64("sequence", a.Sequence),
			zap.Int("outstanding", t.admission.Load(now).Outstanding))
	}
}

// removeAtAddress removes all targets at the address of an announcement that is not stale; none is
// of a later incarnation. An announcement without an incarnation removes none. The caller holds
// e.mu.
func (e *Exit) removeAtAddress(a admin.Announcement) {
	if a.Incarnation == 0 {
		return
	}
	for _, t := range e.targets {
		if t.Address == a.Address {
			e.removeTarget(t)
		}
	}
}

// isStale reports whether the announcement is superseded: by a later announcement of the instance
// itself, by its withdrawal, or by a later incarnation of another target at its address. The caller
// holds e.mu.
func (e *Exit) isStale(a admin.Announcement) bool {
	if a.Incarnation == 0 {
		return false
	}
	if withdrawn, ok := e.withdrawals[a.Instance]; ok && a.Incarnation <= withdrawn.incarnation {
		return true
	}
	if held := e.held[a.Instance]; held != nil && held.announcement.Incarnation == a.Incarnation && a.Sequence < held.announcement.Sequence {
		return true
	}
	for _, t := range e.targets {
		switch {
		case t.Instance == a.Instance && t.Incarnation == a.Incarnation:
			if a.Sequence < t.Sequence {
				return true
			}
		case t.Instance == a.Instance || t.Address == a.Address:
			if a.Incarnation < t.Incarnation {
				return true
			}
		}
	}
	return false
}

func (e *Exit) checkAnnouncement(a admin.Announcement) error {
	switch {
	case a.Instance == "" || a.Service == "" || a.Version == "":
		return errIncomplete
	case a.Slots < 1 || a.Slots > gossip.MaxSlots:
		return errSlots
	case len(a.Service) > maxNameLength || len(a.Version) > maxNameLength:
		return errNameLength
	}
	if e.settings.Target != "" && a.Address != e.settings.Target {
		return fmt.Errorf("address %q is not the configured target address of this host", a.Address)
	}
	_, port, err := net.SplitHostPort(a.Address)
	if err != nil {
		return err
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return fmt.Errorf("port %q is not a number from 1 to 65535", port)
	}
	return nil
}

// sameTarget reports whether b renews a. Without an incarnation, a target that was leaving and is
// announced as not leaving has restarted.
func sameTarget(a, b admin.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return false
	}
	if a.Leaving && !b.Leaving && a.Incarnation == 0 {
		return false
	}
	return a.Service == b.Service && a.Version == b.Version && a.Address == b.Address
}

// initialSlots is the number of requests that a target runs at once until its first response, where a
// response may name a rate: this process may have started after the target named one.
const initialSlots = 4

func (e *Exit) addTarget(a admin.Announcement, now time.Time) *target {
	config := admission.Config{
		Slots:       a.Slots,
		QueueLength: e.settings.QueueLength,
		WarmUp:      e.settings.WarmUp.Std(),
	}
	if e.conventions.RateLimit != "" {
		config.InitialSlots = initialSlots
	}
	if e.conventions.SilentWhenFull {
		config.CountHeld, config.Inherited = true, e.inherited(a)
	}
	if a.Incarnation != 0 {
		// A target that states how long it is cold accepts requests on all its slots at once,
		// if more slowly. When all targets start together, opening the slots one by one would
		// refuse requests that they can serve.
		config.WarmUp = 0
	}
	a.Leaving = false
	t := newTarget(a, config, e.targetConns, now)
	t.coldUntil = now.Add(a.ColdRemaining.Std())
	e.applyDoubt(t, now)
	e.targets[a.Instance] = t
	e.versions[t.key] = append(e.versions[t.key], t)
	e.log.Info("target announced", zap.String("instance", a.Instance),
		zap.String("service", a.Service), zap.String("version", a.Version))
	return t
}

// removeTarget removes the target and refuses the requests queued for it. Requests in flight
// continue. The caller holds e.mu.
func (e *Exit) removeTarget(t *target) {
	t.startLeaving()
	e.removedAt[t.Instance] = removal{incarnation: t.Incarnation, at: time.Now()}
	if e.targets[t.Instance] == t {
		delete(e.targets, t.Instance)
	}
	remaining := slices.DeleteFunc(e.versions[t.key], func(other *target) bool { return other == t })
	e.versions[t.key] = remaining
	if len(remaining) == 0 {
		delete(e.versions, t.key)
	}
	t.conns.close()
	e.log.Info("target removed", zap.String("instance", t.Instance))
}

// Tick removes targets whose announcement has expired, admits queued requests to slots that opened
// since the previous call, and discards expired idle connections, suspect requests and withdrawals.
// It is to be called several times a second.
func (e *Exit) Tick(now time.Time) {
	e.mu.Lock()
	for _, t := range e.targets {
		if now.After(t.expires) {
			e.removeTarget(t)
			continue
		}
		e.tickCold(t, now)
		e.deliver(t, t.admission.Tick(now), now)
		e.observeHeldBack(t, now)
		t.conns.expire(now)
	}
	e.crashes.expire(now)
	for instance, withdrawn := range e.withdrawals {
		if now.Sub(withdrawn.at) > withdrawalRetention {
			delete(e.withdrawals, instance)
		}
	}
	e.expireDoubts(now)
	e.expireRemovals(now)
	e.departures.Expire(now)
	e.tickHeld(now)
	e.mu.Unlock()
	e.notifyChange()
}

// OnChange sets the function that receives all targets, as Targets returns them, after each change
// of them.
func (e *Exit) OnChange(f func([]gossip.Target)) {
	e.mu.Lock()
	e.onChange = f
	e.mu.Unlock()
}

// notifyChange calls the OnChange function if the targets differ from those it received last.
func (e *Exit) notifyChange() {
	e.changeMu.Lock()
	defer e.changeMu.Unlock()
	targets := e.Targets()
	if slices.Equal(targets, e.reportedTargets) {
		return
	}
	e.reportedTargets = targets
	e.mu.Lock()
	onChange := e.onChange
	e.mu.Unlock()
	onChange(slices.Clone(targets))
}

// Targets returns the targets as reported to other hosts, ordered by instance.
func (e *Exit) Targets() []gossip.Target {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	targets := make([]gossip.Target, 0, len(e.targets))
	for _, t := range e.sortedTargets() {
		targets = append(targets, gossip.Target{
			Service: t.Service,
			Version: t.Version,
			Slots:   t.reportedSlots,
			State:   t.stateAt(now),
		})
	}
	return targets
}

// TargetStatus returns a list of the targets as reported to operators, ordered by instance.
func (e *Exit) TargetStatus() []admin.TargetStatus {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	status := make([]admin.TargetStatus, 0, len(e.targets))
	for _, t := range e.sortedTargets() {
		load := t.admission.Load(now)
		status = append(status, admin.TargetStatus{
			Host:        e.self.Host,
			Zone:        e.self.Zone,
			Service:     t.Service,
			Version:     t.Version,
			State:       string(t.stateAt(now)),
			Slots:       t.Slots,
			Outstanding: load.Outstanding,
			Queued:      load.Queued,
			Abandoned:   t.admission.Abandoned(now),
			Rate:        t.namedRate,
		})
	}
	return status
}

func (e *Exit) sortedTargets() []*target {
	targets := make([]*target, 0, len(e.targets))
	for _, t := range e.targets {
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.Instance, b.Instance) })
	return targets
}

// Load is the sum over all targets of a version on this host: requests that hold a slot, requests
// in queues, and slots in use or free, without those that warm-up keeps closed.
type Load struct {
	Outstanding int
	Queued      int
	Slots       int
}

// VersionLoad returns the load of a version, zero if it has no target on this host.
func (e *Exit) VersionLoad(service, version string) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadOf(versionKey{service, version}, time.Now())
}

func (e *Exit) loadOf(key versionKey, now time.Time) Load {
	var sum Load
	for _, t := range e.versions[key] {
		load := t.admission.Load(now)
		sum.Outstanding += load.Outstanding
		sum.Queued += load.Queued
		sum.Slots += load.Slots
	}
	return sum
}
