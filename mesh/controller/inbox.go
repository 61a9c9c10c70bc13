package controller

import (
	"cmp"
	"slices"
	"sync"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// inbox collects the counts and halts of outcome reports for the running rollouts. It is safe for
// concurrent use.
type inbox struct {
	mu       sync.Mutex
	rollouts map[string]*pendingReports // by service
}

// pendingReports holds the samples of one rollout that no window contains yet, its halts and the
// reports received.
type pendingReports struct {
	rollout  Rollout
	samples  []detect.Sample
	reported bool                    // a report arrived since the last drain
	halts    map[string]*peerpb.Trip // by zone
	received map[reporter]*receivedSequences
}

// reporter identifies one process of a host's daemon. Incarnations are compared for equality only:
// if the clock is set back between two processes, they are out of order.
type reporter struct {
	host        string
	incarnation uint64
}

// receivedSequences records the reports received from a reporter: the highest sequence number and
// a bit mask of the numbers up to it, with bit 0 for the highest itself.
type receivedSequences struct {
	highest, mask uint64
}

// sequenceWindow is the number of sequence numbers, up to the highest, that the mask covers.
const sequenceWindow = 64

func newInbox() *inbox {
	return &inbox{rollouts: make(map[string]*pendingReports)}
}

func newPendingReports(m Rollout) *pendingReports {
	return &pendingReports{
		rollout:  m,
		halts:    make(map[string]*peerpb.Trip),
		received: make(map[reporter]*receivedSequences),
	}
}

// setRollouts sets the rollouts whose counts and halts are kept.
func (b *inbox) setRollouts(rollouts []Rollout) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := make(map[string]*pendingReports, len(rollouts))
	for _, m := range rollouts {
		p := b.rollouts[m.Service]
		if p == nil || p.rollout.Ticket != m.Ticket {
			p = newPendingReports(m)
		}
		kept[m.Service] = p
	}
	b.rollouts = kept
}

// add records a report. A report that is resent, or that arrives both directly and relayed, is
// counted once.
func (b *inbox) add(report *peerpb.OutcomeReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, p := range b.rollouts {
		if !hasCountsFor(report, service) || !p.isNew(report) {
			continue
		}
		p.reported = true
		for _, count := range report.GetCounts() {
			p.add(count, report.GetHost())
		}
	}
	for _, halt := range report.GetTrips() {
		b.addHaltLocked(halt)
	}
}

// addHalts records halts that other hosts decided.
func (b *inbox) addHalts(halts []*peerpb.Trip) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, halt := range halts {
		b.addHaltLocked(halt)
	}
}

// hasCountsFor reports whether the report holds counts of the service.
func hasCountsFor(report *peerpb.OutcomeReport, service string) bool {
	return slices.ContainsFunc(report.GetCounts(), func(count *peerpb.OutcomeCount) bool {
		return count.GetService() == service
	})
}

// isNew reports whether the report is received for the first time, and marks it as received.
func (p *pendingReports) isNew(report *peerpb.OutcomeReport) bool {
	from := reporter{report.GetHost(), report.GetIncarnation()}
	r := p.received[from]
	if r == nil {
		r = &receivedSequences{}
		p.received[from] = r
	}
	return r.mark(report.GetSequence())
}

// mark records a sequence number and reports whether it is new. A number that is too old for the
// mask counts as received.
func (r *receivedSequences) mark(sequence uint64) bool {
	if sequence > r.highest {
		r.mask = r.mask<<min(sequence-r.highest, sequenceWindow) | 1
		r.highest = sequence
		return true
	}
	age := r.highest - sequence
	if age >= sequenceWindow || r.mask>>age&1 == 1 {
		return false
	}
	r.mask |= 1 << age
	return true
}

// add converts a count of a reporting host to a sample of the old or the new version. Counts of other
// versions are dropped.
func (p *pendingReports) add(count *peerpb.OutcomeCount, host string) {
	if count.GetService() != p.rollout.Service {
		return
	}
	version := detect.OldVersion
	switch count.GetVersion() {
	case p.rollout.To:
		version = detect.NewVersion
	case p.rollout.From:
	default:
		if p.rollout.From != revision.AnyVersion {
			return
		}
	}
	if count.GetUnknown() == count.GetRequests() {
		host = "" // may be counted by an entry, for the requests that their host did not report
	}
	p.samples = append(p.samples, detect.Sample{
		Version: version, Route: count.GetRoute(), Zone: count.GetZone(), Host: host,
		Requests: count.GetRequests(), Failures: count.GetFailures(), Slow: count.GetSlow(),
		Crashes: count.GetCrashes(), Unknown: count.GetUnknown(),
	})
}

// drain removes and returns the samples that arrived for a service since the last call, and
// reports whether any report arrived.
func (b *inbox) drain(service string) (samples []detect.Sample, reported bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.rollouts[service]
	if p == nil {
		return nil, false
	}
	samples, reported = p.samples, p.reported
	p.samples, p.reported = nil, false
	return samples, reported
}

// addHaltLocked records the first halt of each zone. Halts of other tickets or versions are
// ignored. The caller holds the lock.
func (b *inbox) addHaltLocked(halt *peerpb.Trip) {
	p := b.rollouts[halt.GetService()]
	if p == nil || p.rollout.Ticket != halt.GetTicket() || p.rollout.To != halt.GetVersion() {
		return
	}
	if p.halts[halt.GetZone()] == nil {
		p.halts[halt.GetZone()] = halt
	}
}

// recordHalt records a halt that this host decided.
func (b *inbox) recordHalt(halt *peerpb.Trip) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addHaltLocked(halt)
}

// halts returns the halts of the running rollouts, sorted by service and zone.
func (b *inbox) halts() []*peerpb.Trip {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*peerpb.Trip
	for _, p := range b.rollouts {
		for _, halt := range p.halts {
			all = append(all, halt)
		}
	}
	slices.SortFunc(all, func(a, b *peerpb.Trip) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetZone(), b.GetZone()))
	})
	return all
}
