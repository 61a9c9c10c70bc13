package nested_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasnotch.example/coord/admission"
	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/nested"
	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/coord/revision"
)

// The model: callers ask the first service, whose runs make two nested requests each at the second
// service and fail if one is missing. Callers ask the second service too, and come back twice.

// decisions are those that are compared.
type decisions struct {
	name        string
	nestedFirst bool // in the retry budget
	inQueue     bool // nested requests run first
	throttle    bool
	returns     bool // refused callers come back by retry.Returns
}

// conditions are what the decisions have to cope with.
type conditions struct {
	load     float64 // of the second service, as a part of its capacity
	rejected float64 // part of the arrivals that targets of the second service reject
	plain    float64 // part of the requests at the first service that make no nested ones
	burst    float64 // factor on requests at the first service from 5 s to 11 s
	flash    bool    // the burst lasts for 300 ms only
	swing    float64 // of the requests at both services, with a period of 13 s
	seed     uint64
	scale    float64       // of all times; 0 means 1
	patience time.Duration // of a caller, from its first attempt; 0 means 1 s
	parents  float64       // load of the first service; 0 means 0.8
}

const (
	slots       = 6
	queueLength = 24
	objective   = 500 * time.Millisecond // after which a response is of little use
	ownWork     = 100 * time.Millisecond // of a run of the first service, before its nested requests
	comeBacks   = 2
)

type model struct {
	decisions
	conditions
	now      time.Time
	end      time.Time
	random   *rand.Rand
	arrivals *rand.Rand // of its own, so that all decisions meet the same callers
	events   events
	sequence uint64
	services [2]*service
	entries  []*entryPoint
	result   result
}

// result counts by second since the start.
type result struct {
	served, asked [64]int // callers at the first service
	servedSecond  [64]int // callers at the second service
	runTime       time.Duration
	thrownAway    time.Duration
	arrivals      [2]int
	firsts        [2]int
	callersBack   int
}

type service struct {
	targets  map[string]*target // by host
	budget   *retry.Budget
	order    []*target
	workTime time.Duration
	rejected float64
	index    int
	returns  *retry.Returns
}

type target struct {
	admission *admission.Target
	throttle  *nested.Throttle
	entry     *entryPoint // of its host
	waiting   map[uint64]func(bool)
}

// request is one request at a service, of a caller or of a run.
type request struct {
	kind     retry.Kind
	deadline time.Time
	first    bool    // not a repeat of any kind
	origin   *target // whose run makes it
	attempts int
	tried    []string
	entry    *entryPoint
	done     func(outcome outcome, retryAfter time.Duration)
}

// entryPoint is the entry of one host: what it knows about the targets of both services.
type entryPoint struct{ groups [2]*balance.Group }

type outcome int

const (
	served outcome = iota
	refused
	failed
)

func (m *model) after(delay time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{m.now.Add(delay), m.sequence, run})
}

func newModel(d decisions, c conditions, seconds int) *model {
	start := time.Unix(1000, 0)
	m := &model{decisions: d, conditions: c, now: start, end: start.Add(time.Duration(seconds) * time.Second), random: rand.New(rand.NewPCG(c.seed, 2)), arrivals: rand.New(rand.NewPCG(c.seed, 3))}
	var members [2][]gossip.Member
	for i, count := range []int{12, 10} {
		s := &service{index: i, returns: &retry.Returns{}, targets: make(map[string]*target)}
		s.budget = retry.NewBudget(retry.Limits{Shares: retry.SharesOf(0.1, 0), Reserve: 160})
		for range count {
			host := fmt.Sprintf("%d-%d", i, len(s.targets))
			config := admission.Config{Slots: slots, QueueLength: queueLength}
			s.targets[host] = &target{
				admission: admission.NewTarget(config, start), throttle: nested.NewThrottle(), waiting: make(map[uint64]func(bool)),
			}
			s.order = append(s.order, s.targets[host])
			members[i] = append(members[i], gossip.Member{Record: gossip.Record{
				Host: host, Zone: "a", Targets: []gossip.Target{{Service: "s", Version: "v", Slots: slots, State: gossip.TargetReady}},
			}})
		}
		m.services[i] = s
	}
	for _, t := range append(slices.Clone(m.services[0].order), m.services[1].order...) {
		t.entry = &entryPoint{}
		for i := range members {
			split := &revision.Split{Service: "s", Shares: []revision.Share{{Version: "v", Weight: revision.FullShare}}}
			index := balance.NewIndex(balance.Locality{Zone: "a"}, members[i], nil)
			t.entry.groups[i] = balance.NewPlan(balance.PlanInput{Split: split, Index: index}).Choose(m.random).Group
		}
		m.entries = append(m.entries, t.entry)
	}
	return m
}

// run lets callers arrive until the end.
func (m *model) run() *result {
	if m.patience == 0 {
		m.patience = time.Second
	}
	if m.scale == 0 {
		m.scale = 1
	}
	m.patience = m.scaled(m.patience)
	first := m.parents
	if first == 0 {
		first = 0.8
	}
	perSecond := first * 12 * slots / 0.14 / m.scale
	second := perSecond * 2 * (1 - m.plain) / 0.7 // a further 0.3 come from callers
	m.services[0].workTime = m.scaled(ownWork)
	m.services[1].workTime = time.Duration(m.load * 10 * slots / second * float64(time.Second))
	m.services[1].rejected = m.rejected
	m.arrive(perSecond, func() { m.caller(0) })
	m.arrive(0.3*second, func() { m.caller(1) })
	m.tick()
	for len(m.events) > 0 && m.now.Before(m.end) {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
	return &m.result
}

func (m *model) scaled(d time.Duration) time.Duration { return time.Duration(m.scale * float64(d)) }

func (m *model) tick() {
	for _, s := range m.services {
		for _, t := range s.order {
			t.apply(t.admission.Tick(m.now))
		}
	}
	m.after(5*time.Millisecond, m.tick)
}

func (t *target) apply(actions []admission.Action) {
	for _, action := range actions {
		decided := t.waiting[action.ID]
		delete(t.waiting, action.ID)
		decided(action.Verdict == admission.Run)
	}
}

// request finds a target for a request.
func (m *model) request(index int, r *request) {
	s := m.services[index]
	s.budget.Deposit(m.kindOf(r))
	if r.first {
		m.result.firsts[index]++
	}
	m.attempt(s, r)
}

// kindOf returns the kind by which the budget judges.
func (m *model) kindOf(r *request) retry.Kind {
	if m.nestedFirst {
		return r.kind
	}
	return retry.Kind{}
}

// attempt offers the request to targets as an entry does.
func (m *model) attempt(s *service, r *request) {
	m.offer(s, r, balance.NewSearch(r.entry.groups[s.index], m.scaled(objective)), 50*time.Millisecond)
}

// offer makes the next offer of a search. The wait is that of the last refusal.
func (m *model) offer(s *service, r *request, search *balance.Search, wait time.Duration) {
	offer := search.Next(m.random, m.sinceStart(), r.tried)
	if offer.Endpoint == nil || !m.now.Before(r.deadline) {
		m.refuse(s, r, wait)
		return
	}
	t := s.targets[offer.Endpoint.Host]
	if m.refusedBeforeRun(t, r) {
		m.refuse(s, r, t.admission.RetryAfter(m.now))
		return
	}
	offer.Endpoint.Begin()
	m.sequence++
	submitted := admission.Request{
		ID: m.sequence, Deadline: r.deadline, SoftDeadline: r.deadline.Add(m.scaled(objective) - m.patience), Class: class(r),
		Bounded: offer.Bounded, MaxWait: offer.MaxWait, Draw: m.random.Float64(),
	}
	if m.inQueue && r.kind.Nested {
		submitted.Priority = 1
	}
	t.waiting[submitted.ID] = func(runs bool) {
		if runs {
			m.runAt(s, t, r, offer.Endpoint)
			return
		}
		m.observe(t, r, offer.Endpoint)
		m.offer(s, r, search, t.admission.RetryAfter(m.now))
	}
	action, shed := t.admission.Submit(submitted, m.now)
	t.apply(shed)
	if action.Verdict != admission.Wait {
		t.apply([]admission.Action{action})
	}
}

func (m *model) sinceStart() time.Duration { return m.now.Sub(time.Unix(1000, 0)) + 1 }

// observe ends an offer with the load that the target reports.
func (m *model) observe(t *target, r *request, endpoint *balance.Endpoint) {
	load := t.admission.Load(m.now)
	endpoint.Observe(balance.LoadReport{
		Outstanding: load.Outstanding, Queued: load.Queued, Slots: load.Slots, Wait: t.admission.Wait(m.now),
		FailureRate: t.admission.FailureRate(m.now), ServiceTime: t.admission.ServiceTime(class(r)),
	}, m.sinceStart())
	endpoint.End()
}

func class(r *request) string {
	if r.kind.CallsPerRun > 0 {
		return "parent"
	}
	return "plain"
}

// refusedBeforeRun is the decision of the exit: it refuses runs that would mostly fail while slots are
// short here or the other service refuses for lack of room.
func (m *model) refusedBeforeRun(t *target, r *request) bool {
	if !m.throttle || r.kind.CallsPerRun == 0 {
		return false
	}
	refused, _ := t.throttle.Refuse("parent", m.random.Float64(), m.now)
	return refused
}

func (m *model) refuse(s *service, r *request, wait time.Duration) {
	if r.origin != nil {
		r.origin.throttle.RecordNested(true, m.now)
	}
	m.tellRefused(s, r, wait)
}

// tellRefused ends a refused request with the time after which its caller is to come back.
func (m *model) tellRefused(s *service, r *request, wait time.Duration) {
	s.returns.Record(true, m.now)
	wait = max(wait, 50*time.Millisecond)
	if m.returns {
		wait = s.returns.After(wait, r.deadline.Sub(m.now), m.random.Float64(), m.now)
	}
	r.done(refused, wait)
}

// runAt runs an attempt on a slot.
func (m *model) runAt(s *service, t *target, r *request, endpoint *balance.Endpoint) {
	m.result.arrivals[s.index]++
	r.attempts++
	r.tried = append(r.tried, endpoint.Host)
	begun := m.now
	end := func(o outcome) {
		t.apply(t.admission.Complete(class(r), m.now.Sub(begun), m.now))
		t.admission.RecordResult(o != served, m.now)
		switch group := r.entry.groups[s.index]; {
		case o == served:
			group.RecordSuccess(endpoint)
		case o == failed:
			group.RecordFailure(endpoint, m.sinceStart())
		}
		m.observe(t, r, endpoint)
		m.finish(s, t, r, o, m.now.Sub(begun))
	}
	if m.random.Float64() < s.rejected {
		m.after(2*time.Millisecond, func() { end(refused) })
		return
	}
	work := time.Duration((0.5 + m.random.Float64()) * float64(s.workTime))
	m.after(work, func() {
		if r.kind.CallsPerRun == 0 {
			end(served)
			return
		}
		m.callNested(t, r, end)
	})
}

// callNested makes the nested requests of a run, which ends with the last response.
func (m *model) callNested(t *target, r *request, end func(outcome)) {
	const calls = 2
	missing, good := calls, true
	for range calls {
		m.request(1, &request{kind: retry.Kind{Nested: true}, entry: t.entry, deadline: r.deadline, first: r.first && r.attempts == 1, origin: t, done: func(o outcome, _ time.Duration) {
			if o != refused {
				t.throttle.RecordNested(false, m.now)
			}
			good = good && o == served
			if missing--; missing > 0 {
				return
			}
			if good {
				end(served)
			} else {
				end(failed)
			}
		}})
	}
}

// finish counts an attempt and retries it as the budget allows.
func (m *model) finish(s *service, t *target, r *request, o outcome, ran time.Duration) {
	late := m.now.After(r.deadline)
	if s.index == 0 {
		m.result.runTime += ran
		if o != served || late {
			m.result.thrownAway += ran
		}
	}
	if r.kind.CallsPerRun > 0 {
		t.throttle.End("parent", o == served && !late, m.now)
	}
	if o == served {
		if late {
			o = failed
		}
		s.returns.Record(false, m.now)
		r.done(o, 0)
		return
	}
	history := retry.History{
		Outcome: retry.Refused, Repeat: revision.RepeatIdempotent, Kind: m.kindOf(r), Replayable: o == refused, // a response 500 is passed on
		Attempts: r.attempts, Remaining: r.deadline.Sub(m.now),
	}
	if decision := retry.Decide(history, s.budget, m.random.Float64()); decision.Retry {
		m.after(decision.Backoff, func() { m.attempt(s, r) })
		return
	}
	if o == refused {
		m.tellRefused(s, r, 0)
		return
	}
	s.returns.Record(false, m.now)
	r.done(o, 0)
}
