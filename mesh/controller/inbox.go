package controller

import (
	"cmp"
	"slices"
	"sync"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// inbox collects the counts of outcome reports for the moves that run here. It
// is safe for concurrent use.
type inbox struct {
	mu    sync.Mutex
	moves map[string]*pending // by service
}

// pending is what arrived for one move and no window holds yet.
type pending struct {
	move     Rollout
	samples  []detect.Sample
	reported bool
	trips    map[string]*peerpb.Trip // by zone
	received map[reporter]*received
}

// reporter is one run of a host's daemon. Incarnations are only told apart: a clock
// that was set back between two runs puts them out of order.
type reporter struct {
	host        string
	incarnation uint64
}

// received tells which reports of a reporter have arrived: the highest sequence and
// a mask of those just below it, bit 0 for the highest itself.
type received struct {
	highest, mask uint64
}

// maskLength is the number of sequences that received tells apart, in bits.
const maskLength = 64

func newInbox() *inbox {
	return &inbox{moves: make(map[string]*pending)}
}

func newPending(m Rollout) *pending {
	return &pending{
		move:     m,
		trips:    make(map[string]*peerpb.Trip),
		received: make(map[reporter]*received),
	}
}

// watch sets the moves whose counts are kept.
func (b *inbox) watch(moves []Rollout) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := make(map[string]*pending, len(moves))
	for _, m := range moves {
		p := b.moves[m.Service]
		if p == nil || p.move.Ticket != m.Ticket {
			p = newPending(m)
		}
		kept[m.Service] = p
	}
	b.moves = kept
}

// add takes a report once: a report that was resent, or that comes by two ways,
// counts the first time only.
func (b *inbox) add(report *peerpb.OutcomeReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, p := range b.moves {
		if !concerns(report, service) || !p.first(report) {
			continue
		}
		p.reported = true
		for _, count := range report.GetCounts() {
			p.add(count)
		}
	}
	for _, trip := range report.GetTrips() {
		b.addTrip(trip)
	}
}

func (b *inbox) learn(trips []*peerpb.Trip) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, trip := range trips {
		b.addTrip(trip)
	}
}

func concerns(report *peerpb.OutcomeReport, service string) bool {
	return slices.ContainsFunc(report.GetCounts(), func(count *peerpb.OutcomeCount) bool {
		return count.GetService() == service
	})
}

// first reports whether the report arrives for the first time.
func (p *pending) first(report *peerpb.OutcomeReport) bool {
	from := reporter{report.GetHost(), report.GetIncarnation()}
	r := p.received[from]
	if r == nil {
		r = &received{}
		p.received[from] = r
	}
	return r.mark(report.GetSequence())
}

// mark notes a sequence and reports whether it is new. One too old to tell is
// not.
func (r *received) mark(sequence uint64) bool {
	if sequence > r.highest {
		r.mask = r.mask<<min(sequence-r.highest, maskLength) | 1
		r.highest = sequence
		return true
	}
	age := r.highest - sequence
	if age >= maskLength || r.mask>>age&1 == 1 {
		return false
	}
	r.mask |= 1 << age
	return true
}

func (p *pending) add(count *peerpb.OutcomeCount) {
	if count.GetService() != p.move.Service {
		return
	}
	version := detect.OldVersion
	switch count.GetVersion() {
	case p.move.To:
		version = detect.NewVersion
	case p.move.From:
	default:
		if p.move.From != revision.AnyVersion {
			return
		}
	}
	p.samples = append(p.samples, detect.Sample{
		Version: version, Route: count.GetRoute(), Zone: count.GetZone(),
		Requests: count.GetRequests(), Failures: count.GetFailures(), Slow: count.GetSlow(),
		Crashes: count.GetCrashes(), Unknown: count.GetUnknown(),
	})
}

// take removes the samples that arrived for a service since the last call.
func (b *inbox) take(service string) (samples []detect.Sample, reported bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.moves[service]
	if p == nil {
		return nil, false
	}
	samples, reported = p.samples, p.reported
	p.samples, p.reported = nil, false
	return samples, reported
}

// addTrip notes a zone's trip. The caller holds the lock.
func (b *inbox) addTrip(trip *peerpb.Trip) {
	p := b.moves[trip.GetService()]
	if p == nil || p.move.Ticket != trip.GetTicket() || p.move.To != trip.GetVersion() {
		return
	}
	if p.trips[trip.GetZone()] == nil {
		p.trips[trip.GetZone()] = trip
	}
}

// trip notes a trip that this host found.
func (b *inbox) trip(trip *peerpb.Trip) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addTrip(trip)
}

// trips returns the trips of the running moves, ordered by service and zone.
func (b *inbox) trips() []*peerpb.Trip {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*peerpb.Trip
	for _, p := range b.moves {
		for _, trip := range p.trips {
			all = append(all, trip)
		}
	}
	slices.SortFunc(all, func(a, b *peerpb.Trip) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetZone(), b.GetZone()))
	})
	return all
}
