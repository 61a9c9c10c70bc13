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

// The model: hosts of which one is slow, entries that each keep some requests
// outstanding, and requests of exponentially distributed work.
const (
	modelHosts   = 6
	modelSlots   = 12
	modelEntries = 20
	meanWork     = 10.0 // ms of one slot
	slowSpeed    = 0.5
	retryPause   = 5.0 // ms until a refused request is sent again
	modelAnswers = 30000
	modelSeed    = 7
)

// pickPolicy chooses a host for an entry.
type pickPolicy func(m *model, entry int) *balance.Endpoint

func pickRandom(m *model, entry int) *balance.Endpoint {
	endpoints := m.groups[entry].Endpoints()
	return endpoints[balance.IntN(m.random, len(endpoints))]
}

func pickOfTwo(m *model, entry int) *balance.Endpoint {
	return m.groups[entry].Pick(m.random, m.clock(), nil)
}

type job struct {
	id        uint64
	entry     int
	sent      float64 // ms
	remaining float64 // ms of one slot
	due       float64 // ms; when it is sent again, while it waits for that
	endpoint  *balance.Endpoint
}

// modelHost runs jobs side by side; beyond its slots they share them.
type modelHost struct {
	speed   float64
	running []*job
	queued  map[uint64]*job
	target  *admission.Target // nil if everything is forwarded at once
}

func (h *modelHost) rate() float64 {
	return h.speed * min(1, modelSlots/float64(max(len(h.running), 1)))
}

type model struct {
	random  *rand.PCG
	hosts   map[string]*modelHost
	groups  []*balance.Group
	pick    pickPolicy
	report  bool
	now     float64 // ms
	pausing []*job
	times   []float64
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
		j.due = m.now + retryPause
		m.pausing = append(m.pausing, j)
	}
}

// observe ends the job's stay at a host and reports the host's load.
func (m *model) observe(host *modelHost, j *job) {
	j.endpoint.End()
	if m.report {
		load := balance.LoadReport{Outstanding: len(host.running), Queued: len(host.queued), Slots: modelSlots}
		j.endpoint.Observe(load, m.clock())
	}
}

// step advances to the next end of a job or of a pause.
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
	for k, j := range m.pausing {
		if j.due < next {
			next, host, index = j.due, nil, k
		}
	}
	for _, h := range m.hosts {
		done := (next - m.now) * h.rate()
		for _, j := range h.running {
			j.remaining -= done
		}
	}
	m.now = next
	if host == nil {
		j := m.pausing[index]
		m.pausing = slices.Delete(m.pausing, index, index+1)
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

// BenchmarkPolicies compares ways of choosing a host and of admitting, in
// virtual time: the metrics are those of the model, not of this machine.
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
					for len(m.times) < modelAnswers {
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
