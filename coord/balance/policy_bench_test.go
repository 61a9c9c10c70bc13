package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sassafrasnotch.example/coord/admission"
	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
)

// The model is a closed system: hosts of which one is slow, entries that each keep a constant
// number of requests outstanding, and exponentially distributed work per request.
const (
	modelHosts     = 6
	modelSlots     = 12
	modelEntries   = 20
	meanWork       = 10.0 // ms of one slot
	slowSpeed      = 0.5  // of the slow host; 1 for the others
	retryDelay     = 5.0  // ms until a refused request is sent again
	modelResponses = 30000
	modelSeed      = 7
)

// pickPolicy picks a host for an entry.
type pickPolicy func(m *model, entry int) *balance.Endpoint

func pickRandom(m *model, entry int) *balance.Endpoint {
	endpoints := m.groups[entry].Endpoints()
	return endpoints[balance.IntN(m.random, len(endpoints))]
}

func pickOfTwo(m *model, entry int) *balance.Endpoint {
	return m.groups[entry].Pick(m.random, m.clock(), nil)
}

// job is a request in the model.
type job struct {
	id        uint64
	entry     int
	sent      float64 // ms
	remaining float64 // ms of one slot
	retryAt   float64 // ms; while it waits for a retry
	endpoint  *balance.Endpoint
}

// modelHost runs jobs in parallel; more jobs than slots share the slots evenly.
type modelHost struct {
	speed   float64
	running []*job
	queued  map[uint64]*job
	target  *admission.Target // nil if everything is forwarded at once
}

// rate returns the progress of each running job, in ms of one slot per ms.
func (h *modelHost) rate() float64 {
	return h.speed * min(1, modelSlots/float64(max(len(h.running), 1)))
}

// model is the state of the simulation; its clock is virtual.
type model struct {
	random  *rand.PCG
	hosts   map[string]*modelHost
	groups  []*balance.Group
	pick    pickPolicy
	report  bool
	now     float64   // ms
	delayed []*job    // that wait for a retry
	times   []float64 // response times, ms
	refused int
	lastID  uint64
}

func newModel(pick pickPolicy, report, bounded bool) *model {
	m := &model{random: rand.NewPCG(modelSeed, 1), hosts: map[string]*modelHost{}, pick: pick, report: report}
	var members []gossip.Member
	for i := range modelHosts {
		name := fmt.Sprint("h", i)
		host := &modelHost{speed: 1, queued: map[uint64]*job{}}
		if i == 0 {
			host.speed = slowSpeed
		}
		if bounded {
			host.target = admission.NewTarget(admission.Config{Slots: modelSlots, QueueLength: 16}, m.wall())
		}
		m.hosts[name] = host
		target := gossip.Target{Service: "s", Version: "v", Slots: modelSlots}
		members = append(members, gossip.Member{Record: gossip.Record{Host: name, Zone: "a", Targets: []gossip.Target{target}}})
	}
	for range modelEntries {
		index := balance.NewIndex(balance.Locality{Zone: "a"}, members, nil)
		m.groups = append(m.groups, index.Group("s", "v"))
	}
	return m
}

func (m *model) clock() time.Duration { return time.Duration((m.now + 1) * float64(time.Millisecond)) }

func (m *model) wall() time.Time { return time.Unix(1000, 0).Add(m.clock()) }

func (m *model) start(entry int) {
	m.lastID++
	work := rand.New(m.random).ExpFloat64() * meanWork
	m.send(&job{id: m.lastID, entry: entry, sent: m.now, remaining: work})
}

func (m *model) send(j *job) {
	j.endpoint = m.pick(m, j.entry)
	j.endpoint.Begin()
	host := m.hosts[j.endpoint.Host]
	if host.target == nil {
		host.running = append(host.running, j)
		return
	}
	request := admission.Request{ID: j.id, Deadline: m.wall().Add(10 * time.Second)}
	action, _ := host.target.Submit(request, m.wall())
	switch action.Verdict {
	case admission.Run:
		host.running = append(host.running, j)
	case admission.Wait:
		host.queued[j.id] = j
	default:
		m.refused++
		m.observe(host, j)
		j.retryAt = m.now + retryDelay
		m.delayed = append(m.delayed, j)
	}
}

// observe ends the job's time at a host and reports the host's load.
func (m *model) observe(host *modelHost, j *job) {
	j.endpoint.End()
	if m.report {
		load := balance.LoadReport{Outstanding: len(host.running), Queued: len(host.queued), Slots: modelSlots}
		j.endpoint.Observe(load, m.clock())
	}
}

// step advances to the next completion of a job or the next retry.
func (m *model) step() {
	next, host, index := 1e18, (*modelHost)(nil), -1
	for i := range modelHosts {
		candidate := m.hosts[fmt.Sprint("h", i)]
		for k, j := range candidate.running {
			if at := m.now + j.remaining/candidate.rate(); at < next {
				next, host, index = at, candidate, k
			}
		}
	}
	for k, j := range m.delayed {
		if j.retryAt < next {
			next, host, index = j.retryAt, nil, k
		}
	}
	for _, h := range m.hosts {
		progress := (next - m.now) * h.rate()
		for _, j := range h.running {
			j.remaining -= progress
		}
	}
	m.now = next
	if host == nil {
		j := m.delayed[index]
		m.delayed = slices.Delete(m.delayed, index, index+1)
		m.send(j)
		return
	}
	m.finish(host, index)
}

func (m *model) finish(host *modelHost, index int) {
	j := host.running[index]
	host.running = slices.Delete(host.running, index, index+1)
	m.observe(host, j)
	m.times = append(m.times, m.now-j.sent)
	if host.target != nil {
		for _, action := range host.target.Complete("", time.Duration(meanWork/host.speed)*time.Millisecond, m.wall()) {
			host.running = append(host.running, host.queued[action.ID])
			delete(host.queued, action.ID)
		}
	}
	m.start(j.entry)
}

// BenchmarkPolicies compares policies of choosing a host and of admission in virtual time: the
// metrics are those of the model, not of the machine that runs it.
func BenchmarkPolicies(b *testing.B) {
	policies := []struct {
		name    string
		pick    pickPolicy
		report  bool
		bounded bool
	}{
		{"random/unbounded", pickRandom, false, false},
		{"random/bounded", pickRandom, false, true},
		{"two-own/unbounded", pickOfTwo, false, false},
		{"two-own/bounded", pickOfTwo, false, true},
		{"two-reported/unbounded", pickOfTwo, true, false},
		{"two-reported/bounded", pickOfTwo, true, true},
	}
	for _, outstanding := range []int{40, 100, 160} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("%d/%s", outstanding, policy.name), func(b *testing.B) {
				for b.Loop() {
					m := newModel(policy.pick, policy.report, policy.bounded)
					for i := range outstanding {
						m.start(i % modelEntries)
					}
					for len(m.times) < modelResponses {
						m.step()
					}
					slices.Sort(m.times)
					b.ReportMetric(m.times[len(m.times)/2], "p50-ms")
					b.ReportMetric(m.times[len(m.times)*99/100], "p99-ms")
					b.ReportMetric(m.times[len(m.times)-1], "max-ms")
					b.ReportMetric(float64(len(m.times))/m.now, "answers/ms")
					b.ReportMetric(float64(m.refused)/float64(len(m.times)), "refusals/answer")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}
