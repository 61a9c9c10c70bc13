package exit

import (
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// evacuatedWait is the wait that an evacuated host reports, so that a request that finds no free slot is
// queued at any other host first.
const evacuatedWait = time.Minute

// SetEvacuated states whether the targets of this host are to receive no requests, because their zone is
// evacuated. Queued requests are refused, and so are those that arrive, until the evacuation ends. Requests
// that were dispatched continue. The targets count as cold afterwards.
func (e *Exit) SetEvacuated(evacuated bool) {
	now := time.Now()
	e.mu.Lock()
	if e.evacuated == evacuated {
		e.mu.Unlock()
		return
	}
	e.evacuated = evacuated
	refused := 0
	for _, t := range e.targets {
		if evacuated {
			refused += t.admission.Load(now).Queued
			t.deliver(t.admission.Evacuate())
		} else {
			e.assumeCold(t, "evacuation ended", now)
		}
	}
	e.evacuationRefusals += uint64(refused)
	e.mu.Unlock()
	if evacuated {
		e.log.Warn("zone evacuated: targets of this host receive no requests", zap.Int("refused", refused))
	} else {
		e.log.Info("evacuation of the zone ended")
	}
	e.notifyChange()
}

// Evacuated reports whether the targets of this host are to receive no requests.
func (e *Exit) Evacuated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evacuated
}

// EvacuationRefusals returns the number of requests that were refused because of an evacuation.
func (e *Exit) EvacuationRefusals() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evacuationRefusals
}

// evacuatedRefusal states that the zone is evacuated. It is a refusal by admission control, which costs the
// retry budget of the entry nothing: all hosts of a zone refuse at the same time.
func evacuatedRefusal() *refusal {
	return &refusal{
		reason:      peerpb.RefusalReason_REFUSAL_REASON_LEAVING,
		detail:      "the zone of the host is evacuated",
		byAdmission: true,
	}
}
