package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/admission"
	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
)

// zoneLoad is one service in one availability zone of a fleet of hundreds of hosts: many entries
// that each send few requests to each of its hosts.
type zoneLoad struct {
	entries, hosts, slots int
	work                  time.Duration // mean of one request
	utilization           float64
	requests              int
	objective             time.Duration
	// speeds are those of the hosts in turn, 1 if empty. reportSpeeds makes hosts report their
	// service times.
	speeds       []float64
	reportSpeeds bool
	// constantWork is the part of the work, from 0 to 1, that is the same for all requests.
	constantWork float64
}

var hundredsOfHosts = zoneLoad{entries: 39, hosts: 20, slots: 11, work: 900 * time.Millisecond, utilization: 0.85, requests: 40000, objective: 2500 * time.Millisecond}

// zoneEvent is the arrival of a request at an entry, or the end of one at a host.
type zoneEvent struct {
	at       time.Duration
	id       uint64
	entry    int
	host     string // of an end
	endpoint *balance.Endpoint
	duration time.Duration
}

type zoneEvents []zoneEvent

func (e zoneEvents) Len() int           { return len(e) }
func (e zoneEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e zoneEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *zoneEvents) Push(x any)        { *e = append(*e, x.(zoneEvent)) }
func (e *zoneEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// zoneModel plays a zoneLoad in virtual time with one admission.Target for each host.
type zoneModel struct {
	load    zoneLoad
	random  *rand.Rand
	groups  []*balance.Group
	targets map[string]*admission.Target
	speeds  map[string]float64
	typical []*balance.ServiceTimes // by entry
	events  zoneEvents
	waiting map[uint64]zoneEvent
	now     time.Duration

	served, waited, refused, messages int
	late                              int           // completed after the objective
	wait                              time.Duration // sum over all requests
}

// placePolicy sends a request of an entry to hosts until one takes it.
type placePolicy func(m *zoneModel, arrival zoneEvent) (taken bool)

// placeDraw returns the policy that sends to one endpoint.
func placeDraw(draw func(m *zoneModel, group *balance.Group) *balance.Endpoint) placePolicy {
	return func(m *zoneModel, arrival zoneEvent) bool {
		return m.submit(arrival, balance.Offer{Endpoint: draw(m, m.groups[arrival.entry])})
	}
}

func drawRandom(m *zoneModel, group *balance.Group) *balance.Endpoint {
	endpoints := group.Endpoints()
	return endpoints[m.random.IntN(len(endpoints))]
}

func drawTwo(m *zoneModel, group *balance.Group) *balance.Endpoint {
	return group.Pick(m.random, m.clock(), nil)
}

// drawIdeal knows the load of every host.
func drawIdeal(m *zoneModel, group *balance.Group) *balance.Endpoint {
	var best *balance.Endpoint
	lowest := 0
	for _, endpoint := range group.Endpoints() {
		load := m.targets[endpoint.Host].Load(m.wall())
		if busy := load.Outstanding + load.Queued; best == nil || busy < lowest {
			best, lowest = endpoint, busy
		}
	}
	return best
}

func placeSearch(m *zoneModel, arrival zoneEvent) bool {
	search := balance.NewSearch(m.groups[arrival.entry], m.load.objective)
	for {
		offer := search.Next(m.random, m.clock(), nil)
		if offer.Endpoint == nil {
			return false
		}
		if m.submit(arrival, offer) {
			return true
		}
	}
}

func (m *zoneModel) clock() time.Duration { return m.now + 1 }

func (m *zoneModel) wall() time.Time { return time.Unix(1000, 0).Add(m.now) }

func newZoneModel(load zoneLoad, seed uint64) *zoneModel {
	m := &zoneModel{load: load, random: rand.New(rand.NewPCG(seed, 1)), targets: map[string]*admission.Target{}, speeds: map[string]float64{}, waiting: map[uint64]zoneEvent{}}
	var members []gossip.Member
	for i := range load.hosts {
		name := fmt.Sprint("h", i)
		m.targets[name] = admission.NewTarget(admission.Config{Slots: load.slots, QueueLength: 64}, m.wall())
		m.speeds[name] = 1
		if len(load.speeds) > 0 {
			m.speeds[name] = load.speeds[i%len(load.speeds)]
		}
		target := gossip.Target{Service: "s", Version: "v", Slots: load.slots}
		members = append(members, gossip.Member{Record: gossip.Record{Host: name, Zone: "a", Targets: []gossip.Target{target}}})
	}
	for range load.entries {
		m.groups = append(m.groups, balance.NewIndex(balance.Locality{Zone: "a"}, members, nil).Group("s", "v"))
		m.typical = append(m.typical, &balance.ServiceTimes{})
	}
	return m
}

// submit sends the request to the endpoint of an offer and reports whether it was taken.
func (m *zoneModel) submit(arrival zoneEvent, offer balance.Offer) bool {
	m.messages++
	endpoint := offer.Endpoint
	target := m.targets[endpoint.Host]
	action, _ := target.Submit(admission.Request{
		ID: arrival.id, Deadline: m.wall().Add(time.Minute), Bounded: offer.Bounded, MaxWait: offer.MaxWait,
	}, m.wall())
	arrival.host, arrival.endpoint = endpoint.Host, endpoint
	switch action.Verdict {
	case admission.Run:
		endpoint.Begin()
		m.start(arrival)
	case admission.Wait:
		endpoint.Begin()
		m.waiting[arrival.id] = arrival
	default:
		m.observe(arrival)
		return false
	}
	return true
}

// start runs a request; its at is still the time of its arrival.
func (m *zoneModel) start(request zoneEvent) {
	m.served++
	m.wait += m.now - request.at
	if m.now > request.at {
		m.waited++
	}
	work := (m.load.constantWork + (1-m.load.constantWork)*m.random.ExpFloat64()) * float64(m.load.work)
	request.duration = time.Duration(work / m.speeds[request.host])
	if m.now+request.duration-request.at > m.load.objective {
		m.late++
	}
	request.at = m.now + request.duration
	heap.Push(&m.events, request)
}

// observe reports the load of the request's host to its entry.
func (m *zoneModel) observe(request zoneEvent) {
	endpoint, target := request.endpoint, m.targets[request.host]
	load := target.Load(m.wall())
	report := balance.LoadReport{Outstanding: load.Outstanding, Queued: load.Queued, Slots: load.Slots, Wait: target.Wait(m.wall())}
	if reported := target.ServiceTime(""); reported > 0 {
		report.ServiceTime = m.typical[request.entry].Add(balance.Class{}, reported)
		if m.load.reportSpeeds {
			endpoint.ObserveServiceTime(reported, report.ServiceTime, m.clock())
		}
	}
	endpoint.Observe(report, m.clock())
}

func (m *zoneModel) run(place placePolicy) {
	rate := m.load.utilization * float64(m.load.hosts*m.load.slots) / m.load.work.Seconds()
	arrived := time.Duration(0)
	for id := range m.load.requests {
		arrived += time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
		heap.Push(&m.events, zoneEvent{at: arrived, id: uint64(id), entry: m.random.IntN(m.load.entries)})
	}
	for len(m.events) > 0 {
		event := heap.Pop(&m.events).(zoneEvent)
		m.now = event.at
		if event.endpoint == nil {
			if !place(m, event) {
				m.refused++
			}
			continue
		}
		event.endpoint.End()
		actions := m.targets[event.host].Complete("", event.duration, m.wall())
		m.observe(event)
		for _, action := range actions {
			m.start(m.waiting[action.ID])
			delete(m.waiting, action.ID)
		}
	}
}

// TestSearchFindsFreeSlots plays a zone of a large fleet at 0.85 of its capacity. With two hosts
// whose load is known, 9 of 100 requests would wait, 9 ms on average; a search must do as well.
func TestSearchFindsFreeSlots(t *testing.T) {
	const maxWaiting, maxMeanWait = 0.09, 9 * time.Millisecond
	policies := []struct {
		name  string
		place placePolicy
	}{
		{"random", placeDraw(drawRandom)},
		{"two choices by own reports", placeDraw(drawTwo)},
		{"search", placeSearch},
		{"all loads known", placeDraw(drawIdeal)},
	}
	waiting, wait := map[string]float64{}, map[string]time.Duration{}
	for _, policy := range policies {
		m := newZoneModel(hundredsOfHosts, 1)
		m.run(policy.place)
		waiting[policy.name] = float64(m.waited) / float64(m.served)
		wait[policy.name] = m.wait / time.Duration(m.served)
		t.Logf("%-27s waiting %.3f, mean wait %v, refused %d, messages a request %.2f",
			policy.name, waiting[policy.name], wait[policy.name].Round(100*time.Microsecond), m.refused, float64(m.messages)/float64(m.load.requests))
	}
	is := is.New(t)
	is.True(waiting["search"] <= maxWaiting)
	is.True(wait["search"] <= maxMeanWait)
	is.True(waiting["two choices by own reports"] > maxWaiting) // the load tells the policies apart
}

// TestSearchAsksFartherHostsOnlyWithoutRoomNear plays the offers of single requests.
func TestSearchAsksFartherHostsOnlyWithoutRoomNear(t *testing.T) {
	is := is.New(t)
	var members []gossip.Member
	for _, host := range []string{"near1", "near2", "far1", "far2", "far3"} {
		target := gossip.Target{Service: "s", Version: "v", Slots: 2}
		members = append(members, gossip.Member{Record: gossip.Record{Host: host, Zone: host[:len(host)-1], Targets: []gossip.Target{target}}})
	}
	group := balance.NewIndex(balance.Locality{Zone: "near"}, members, nil).Group("s", "v")
	random := rand.New(rand.NewPCG(1, 1))
	search := balance.NewSearch(group, time.Second)
	var zones []string
	var waits []time.Duration
	for {
		offer := search.Next(random, time.Second, nil)
		if offer.Endpoint == nil {
			break
		}
		wait := time.Duration(20+len(zones)) * time.Millisecond
		offer.Endpoint.Observe(balance.LoadReport{Outstanding: 2, Queued: 1, Slots: 2, Wait: wait}, time.Second)
		zones = append(zones, offer.Endpoint.Zone)
		if !offer.Bounded {
			waits = append(waits, offer.MaxWait)
		}
	}
	// Two free slots and a short wait near, two free slots farther away, two places in a queue.
	is.Equal(zones, []string{"near", "near", "near", "far", "far", "near", "near"})
	is.Equal(len(waits), 2)
}

func TestSearchPassesOverAHostAtTheRateThatItsTargetNames(t *testing.T) {
	is := is.New(t)
	target := gossip.Target{Service: "s", Version: "v", Slots: 12}
	members := []gossip.Member{
		{Record: gossip.Record{Host: "rated", Zone: "a", Targets: []gossip.Target{target}}},
		{Record: gossip.Record{Host: "free", Zone: "a", Targets: []gossip.Target{target}}},
	}
	group := balance.NewIndex(balance.Locality{Zone: "a"}, members, nil).Group("s", "v")
	random := rand.New(rand.NewPCG(1, 1))
	for _, endpoint := range group.Endpoints() {
		report := balance.LoadReport{Outstanding: 7, Slots: 12}
		if endpoint.Host == "rated" {
			report = balance.LoadReport{Outstanding: 2, Slots: 2, Wait: 100 * time.Millisecond}
		}
		endpoint.Observe(report, time.Second)
	}
	for range 20 {
		is.Equal(balance.NewSearch(group, time.Second).Next(random, time.Second, nil).Endpoint.Host, "free")
	}
}

func TestSearchUsesEjectedHostsOnlyWithoutOthers(t *testing.T) {
	is := is.New(t)
	target := gossip.Target{Service: "s", Version: "v", Slots: 2}
	members := []gossip.Member{
		{Record: gossip.Record{Host: "ill", Zone: "a", Targets: []gossip.Target{target}}},
		{Record: gossip.Record{Host: "well", Zone: "a", Targets: []gossip.Target{target}}},
	}
	group := balance.NewIndex(balance.Locality{Zone: "a"}, members, nil).Group("s", "v")
	random := rand.New(rand.NewPCG(1, 1))
	for _, endpoint := range group.Endpoints() {
		if endpoint.Host == "ill" {
			for range 5 {
				group.RecordFailure(endpoint, time.Second)
			}
		}
	}
	for range 20 {
		is.Equal(balance.NewSearch(group, 0).Next(random, time.Second, nil).Endpoint.Host, "well")
	}
	is.Equal(balance.NewSearch(group, 0).Next(random, time.Second, []string{"well"}).Endpoint.Host, "ill")
	is.True(balance.NewSearch(group, 0).Next(random, time.Second, []string{"well", "ill"}).Endpoint == nil)
}

// A host that fails its requests at once is idle. It must not draw more of them for that.
func TestFailingHostIsNotTakenForAnIdleOne(t *testing.T) {
	is := is.New(t)
	var members []gossip.Member
	for _, host := range []string{"failing", "busy"} {
		target := gossip.Target{Service: "s", Version: "v", Slots: 10}
		members = append(members, gossip.Member{Record: gossip.Record{Host: host, Zone: "a", Targets: []gossip.Target{target}}})
	}
	group := balance.NewIndex(balance.Locality{Zone: "a"}, members, nil).Group("s", "v")
	for _, endpoint := range group.Endpoints() {
		report := balance.LoadReport{Outstanding: 8, Slots: 10}
		if endpoint.Host == "failing" {
			report = balance.LoadReport{FailureRate: 0.5, Slots: 10}
		}
		endpoint.Observe(report, time.Second)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		is.Equal(balance.NewSearch(group, 0).Next(random, time.Second, nil).Endpoint.Host, "busy")
	}
}

// A host that fell silent is ejected at once, and gets one trial request at a time until it
// responds.
func TestSilentHostGetsOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	var members []gossip.Member
	for _, host := range []string{"silent", "well"} {
		target := gossip.Target{Service: "s", Version: "v", Slots: 10}
		members = append(members, gossip.Member{Record: gossip.Record{Host: host, Zone: "a", Targets: []gossip.Target{target}}})
	}
	group := balance.NewIndex(balance.Locality{Zone: "a"}, members, nil).Group("s", "v")
	random := rand.New(rand.NewPCG(1, 1))
	picks := func(now time.Duration) (silent *balance.Endpoint, count int) {
		for range 50 {
			if endpoint := balance.NewSearch(group, 0).Next(random, now, nil).Endpoint; endpoint.Host == "silent" {
				silent, count = endpoint, count+1
			}
		}
		return silent, count
	}
	endpoint, count := picks(time.Second)
	is.True(count > 5)
	group.RecordSilence(endpoint, time.Second)
	_, count = picks(1500 * time.Millisecond)
	is.Equal(count, 0)
	_, count = picks(2100 * time.Millisecond)
	is.Equal(count, 1)
	group.RecordSilence(endpoint, 2200*time.Millisecond)
	_, count = picks(4 * time.Second) // the second ejection lasts twice as long
	is.Equal(count, 0)
	_, count = picks(4300 * time.Millisecond)
	is.Equal(count, 1)
	group.RecordSuccess(endpoint)
	_, count = picks(4400 * time.Millisecond)
	is.True(count > 5)
}

// Where all hosts fail many requests, they are still asked for a free slot: without the answers a
// request would queue by reports that have aged, and all requests at the same host.
func TestFailingHostsAreStillAsked(t *testing.T) {
	is := is.New(t)
	var members []gossip.Member
	for _, host := range []string{"a1", "a2"} {
		target := gossip.Target{Service: "s", Version: "v", Slots: 12}
		members = append(members, gossip.Member{Record: gossip.Record{Host: host, Zone: "a", Targets: []gossip.Target{target}}})
	}
	group := balance.NewIndex(balance.Locality{Zone: "a"}, members, nil).Group("s", "v")
	for _, endpoint := range group.Endpoints() {
		endpoint.Observe(balance.LoadReport{Outstanding: 2, FailureRate: 0.6, Slots: 12}, time.Second)
	}
	search := balance.NewSearch(group, 0)
	random := rand.New(rand.NewPCG(1, 1))
	is.True(search.Next(random, time.Second, nil).Bounded)
	is.True(search.Next(random, time.Second, nil).Bounded)
	is.True(!search.Next(random, time.Second, nil).Bounded)
}
