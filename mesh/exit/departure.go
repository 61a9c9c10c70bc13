package exit

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/departure"
	"sassafrasnotch.example/mesh/steperr"
)

// ErrNotRecorded is returned for a departure that the store does not hold yet. The target has left all the
// same, but a later process of this daemon may not know that.
var ErrNotRecorded = errors.New("the departure is not recorded yet")

const (
	// recordTimeout bounds the wait for the record of a departure: below the second after which a target
	// takes its call for lost.
	recordTimeout = 900 * time.Millisecond
	// withdrawalRetention is the time for which a withdrawal is kept: longer than the possible delay of
	// an announcement.
	withdrawalRetention = time.Minute
)

// WithRecordedDepartures makes the exit open no target that states an incarnation before
// RestoreDepartures, unless it has evidence that the target stays.
func WithRecordedDepartures() Option {
	return func(e *Exit) { e.departuresKnown = false }
}

// OnDeparture sets the function that is called, without the lock of the exit, after a target left.
func (e *Exit) OnDeparture(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onDeparture = f
}

// Departures returns the departures of the last withdrawalRetention, ordered by instance, and the number
// of the last change of them.
func (e *Exit) Departures() (departures []departure.Departure, change uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.departures.Departures()
}

// HasUnrecordedDepartures reports whether DeparturesRecorded is due.
func (e *Exit) HasUnrecordedDepartures() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.departures.HasUnstored()
}

// DeparturesRecorded reports that the store holds the departures up to a change.
func (e *Exit) DeparturesRecorded(change uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.departures.Stored(change)
	close(e.recorded)
	e.recorded = make(chan struct{})
}

// AwaitRecorded waits until the departure of a target is recorded. It returns ErrNotRecorded if it is not
// within recordTimeout, and nil if there is nothing to record.
func (e *Exit) AwaitRecorded(ctx context.Context, instance string) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for {
		e.mu.Lock()
		acknowledged, recorded := e.departures.MayAcknowledge(instance), e.recorded
		e.mu.Unlock()
		if acknowledged {
			return nil
		}
		select {
		case <-recorded:
		case <-ctx.Done():
			return steperr.Wrap(ErrNotRecorded, "record departure", instance)
		}
	}
}

// RestoreDepartures applies the departures that an earlier process of this daemon recorded, removes
// targets that were announced again in the meantime, and opens those that were held and stay.
func (e *Exit) RestoreDepartures(departures []departure.Departure) {
	now := time.Now()
	e.mu.Lock()
	for _, departed := range e.departures.Restore(departures, now) {
		e.withdrawals[departed.Instance] = withdrawal{incarnation: departed.Incarnation, at: now}
		if t := e.targets[departed.Instance]; t != nil && t.Incarnation <= departed.Incarnation {
			e.log.Info("target left before the restart", zap.String("instance", t.Instance), zap.Uint64("lifetime", t.Incarnation))
			e.removeTarget(t)
		}
	}
	for instance := range e.held {
		e.openHeld(instance, now)
	}
	e.mu.Unlock()
	e.notifyChange()
}

// recordDeparture records that an incarnation left. The caller holds e.mu, and calls notifyDeparture
// once it has released it.
func (e *Exit) recordDeparture(instance string, incarnation uint64, now time.Time) {
	delete(e.held, instance)
	if e.departures.Record(instance, incarnation, now) {
		e.departed = true
	}
}

// notifyDeparture calls the OnDeparture function if a target has left since its last call.
func (e *Exit) notifyDeparture() {
	e.mu.Lock()
	departed, notify := e.departed, e.onDeparture
	e.departed = false
	e.mu.Unlock()
	if departed {
		notify()
	}
}
