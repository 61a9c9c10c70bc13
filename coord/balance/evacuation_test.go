package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/admission"
	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
)

// The fleet has 3 zones of 20 hosts, each with an entry and a target. Zone z0 is evacuated at evacuatedAt. It
// comes back at returnedAt with targets that are cold until warmAt. Hosts and entries hear of either within
// spreadTime.
const (
	fleetZones, zoneHosts = 3, 20
	fleetSlots            = 6
	fleetWork             = 60 * time.Millisecond
	fleetObjective        = 300 * time.Millisecond
	fleetDeadline         = time.Second
	fleetColdRate         = 10.0
	coldTolerance         = 15 + 8 // requests in any second: 1.5 times the rate, and 8
	evacuatedAt           = 2 * time.Second
	spreadTime            = time.Second
	returnedAt            = 5 * time.Second
	warmAt                = 9 * time.Second
	fleetEnd              = 12 * time.Second
	fleetStep             = 5 * time.Millisecond
)

// fleetHost is a host with its target and its entry.
type fleetHost struct {
	target    *admission.Target
	zone      string
	evacuated bool
	runs      []time.Duration // when requests were sent to the target
	index     *balance.Index  // of the entry
}

// fleet plays requests of all entries in virtual time.
type fleet struct {
	random  *rand.Rand
	hosts   map[string]*fleetHost
	names   []string
	members []gossip.Member
	paced   bool // exits hold cold targets to their rate
	events  zoneEvents
	waiting map[uint64]zoneEvent
	now     time.Duration
	// served and refused count by the second of the arrival; late is the longest time until a refusal.
	served, refused [int(fleetEnd / time.Second)]int
	slowestRefusal  time.Duration
}

func newFleet(paced bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(5, 1)), hosts: map[string]*fleetHost{}, paced: paced, waiting: map[uint64]zoneEvent{}}
	for i := range fleetZones * zoneHosts {
		name, zone := fmt.Sprint("h", i), fmt.Sprint("z", i/zoneHosts)
		f.names = append(f.names, name)
		f.members = append(f.members, gossip.Member{Record: gossip.Record{Host: name, Zone: zone, Region: "r",
			Targets: []gossip.Target{{Service: "s", Version: "v", Slots: fleetSlots}}}})
		f.hosts[name] = &fleetHost{zone: zone, target: admission.NewTarget(admission.Config{Slots: fleetSlots, QueueLength: 24}, f.wall())}
	}
	for _, name := range f.names {
		f.learn(f.hosts[name], false)
	}
	return f
}

func (f *fleet) wall() time.Time      { return time.Unix(1000, 0).Add(f.now) }
func (f *fleet) clock() time.Duration { return f.now + 1 }

// learn makes the entry of a host leave the evacuated zone out, or take it in again.
func (f *fleet) learn(host *fleetHost, evacuated bool) {
	members := f.members
	if evacuated {
		members = members[zoneHosts:]
	}
	host.index = balance.NewIndex(balance.Locality{Zone: host.zone, Region: "r"}, members, host.index)
}

// play runs the fleet at a part of its capacity.
func (f *fleet) play(utilization float64) {
	rate := utilization * float64(len(f.names)*fleetSlots) / fleetWork.Seconds()
	id := uint64(0)
	for at := time.Duration(0); at < fleetEnd; at += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)) {
		id++
		heap.Push(&f.events, zoneEvent{at: at, id: id, entry: f.random.IntN(len(f.names))})
	}
	type news struct {
		at        time.Duration
		host      string
		evacuated bool
	}
	var spread []news
	for _, name := range f.names {
		delay := time.Duration(f.random.Int64N(int64(spreadTime)))
		spread = append(spread, news{evacuatedAt + delay, name, true}, news{returnedAt + delay, name, false})
	}
	slices.SortFunc(spread, func(a, b news) int { return int(a.at - b.at) })
	for ; f.now < fleetEnd+fleetDeadline; f.now += fleetStep {
		for len(spread) > 0 && spread[0].at <= f.now {
			f.evacuate(f.hosts[spread[0].host], spread[0].evacuated)
			spread = spread[1:]
		}
		for _, name := range f.names {
			host := f.hosts[name]
			if f.now >= warmAt {
				f.apply(host.target.SetCold(0, f.wall()))
			}
			f.apply(host.target.Tick(f.wall()))
		}
		for end := f.now + fleetStep; len(f.events) > 0 && f.events[0].at < end; {
			event := heap.Pop(&f.events).(zoneEvent)
			f.now = max(f.now, event.at)
			if event.endpoint != nil {
				event.endpoint.End()
				f.apply(f.hosts[event.host].target.Complete("", event.duration, f.wall()))
				f.observe(event)
			} else if !f.place(event) {
				f.refuse(event)
			}
		}
		f.now = f.now.Truncate(fleetStep)
	}
}

// evacuate puts an order, or its end, in force on a host.
func (f *fleet) evacuate(host *fleetHost, evacuated bool) {
	f.learn(host, evacuated)
	if host.zone != "z0" {
		return
	}
	host.evacuated = evacuated
	if evacuated {
		f.apply(host.target.Evacuate())
	} else if f.paced {
		f.apply(host.target.SetCold(fleetColdRate, f.wall()))
	}
}

func (f *fleet) place(arrival zoneEvent) bool {
	search := balance.NewSearch(f.hosts[f.names[arrival.entry]].index.Group("s", "v"), fleetObjective)
	for {
		offer := search.Next(f.random, f.clock(), nil)
		if offer.Endpoint == nil {
			return false
		}
		arrival.host, arrival.endpoint = offer.Endpoint.Host, offer.Endpoint
		if f.submit(arrival, offer) {
			return true
		}
	}
}

func (f *fleet) submit(arrival zoneEvent, offer balance.Offer) bool {
	host := f.hosts[arrival.host]
	if host.evacuated {
		arrival.endpoint.Avoid(f.clock())
		arrival.endpoint.Observe(balance.LoadReport{Wait: time.Minute}, f.clock())
		return false
	}
	action, shed := host.target.Submit(admission.Request{
		ID: arrival.id, Deadline: f.wall().Add(fleetDeadline), SoftDeadline: f.wall().Add(fleetObjective),
		Bounded: offer.Bounded, MaxWait: offer.MaxWait,
	}, f.wall())
	f.apply(shed)
	if action.Verdict == admission.Refuse {
		f.observe(arrival)
		return false
	}
	arrival.endpoint.Begin()
	f.waiting[arrival.id] = arrival
	if action.Verdict == admission.Run {
		f.apply([]admission.Action{action})
	}
	return true
}

func (f *fleet) apply(actions []admission.Action) {
	for _, action := range actions {
		request := f.waiting[action.ID]
		delete(f.waiting, action.ID)
		if action.Verdict != admission.Run {
			request.endpoint.End()
			if action.Reason != admission.Evacuated || !f.place(request) { // the entry goes elsewhere at no cost
				f.refuse(request)
			}
			continue
		}
		host := f.hosts[request.host]
		host.runs = append(host.runs, f.now)
		f.served[request.at/time.Second]++
		request.duration = time.Duration((0.5 + f.random.Float64()) * float64(fleetWork))
		request.at = f.now + request.duration
		heap.Push(&f.events, request)
	}
}

func (f *fleet) refuse(arrival zoneEvent) {
	f.refused[arrival.at/time.Second]++
	f.slowestRefusal = max(f.slowestRefusal, f.now-arrival.at)
}

func (f *fleet) observe(request zoneEvent) {
	target := f.hosts[request.host].target
	load := target.Load(f.wall())
	request.endpoint.Observe(balance.LoadReport{Outstanding: load.Outstanding, Queued: load.Queued, Slots: load.Slots,
		Wait: target.Wait(f.wall()), ServiceTime: target.ServiceTime("")}, f.clock())
}

// mostWhileCold returns the most requests that a target of the zone got in any second of its cold period, and
// lateRuns those that targets got once they had heard of the evacuation.
func (f *fleet) mostWhileCold() (most, lateRuns int) {
	for _, name := range f.names[:zoneHosts] {
		runs := f.hosts[name].runs
		for i, at := range runs {
			if at > evacuatedAt+spreadTime && at < returnedAt {
				lateRuns++
			}
			if at >= returnedAt && at < warmAt {
				first, _ := slices.BinarySearch(runs, at-time.Second+1)
				most = max(most, i-first+1)
			}
		}
	}
	return most, lateRuns
}

// servedShare returns the served share of the requests that arrived in a span.
func (f *fleet) servedShare(from, to time.Duration) float64 {
	served, refused := 0, 0
	for second := from / time.Second; second < to/time.Second; second++ {
		served += f.served[second]
		refused += f.refused[second]
	}
	return float64(served) / float64(served+refused)
}

// Guards against an evacuation that loses more than the room that it takes, against requests beyond that room
// which wait instead of being refused at once, and against a wave of failures when the zone comes back cold.
func TestZoneIsEvacuatedAndComesBackCold(t *testing.T) {
	for _, c := range []struct {
		utilization float64
		left        float64 // share of the requests for which the other zones have room
	}{{0.5, 1}, {0.8, 2.0 / 3 / 0.8}} {
		t.Run(fmt.Sprint(c.utilization), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(true)
			f.play(c.utilization)
			most, late := f.mostWhileCold()
			without, back := f.servedShare(evacuatedAt, returnedAt), f.servedShare(returnedAt, warmAt)
			t.Logf("served %.3f before, %.3f evacuated, %.3f cold, %.3f warm; most in a second while cold %d; slowest refusal %v",
				f.servedShare(0, evacuatedAt), without, back, f.servedShare(warmAt+spreadTime, fleetEnd), most, f.slowestRefusal)
			is.Equal(late, 0)
			is.True(most <= coldTolerance*3/4)
			is.True(without >= 0.97*c.left)
			is.True(back >= 0.97*c.left)
			is.True(f.servedShare(0, evacuatedAt) >= 0.99)
			is.True(f.servedShare(warmAt+spreadTime, fleetEnd) >= 0.99)
			is.True(f.slowestRefusal <= fleetObjective)
		})
	}
	t.Run("without a pace the targets crash", func(t *testing.T) {
		f := newFleet(false)
		f.play(0.5)
		most, _ := f.mostWhileCold()
		is.New(t).True(most > coldTolerance)
	})
}
