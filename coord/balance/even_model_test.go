package balance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sassafrasnotch.example/coord/admission"
	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
)

const (
	evenTargets = 30
	evenSlots   = 6
	// slowFraction of the targets run slowFactor times slower in each phase of slowPhase.
	slowFraction = 0.15
	slowFactor   = 2.5
	slowPhase    = 600 * time.Millisecond
	// demandSwing is the amplitude of the demand over its mean. Each run has demandPeriods periods.
	demandSwing   = 0.55
	demandPeriods = 2
	// objectiveWork and deadlineWork are the latency objective and the deadline, in mean service times.
	objectiveWork = 3
	deadlineWork  = 12
)

// evenLoad is one service under a demand that swings, on targets of speeds 0.5 to 1.5 of which some
// are slower for a while. Reports that come with a response are used only once they are reportAge
// mean service times old; a refusal is known at once, since the entry waits for it.
type evenLoad struct {
	entries     int
	work        time.Duration
	utilization float64
	reportAge   float64
	requests    int
	// failing is the number of targets that fail all requests at once; cold that of targets with a
	// single slot.
	failing, cold int
}

// evenResult is what callers get of an evenLoad, and what it costs.
type evenResult struct {
	late     float64 // share of requests that ended after their objective, failed or were refused
	refused  float64
	peak     float64 // mean over time of the largest over the mean number of requests at a target
	messages float64 // a request
}

func (r evenResult) String() string {
	return fmt.Sprintf("late %.4f (refused %.4f), largest over mean %.2f, messages a request %.2f", r.late, r.refused, r.peak, r.messages)
}

// evenEvent is the arrival of a request, its end, a report, or a sample of the work.
type evenEvent struct {
	at, arrived, started time.Duration
	kind                 evenKind
	id                   uint64
	entry, target        int
	endpoint             *balance.Endpoint
	report               balance.LoadReport
	service              time.Duration
	offers               evenOffers // of a request
}

type evenKind int

const (
	requestArrives evenKind = iota
	requestEnds
	reportArrives
	sampleDue
)

type evenEvents []evenEvent

func (e evenEvents) Len() int           { return len(e) }
func (e evenEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e evenEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *evenEvents) Push(x any)        { *e = append(*e, x.(evenEvent)) }
func (e *evenEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// evenModel plays an evenLoad in virtual time.
type evenModel struct {
	load    evenLoad
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	targets []*admission.Target
	groups  []*balance.Group // by entry
	typical []*balance.ServiceTimes
	byHost  map[string]int
	events  evenEvents
	waiting map[uint64]evenEvent

	late, refused, messages int
	peaks                   float64
	samples                 int
}

func newEvenModel(load evenLoad, seed uint64) *evenModel {
	m := &evenModel{load: load, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), byHost: map[string]int{}, waiting: map[uint64]evenEvent{}}
	var members []gossip.Member
	for i := range evenTargets {
		slots := evenSlots
		if i >= load.failing && i < load.failing+load.cold {
			slots = 1
		}
		name := fmt.Sprintf("h%02d", i)
		m.byHost[name] = i
		m.targets = append(m.targets, admission.NewTarget(admission.Config{Slots: slots, QueueLength: 4 * evenSlots}, m.wall()))
		target := gossip.Target{Service: "s", Version: "v", Slots: slots}
		members = append(members, gossip.Member{Record: gossip.Record{Host: name, Zone: "a", Targets: []gossip.Target{target}}})
	}
	for range load.entries {
		m.groups = append(m.groups, balance.NewIndex(balance.Locality{Zone: "a"}, members, nil).Group("s", "v"))
		m.typical = append(m.typical, &balance.ServiceTimes{})
	}
	return m
}

func (m *evenModel) clock() time.Duration { return m.now + 1 }
func (m *evenModel) wall() time.Time      { return time.Unix(1000, 0).Add(m.now) }

// baseSpeed spreads the speeds evenly from 0.5 to 1.5, in an order that is unrelated to the other roles.
func (m *evenModel) baseSpeed(target int) float64 {
	return 0.5 + float64(target*7%evenTargets)/(evenTargets-1)
}

// speedAt returns the speed of a target at a time.
func (m *evenModel) speedAt(target int, at time.Duration) float64 {
	phase := rand.New(rand.NewPCG(uint64(target), uint64(at/slowPhase)+m.seed<<32))
	if phase.Float64() < slowFraction {
		return m.baseSpeed(target) / slowFactor
	}
	return m.baseSpeed(target)
}

// serviceTime returns how long a target runs for work that begins now, over all phases.
func (m *evenModel) serviceTime(target int, work float64) time.Duration {
	at := m.now
	for {
		speed, left := m.speedAt(target, at), slowPhase-at%slowPhase
		if needed := time.Duration(work / speed); needed <= left {
			return at + needed - m.now
		}
		work -= float64(left) * speed
		at += left
	}
}

// capacity returns the requests a second that the targets run on average.
func (m *evenModel) capacity() float64 {
	sum := 0.0
	for i := range m.targets {
		switch {
		case i < m.load.failing:
		case i < m.load.failing+m.load.cold:
			sum += m.baseSpeed(i)
		default:
			sum += m.baseSpeed(i) * evenSlots
		}
	}
	return sum * (1 - slowFraction + slowFraction/slowFactor) / m.load.work.Seconds()
}

func (m *evenModel) after(works float64) time.Duration {
	return time.Duration(works * float64(m.load.work))
}

// submit sends the request to the endpoint of an offer and reports whether it was taken.
func (m *evenModel) submit(r evenEvent, offer balance.Offer) bool {
	m.messages++
	r.endpoint, r.target = offer.Endpoint, m.byHost[offer.Endpoint.Host]
	arrived := time.Unix(1000, 0).Add(r.arrived)
	action, shed := m.targets[r.target].Submit(admission.Request{
		ID: r.id, Deadline: arrived.Add(m.after(deadlineWork)), SoftDeadline: arrived.Add(m.after(objectiveWork)),
		Bounded: offer.Bounded, MaxWait: offer.MaxWait, Draw: m.random.Float64(),
	}, m.wall())
	m.apply(shed)
	switch action.Verdict {
	case admission.Run:
		r.endpoint.Begin()
		m.start(r)
	case admission.Wait:
		r.endpoint.Begin()
		m.waiting[r.id] = r
	default:
		m.observe(r.endpoint, r.entry, m.report(r.target))
		return false
	}
	return true
}

// apply carries out the actions on queued requests. A request that is shed is offered further.
func (m *evenModel) apply(actions []admission.Action) {
	for _, action := range actions {
		r := m.waiting[action.ID]
		delete(m.waiting, action.ID)
		if action.Verdict == admission.Run {
			m.start(r)
			continue
		}
		r.endpoint.End()
		m.observe(r.endpoint, r.entry, m.report(r.target))
		m.place(r)
	}
}

func (m *evenModel) start(r evenEvent) {
	r.kind, r.started = requestEnds, m.now
	if r.target < m.load.failing {
		r.at = m.now + m.after(0.01)
	} else {
		r.at = m.now + m.serviceTime(r.target, (0.5+0.5*m.random.ExpFloat64())*float64(m.load.work))
	}
	heap.Push(&m.events, r)
}

func (m *evenModel) report(target int) evenEvent {
	t := m.targets[target]
	load := t.Load(m.wall())
	return evenEvent{service: t.ServiceTime(""), report: balance.LoadReport{
		Outstanding: load.Outstanding, Queued: load.Queued, Slots: load.Slots, Wait: t.Wait(m.wall()), FailureRate: t.FailureRate(m.wall()),
	}}
}

func (m *evenModel) observe(endpoint *balance.Endpoint, entry int, r evenEvent) {
	if r.service > 0 {
		r.report.ServiceTime = m.typical[entry].Add(balance.Class{}, r.service)
		endpoint.ObserveServiceTime(r.service, r.report.ServiceTime, m.clock())
	}
	endpoint.Observe(r.report, m.clock())
}

func (m *evenModel) end(r evenEvent) {
	r.endpoint.End()
	target := m.targets[r.target]
	failed := r.target < m.load.failing
	if failed {
		m.groups[r.entry].RecordFailure(r.endpoint, m.clock())
	} else {
		m.groups[r.entry].RecordSuccess(r.endpoint)
	}
	if failed || m.now-r.arrived > m.after(objectiveWork) {
		m.late++
	}
	target.RecordResult(failed, m.wall())
	m.apply(target.Complete("", m.now-r.started, m.wall()))
	report := m.report(r.target)
	report.kind, report.at, report.entry, report.endpoint = reportArrives, m.now+m.after(m.load.reportAge), r.entry, r.endpoint
	heap.Push(&m.events, report)
}

// sample records the largest over the mean number of requests at a target.
func (m *evenModel) sample() {
	largest, sum := 0, 0
	for _, target := range m.targets {
		load := target.Load(m.wall())
		largest, sum = max(largest, load.Outstanding+load.Queued), sum+load.Outstanding+load.Queued
	}
	if sum > 0 {
		m.peaks += float64(largest) * evenTargets / float64(sum)
		m.samples++
	}
}

// evenOffers returns the next offer of one request, without an endpoint if it is to be refused.
type evenOffers func() balance.Offer

// evenPolicy returns the offers of a request that arrives.
type evenPolicy func(m *evenModel, r evenEvent) evenOffers

// place offers a request until a target takes it.
func (m *evenModel) place(r evenEvent) {
	for {
		offer := r.offers()
		if offer.Endpoint == nil {
			m.refused++
			return
		}
		if m.submit(r, offer) {
			return
		}
	}
}

func (m *evenModel) run(policy evenPolicy) evenResult {
	mean := m.load.utilization * m.capacity()
	total := float64(m.load.requests) / mean
	arrived := 0.0
	for id := range m.load.requests {
		rate := mean * (1 + demandSwing*math.Sin(2*math.Pi*demandPeriods*arrived/total))
		arrived += m.random.ExpFloat64() / rate
		at := time.Duration(arrived * float64(time.Second))
		heap.Push(&m.events, evenEvent{at: at, arrived: at, id: uint64(id), entry: m.random.IntN(m.load.entries)})
	}
	for at := time.Duration(0); at < time.Duration(arrived*float64(time.Second)); at += m.load.work / 4 {
		heap.Push(&m.events, evenEvent{at: at, kind: sampleDue})
	}
	for len(m.events) > 0 {
		event := heap.Pop(&m.events).(evenEvent)
		m.now = event.at
		switch event.kind {
		case requestArrives:
			event.offers = policy(m, event)
			m.place(event)
		case requestEnds:
			m.end(event)
		case reportArrives:
			m.observe(event.endpoint, event.entry, event)
		case sampleDue:
			m.sample()
		}
	}
	requests := float64(m.load.requests)
	return evenResult{
		late: float64(m.late+m.refused) / requests, refused: float64(m.refused) / requests,
		peak: m.peaks / float64(max(m.samples, 1)), messages: float64(m.messages) / requests,
	}
}
