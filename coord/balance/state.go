package balance

import (
	"sync/atomic"
	"time"

	"sassafrasnotch.example/coord/gossip"
)

const (
	// reportMaxAge is the age from which a reported load is ignored where the service time of the
	// requests is not known.
	reportMaxAge = time.Second
	// minReportMaxAge and maxReportMaxAge bound the age otherwise, which is one service time: by then
	// other requests have taken the place of those reported.
	minReportMaxAge = 20 * time.Millisecond
	maxReportMaxAge = 10 * time.Second
)

// avoidDuration is the time for which Avoid applies to an endpoint.
const avoidDuration = time.Second

// LoadReport is the load that a host reports with a response or a refusal.
type LoadReport struct {
	// Outstanding is the number of requests of all daemons that hold a slot.
	Outstanding int
	// Queued is the number of requests that wait for one.
	Queued int
	// Slots is the number of slots in use or free, without those that warm-up keeps closed.
	Slots int
	// Wait is how long a request that arrives now is expected to wait for a slot.
	Wait time.Duration
	// FailureRate is the recent fraction of requests that failed there, from 0 to 1.
	FailureRate float64
	// ServiceTime is the mean time for which requests of the service run; 0 if it is not known.
	ServiceTime time.Duration
}

// failurePenalty is the load, in requests per slot, that a host counts as having if all of its
// requests fail. A host that fails at once is idle, and would otherwise draw more of them.
const failurePenalty = 2.0

// State is the load and health of one endpoint as this daemon has observed them. It is safe
// for concurrent use, and each Index takes it over from the one before.
type State struct {
	outstanding atomic.Int32 // this daemon's requests
	others      atomic.Int32 // reported outstanding and queued, without this daemon's requests
	slots       atomic.Int32 // reported slots; 0 before any report
	wait        atomic.Int64 // reported, in nanoseconds
	failures    atomic.Int64 // reported failure rate, in parts per million
	validUntil  atomic.Int64 // of the report, nanoseconds since the origin of now; 0 before any report
	avoidUntil  atomic.Int64 // nanoseconds since the origin of now
	health      health
	speed       speed
}

// Endpoint is one version of a service on one host.
type Endpoint struct {
	Host   string
	Zone   string
	Region string
	// Address is that of the host's daemon for other daemons.
	Address string
	Version string
	// Slots is the number of requests that the host's targets of the version run at once,
	// as announced.
	Slots int
	*State

	// suspect means that the membership suspects the host to be unreachable.
	suspect     bool
	incarnation uint64
}

// Begin counts a request as outstanding. Every Begin is followed by one End.
func (e *Endpoint) Begin() { e.outstanding.Add(1) }

// End counts a request as finished.
func (e *Endpoint) End() { e.outstanding.Add(-1) }

// Outstanding returns the number of this daemon's outstanding requests to the endpoint,
// whereas LoadReport.Outstanding counts those of all daemons.
func (e *Endpoint) Outstanding() int { return int(e.outstanding.Load()) }

// Observe stores the load that the host reported. The report includes the requests of this
// daemon, also the one whose response carries it; they are subtracted, since Load adds those
// outstanding at its time.
func (e *Endpoint) Observe(report LoadReport, now time.Duration) {
	e.others.Store(max(int32(report.Outstanding+report.Queued)-e.outstanding.Load(), 0))
	e.slots.Store(int32(report.Slots))
	e.wait.Store(int64(report.Wait))
	e.failures.Store(int64(report.FailureRate * partsPerUnit))
	e.validUntil.Store(int64(now + report.maxAge()))
}

// maxAge returns the age from which the report is ignored.
func (r *LoadReport) maxAge() time.Duration {
	if r.ServiceTime <= 0 {
		return reportMaxAge
	}
	return min(max(r.ServiceTime, minReportMaxAge), maxReportMaxAge)
}

// Avoid makes Group.Pick return the endpoint only if no other remains, for avoidDuration,
// after it reported that it accepts no work or could not be reached.
func (e *Endpoint) Avoid(now time.Duration) {
	e.avoidUntil.Store(int64(now + avoidDuration))
}

// Load returns the requests outstanding and queued at the endpoint, per slot. It includes
// those of other daemons while the last report is valid.
func (e *Endpoint) Load(now time.Duration) float64 {
	busy := e.outstanding.Load()
	slots := int32(e.Slots)
	if e.hasFreshReport(now) {
		busy += e.others.Load()
		slots = e.slots.Load()
	}
	return float64(busy) / float64(max(slots, 1))
}

// penalizedLoad returns the load by which two endpoints are compared: a failing one is not taken
// for an idle one, and one that takes longer counts as busier. Whether an endpoint is full depends
// on Load only.
func (e *Endpoint) penalizedLoad(now time.Duration) float64 {
	return e.Load(now) + failurePenalty*e.FailureRate(now) + slownessPenalty*(e.RelativeServiceTime(now)-1)
}

// FailureRate returns the reported fraction of failed requests; 0 without a valid report.
func (e *Endpoint) FailureRate(now time.Duration) float64 {
	if !e.hasFreshReport(now) {
		return 0
	}
	return float64(e.failures.Load()) / partsPerUnit
}

// partsPerUnit is the resolution of a stored fraction.
const partsPerUnit = 1_000_000

// Wait returns how long a request is expected to wait for a slot; 0 without a valid report.
func (e *Endpoint) Wait(now time.Duration) time.Duration {
	if !e.hasFreshReport(now) {
		return 0
	}
	return time.Duration(e.wait.Load())
}

func (e *Endpoint) hasFreshReport(now time.Duration) bool {
	return int64(now) < e.validUntil.Load()
}

func (e *Endpoint) avoided(now time.Duration) bool {
	return int64(now) < e.avoidUntil.Load()
}

// acceptsWork reports whether the member may receive new requests.
func acceptsWork(member *gossip.Member) bool {
	return member.Status != gossip.Dead && !member.Leaving
}
