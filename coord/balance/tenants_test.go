package balance_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/admission"
	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
)

// tenantLoad is the load of many tenants on the targets of one service.
type tenantLoad struct {
	rates               map[string]float64 // requests per second
	entries, hosts      int
	slots, queue        int
	work                time.Duration // mean; half of it is the same for all requests
	objective, deadline time.Duration
	duration            time.Duration
	// speed returns the speed of a host at a time; nil means 1. Rates swing by the part swing of them.
	speed         func(host string, now time.Duration) float64
	swing         float64
	ignoreTenants bool
}

// tenantRequest is a request, from its arrival (host is empty) to its end.
type tenantRequest struct {
	at, arrived time.Duration
	id          uint64
	tenant      string
	entry       int
	endpoint    *balance.Endpoint
	work        time.Duration
}

type tenantRequests []tenantRequest

func (r tenantRequests) Len() int           { return len(r) }
func (r tenantRequests) Less(i, j int) bool { return r[i].at < r[j].at }
func (r tenantRequests) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *tenantRequests) Push(x any)        { *r = append(*r, x.(tenantRequest)) }
func (r *tenantRequests) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// tenantModel plays a tenantLoad in virtual time. Its entries offer requests as those of mesh/entry do.
type tenantModel struct {
	t       *testing.T
	load    tenantLoad
	random  *rand.Rand
	groups  []*balance.Group
	targets map[string]*admission.Target
	waiting map[uint64]tenantRequest
	events  tenantRequests
	now     time.Duration
	busy    time.Duration // slot time of requests that ran

	sent, served, timely map[string]int
	late                 int // served after the deadline
}

func (m *tenantModel) wall() time.Time { return time.Unix(1000, 0).Add(m.now) }

func playTenants(t *testing.T, load tenantLoad) *tenantModel {
	m := &tenantModel{
		t: t, load: load, random: rand.New(rand.NewPCG(1, 1)), targets: map[string]*admission.Target{}, waiting: map[uint64]tenantRequest{},
		sent: map[string]int{}, served: map[string]int{}, timely: map[string]int{},
	}
	var members []gossip.Member
	for i := range load.hosts {
		name := fmt.Sprint("h", i)
		m.targets[name] = admission.NewTarget(admission.Config{Slots: load.slots, QueueLength: load.queue}, m.wall())
		target := gossip.Target{Service: "s", Version: "v", Slots: load.slots}
		members = append(members, gossip.Member{Record: gossip.Record{Host: name, Zone: fmt.Sprint("z", i%3), Targets: []gossip.Target{target}}})
	}
	for i := range load.entries {
		m.groups = append(m.groups, balance.NewIndex(balance.Locality{Zone: fmt.Sprint("z", i%3)}, members, nil).Group("s", "v"))
	}
	for _, tenant := range slices.Sorted(maps.Keys(load.rates)) {
		m.arrive(tenant, 0)
	}
	for id := uint64(1); len(m.events) > 0; id++ {
		event := heap.Pop(&m.events).(tenantRequest)
		m.now = event.at
		if event.endpoint == nil {
			if event.at > load.duration {
				break
			}
			event.id, event.arrived, event.entry = id, event.at, m.random.IntN(load.entries)
			m.arrive(event.tenant, event.at)
			m.place(event)
		} else {
			m.end(event)
		}
	}
	return m
}

// arrive schedules the next arrival of a tenant.
func (m *tenantModel) arrive(tenant string, after time.Duration) {
	const period = 13 // s
	peak := 1 + m.load.swing
	at := after
	for {
		at += time.Duration(m.random.ExpFloat64() / (peak * m.load.rates[tenant]) * float64(time.Second))
		if m.load.swing == 0 || peak*m.random.Float64() < 1+m.load.swing*math.Sin(2*math.Pi*at.Seconds()/period) {
			break
		}
	}
	heap.Push(&m.events, tenantRequest{at: at, tenant: tenant})
}

func (m *tenantModel) place(r tenantRequest) {
	m.sent[r.tenant]++
	search := balance.NewSearch(m.groups[r.entry], m.load.objective)
	for {
		offer := search.Next(m.random, m.now+1, nil)
		if offer.Endpoint == nil {
			return
		}
		r.endpoint = offer.Endpoint
		target := m.targets[r.endpoint.Host]
		request := admission.Request{
			ID: r.id, Deadline: m.wall().Add(m.load.deadline), SoftDeadline: m.wall().Add(m.load.objective),
			Bounded: offer.Bounded, MaxWait: offer.MaxWait, Tenant: r.tenant,
		}
		if m.load.ignoreTenants {
			request.Tenant = ""
		}
		action, shed := target.Submit(request, m.wall())
		m.apply(shed)
		switch action.Verdict {
		case admission.Run:
			m.run(r)
		case admission.Wait:
			r.endpoint.Begin()
			m.waiting[r.id] = r
		case admission.Refuse:
			m.observe(r)
			continue
		}
		m.checkBusy(target)
		return
	}
}

// run starts a request that was not queued.
func (m *tenantModel) run(r tenantRequest) {
	r.endpoint.Begin()
	m.start(r)
}

func (m *tenantModel) start(r tenantRequest) {
	r.work = time.Duration((0.5 + 0.5*m.random.ExpFloat64()) * float64(m.load.work))
	if m.load.speed != nil {
		r.work = time.Duration(float64(r.work) / m.load.speed(r.endpoint.Host, m.now))
	}
	m.busy += r.work
	r.at = m.now + r.work
	heap.Push(&m.events, r)
}

func (m *tenantModel) end(r tenantRequest) {
	r.endpoint.End()
	switch took := r.at - r.arrived; {
	case took <= m.load.objective:
		m.timely[r.tenant]++
		fallthrough
	case took <= m.load.deadline:
		m.served[r.tenant]++
	default:
		m.late++
	}
	target := m.targets[r.endpoint.Host]
	actions := target.Complete("", r.work, m.wall())
	m.observe(r)
	m.apply(actions)
	m.checkBusy(target)
}

func (m *tenantModel) apply(actions []admission.Action) {
	for _, action := range actions {
		r := m.waiting[action.ID]
		delete(m.waiting, action.ID)
		if action.Verdict == admission.Run {
			m.start(r)
			continue
		}
		r.endpoint.End()
		m.observe(r)
	}
}

func (m *tenantModel) observe(r tenantRequest) {
	target := m.targets[r.endpoint.Host]
	load := target.Load(m.wall())
	r.endpoint.Observe(balance.LoadReport{
		Outstanding: load.Outstanding, Queued: load.Queued, Slots: load.Slots, Wait: target.Wait(m.wall()), ServiceTime: target.ServiceTime(""),
	}, m.now+1)
}

// checkBusy fails the test if a slot idles while a request waits.
func (m *tenantModel) checkBusy(target *admission.Target) {
	if load := target.Load(m.wall()); load.Queued > 0 && load.Outstanding < load.Slots {
		m.t.Fatalf("a slot idles while a request waits: %+v", load)
	}
}

// utilization is the part of the slot time in which requests ran.
func (m *tenantModel) utilization() float64 {
	return m.busy.Seconds() / (m.now.Seconds() * float64(m.load.hosts*m.load.slots))
}

// worstLoss returns the largest part of its requests that a tenant other than the one named loses against
// another play, and that of all others together. count picks what is counted.
func (m *tenantModel) worstLoss(against *tenantModel, except string, count func(*tenantModel) map[string]int) (worst, all float64) {
	sums := [2]float64{}
	for tenant := range m.load.rates {
		if tenant == except {
			continue
		}
		lost := fraction(count(against), against.sent, tenant) - fraction(count(m), m.sent, tenant)
		worst = max(worst, lost)
		sums[0] += lost * m.load.rates[tenant]
		sums[1] += m.load.rates[tenant]
	}
	return worst, sums[0] / sums[1]
}

func fraction(part, whole map[string]int, name string) float64 {
	return float64(part[name]) / float64(max(whole[name], 1))
}

func servedOf(m *tenantModel) map[string]int { return m.served }
func timelyOf(m *tenantModel) map[string]int { return m.timely }

// Guards against a tenant that sends ten times its usual requests and takes the slots of 75 others. The
// targets get 1.3 of their capacity. Each other tenant must be served within 0.05 of what it gets without
// the flood, the targets must stay as busy as with one queue for all, and what is served must be in time.
func TestFloodOfOneTenantLeavesTheOthersServed(t *testing.T) {
	const flood, bound = "t0", 0.05
	tests := []struct {
		name  string
		share float64 // of the flooding tenant in the usual demand
		skew  float64 // exponent of the others' demand
	}{
		{"the largest of skewed tenants", 0.2, 1.2},
		{"one of 75 equal others", 0.05, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			load := tenantLoad{
				entries: 20, hosts: 12, slots: 6, queue: 16, work: 150 * time.Millisecond,
				objective: 500 * time.Millisecond, deadline: time.Second, duration: 2 * time.Minute,
			}
			usual := 1.3 * float64(load.hosts*load.slots) / load.work.Seconds() / (1 - test.share + 10*test.share)
			load.rates = skewedRates(flood, 1, test.share, test.skew, usual)
			calm := playTenants(t, load)
			load.rates = skewedRates(flood, 10, test.share, test.skew, usual)
			fair := playTenants(t, load)
			load.ignoreTenants = true
			single := playTenants(t, load)
			calm.report("calm", calm, flood)
			fair.report("fair", calm, flood)
			single.report("one queue", calm, flood)

			is := is.New(t)
			worst, _ := fair.worstLoss(calm, flood, servedOf)
			is.True(worst <= bound)
			is.True(fair.utilization() >= single.utilization()-0.01)
			is.True(float64(sum(fair.timely)) >= 0.94*float64(sum(fair.served)))
			unfair, _ := single.worstLoss(calm, flood, servedOf)
			is.True(unfair > 2*bound) // the load tells the two apart
		})
	}
}

// skewedRates returns the rates of a flooding tenant and 75 others, whose usual sum is usual.
func skewedRates(flood string, factor, share, skew, usual float64) map[string]float64 {
	const others = 75
	weights := 0.0
	for i := range others {
		weights += math.Pow(float64(i+2), -skew)
	}
	rates := map[string]float64{flood: factor * share * usual}
	for i := range others {
		rates[fmt.Sprint("t", i+1)] = (1 - share) * usual * math.Pow(float64(i+2), -skew) / weights
	}
	return rates
}

func sum(counts map[string]int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

func (m *tenantModel) report(name string, calm *tenantModel, flood string) {
	worst, all := m.worstLoss(calm, flood, servedOf)
	worstTimely, allTimely := m.worstLoss(calm, flood, timelyOf)
	m.t.Logf("%s: served %d, in time %d, late for all use %d, busy %.3f; the others lose %.3f, the worst %.3f, in time %.3f, the worst %.3f; flood served %.3f",
		name, sum(m.served), sum(m.timely), m.late, m.utilization(), all, worst, allTimely, worstTimely, fraction(m.served, m.sent, flood))
}
