package exit

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"
)

// Departure records that a target left: it announced that it is leaving, or was withdrawn. The
// daemon stores departures outside of its process, since after a restart an announcement that was
// delayed could not be told from one of a target that stays.
type Departure struct {
	Instance    string    `json:"instance"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
}

// OnDeparture sets the function that is called, without the lock of the exit, after a target left.
func (e *Exit) OnDeparture(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onDeparture = f
}

// Departures returns the departures of the last withdrawalRetention, ordered by instance.
func (e *Exit) Departures() []Departure {
	e.mu.Lock()
	defer e.mu.Unlock()
	departures := make([]Departure, 0, len(e.departures))
	for _, departed := range e.departures {
		departures = append(departures, departed)
	}
	slices.SortFunc(departures, func(a, b Departure) int { return cmp.Compare(a.Instance, b.Instance) })
	return departures
}

// RestoreDepartures applies the departures that an earlier process of this daemon recorded, and
// removes targets that were announced again in the meantime. They count from now on, whatever the
// clock said when they were recorded.
func (e *Exit) RestoreDepartures(departures []Departure) {
	now := time.Now()
	e.mu.Lock()
	for _, departed := range departures {
		if now.Sub(departed.At) > withdrawalRetention {
			continue
		}
		if earlier, ok := e.withdrawals[departed.Instance]; ok && earlier.incarnation >= departed.Incarnation {
			continue
		}
		e.withdrawals[departed.Instance] = withdrawal{incarnation: departed.Incarnation, at: now}
		e.departures[departed.Instance] = Departure{departed.Instance, departed.Incarnation, now}
		if t := e.targets[departed.Instance]; t != nil && t.Incarnation <= departed.Incarnation {
			e.log.Info("target left before the restart", zap.String("instance", t.Instance), zap.Uint64("lifetime", t.Incarnation))
			e.removeTarget(t)
		}
	}
	e.mu.Unlock()
	e.notifyChange()
}

// recordDeparture records that an incarnation left. The caller holds e.mu, and calls notifyDeparture
// once it has released it.
func (e *Exit) recordDeparture(instance string, incarnation uint64, now time.Time) {
	if incarnation == 0 || e.departures[instance].Incarnation >= incarnation {
		return
	}
	e.departures[instance] = Departure{instance, incarnation, now}
	e.departed = true
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
