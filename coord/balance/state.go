package balance

import (
	"sync/atomic"
	"time"

	"sassafrasnotch.example/coord/gossip"
)

// reportLife is the age at which a reported load no longer counts.
const reportLife = time.Second

// avoidance is the time for which a host that cannot take work is passed over.
const avoidance = time.Second

// LoadReport is the load that a host stated with an answer or a refusal.
type LoadReport struct {
	Outstanding int
	Queued      int
	Slots       int
}

// State is what a daemon has observed of one endpoint. It is safe for
// concurrent use and outlives the tables that refer to it.
type State struct {
	outstanding atomic.Int32
	others      atomic.Int32 // reported outstanding and queued, without own calls
	slots       atomic.Int32 // reported slots, 0 if none were reported
	reportedAt  atomic.Int64 // nanoseconds of now
	avoidUntil  atomic.Int64 // nanoseconds of now
	health      health
}

// Endpoint is one version of a service on one host.
type Endpoint struct {
	Host    string
	Zone    string
	Region  string
	Address string
	Version string
	// Slots is the number of requests that the host's targets of the version
	// announced to run at once.
	Slots int
	*State

	incarnation uint64
}

// Begin counts a call as outstanding. Every Begin is followed by one End.
func (e *Endpoint) Begin() { e.outstanding.Add(1) }

// End counts a call as finished.
func (e *Endpoint) End() { e.outstanding.Add(-1) }

// Outstanding returns the number of this daemon's calls to the endpoint.
func (e *Endpoint) Outstanding() int { return int(e.outstanding.Load()) }

// Observe takes in the load that the host reported. The calls of this daemon are
// among it, the one that brought the report included; they are taken out, as Load
// counts those of the present.
func (e *Endpoint) Observe(report LoadReport, now time.Duration) {
	e.others.Store(max(int32(report.Outstanding+report.Queued)-e.outstanding.Load(), 0))
	e.slots.Store(int32(report.Slots))
	e.reportedAt.Store(int64(now))
}

// Avoid passes the endpoint over for a moment, after it stated that it takes
// no work or could not be reached.
func (e *Endpoint) Avoid(now time.Duration) {
	e.avoidUntil.Store(int64(now + avoidance))
}

// Load returns the work at the endpoint in units of its slots.
func (e *Endpoint) Load(now time.Duration) float64 {
	busy := e.outstanding.Load()
	slots := int32(e.Slots)
	if e.reported(now) {
		busy += e.others.Load()
		slots = e.slots.Load()
	}
	return float64(busy) / float64(max(slots, 1))
}

func (e *Endpoint) reported(now time.Duration) bool {
	at := e.reportedAt.Load()
	return at != 0 && now-time.Duration(at) < reportLife
}

func (e *Endpoint) avoided(now time.Duration) bool {
	return int64(now) < e.avoidUntil.Load()
}

// accepts reports whether the member may receive new work.
func accepts(member *gossip.Member) bool {
	return member.Status != gossip.Dead && !member.Leaving
}
