// Package detect compares a new version of a service with the old one during a rollout. Both are
// observed over the same windows, in total, on each route, in each availability zone and on each
// route of a zone. The tests are sequential: they may be evaluated after every window without
// exceeding their error probabilities. Insufficient traffic leaves the verdict undecided, never
// good.
package detect

import (
	"fmt"
	"slices"
)

// Version distinguishes the two versions of a rollout.
type Version int

// OldVersion serves the traffic before the rollout, NewVersion after it.
const (
	OldVersion Version = iota
	NewVersion
)

// Sample counts the requests of one version on one route in one availability zone.
type Sample struct {
	Version Version
	Route   string
	Zone    string
	// Host is the host of the targets, or empty if the requests are not known to be of one host.
	Host     string
	Requests uint64
	// Failures counts requests that failed because of a fault of the target; crashes and unknown
	// outcomes may be among them.
	Failures uint64
	// Slow counts responses above the service's latency bound.
	Slow uint64
	// Crashes counts requests during which the target crashed.
	Crashes uint64
	// Unknown counts requests without a complete response.
	Unknown uint64
}

// Kind is the conclusion of a Verdict.
type Kind int

// Conclusions of a verdict.
const (
	// Undecided means that the evidence is insufficient for either conclusion.
	Undecided Kind = iota
	// Good means that the new version is worse by less than Config.Effect.
	Good
	// Bad means that the new version is worse by more than Config.Margin.
	Bad
)

// String returns "undecided", "good" or "bad".
func (k Kind) String() string {
	switch k {
	case Good:
		return "good"
	case Bad:
		return "bad"
	}
	return "undecided"
}

// Metric is an event whose rate is compared between the versions. Its text appears in reasons.
type Metric string

// The compared metrics. The fields of Sample of the same names describe them.
const (
	Failures Metric = "failures"
	Slow     Metric = "slow answers"
	Crashes  Metric = "crashes"
	Unknown  Metric = "unknown outcomes"
)

// metrics holds the metrics in the order in which counts index their events.
var metrics = []Metric{Failures, Slow, Crashes, Unknown}

// Config sets the error probabilities and limits of a detector: Alpha that of a false alarm, Beta
// that of judging a worse version good.
type Config struct {
	// Alpha bounds the probability that a version whose event probabilities exceed the old
	// version's by at most Margin is ever judged bad, over all metrics, routes and zones.
	Alpha float64
	// Beta bounds the probability that a version worse by Effect is ever judged good. If it is 0,
	// no version is judged good.
	Beta float64
	// Margin is the largest excess of the probability of an event, for each request, that is
	// considered harmless.
	Margin float64
	// Effect is the excess that a version must be shown to stay below to be judged good.
	Effect float64
	// WindowLimit limits the log e-value that one window in one zone may add, in nats, so that a
	// brief fault in one zone does not decide the verdict.
	WindowLimit float64
	// MinSlowHosts is the number of hosts of the new version that must have slow responses for any
	// to count. Where a version has one host alone, its responses show nothing about the version.
	MinSlowHosts int
	// WarmUpWindows is the number of windows after StartWarmUp in which slow responses of either
	// version do not count.
	WarmUpWindows int
}

// Scope is a part of the traffic. An empty field places no restriction on it.
type Scope struct {
	Route string
	Zone  string
}

// String describes the scope as it appears in a reason.
func (s Scope) String() string {
	switch {
	case s.Route != "" && s.Zone != "":
		return fmt.Sprintf("on route %s in zone %s", s.Route, s.Zone)
	case s.Route != "":
		return "on route " + s.Route
	case s.Zone != "":
		return "in zone " + s.Zone
	}
	return "in total"
}

// Reason is the comparison that led to a bad verdict.
type Reason struct {
	Scope  Scope
	Metric Metric
	// Requests and events of each version in the scope so far.
	OldRequests, OldEvents uint64
	NewRequests, NewEvents uint64
}

// String describes the comparison. The text is stored with the rollout and shown to operators.
func (r Reason) String() string {
	return fmt.Sprintf("%s %s: new %d of %d, old %d of %d",
		r.Metric, r.Scope, r.NewEvents, r.NewRequests, r.OldEvents, r.OldRequests)
}

// Verdict is the conclusion from the evidence so far.
type Verdict struct {
	Kind Kind
	// ExcessBound is an upper confidence bound on the excess of the new version's event
	// probability, at the error probability Config.Beta: the larger of that of failed requests and
	// that of slow responses. It is 1 without evidence.
	ExcessBound float64
	// Requests is the number of requests of the new version.
	Requests uint64
	// StepExcessBound and StepRequests are the same figures over the requests since BeginStep.
	StepExcessBound float64
	StepRequests    uint64
	// BadEvidence is the strongest evidence that the new version is worse, as a fraction of that
	// needed for a bad verdict, from 0 to 1 on a logarithmic scale.
	BadEvidence float64
	// UncomparedRequests is the number of requests of the new version on a route in a zone where the old
	// version had none in the same window.
	UncomparedRequests uint64
	// Reason is set if the version is bad.
	Reason Reason
}

// Detector accumulates the evidence of one rollout. It is not safe for concurrent use.
type Detector struct {
	config          Config
	cells           []*cell
	cellByKey       map[Scope]*cell
	scopes          []*scope
	scopeByKey      map[Scope]*scope
	total           excessBounds
	step            excessBounds
	bad             *Reason
	warmUpRemaining int // windows
	hosts           newVersionHosts
	window          []Sample // of the open window, of known hosts of the new version
	uncompared      uint64   // requests of the new version in windows without requests of the old one
}

// New returns a detector without evidence.
func New(config Config) *Detector {
	d := &Detector{
		config:     config,
		cellByKey:  make(map[Scope]*cell),
		scopeByKey: make(map[Scope]*scope),
		hosts:      make(newVersionHosts),
	}
	d.scope(Scope{})
	d.total = newExcessBounds(config.Beta)
	d.step = newExcessBounds(config.Beta)
	return d
}

// Observe adds a sample to the open window.
func (d *Detector) Observe(s Sample) {
	if s.Requests == 0 && s.Crashes == 0 && s.Unknown == 0 {
		return
	}
	if s.Version == NewVersion && s.Host != "" {
		d.hosts.add(s)
		d.window = append(d.window, s)
		return
	}
	d.observe(s)
}

func (d *Detector) observe(s Sample) {
	key := Scope{Route: s.Route, Zone: s.Zone}
	c, ok := d.cellByKey[key]
	if !ok {
		c = newCell(key)
		d.cellByKey[key] = c
		d.cells = append(d.cells, c)
		for _, containing := range key.containingScopes() {
			d.scope(containing).add(c)
		}
	}
	c.observe(s)
}

// containingScopes returns the scopes that contain a cell, from the widest to the cell itself.
func (s Scope) containingScopes() []Scope {
	return []Scope{{}, {Route: s.Route}, {Zone: s.Zone}, s}
}

// scope returns the scope of a key, which it creates if necessary. The order of creation sets the
// scope's part of alpha.
func (d *Detector) scope(key Scope) *scope {
	if found, ok := d.scopeByKey[key]; ok {
		return found
	}
	s := newScope(key, len(d.scopes), d.config.Alpha)
	d.scopes = append(d.scopes, s)
	d.scopeByKey[key] = s
	return s
}

// EndWindow closes the open window and adds its evidence. All samples of a window must be from
// the same period of time.
func (d *Detector) EndWindow() {
	totals := d.hosts.totals()
	for _, s := range d.window {
		if !totals.showVersion(d.hosts[s.Host], d.config.MinSlowHosts) {
			s.Slow = 0
		}
		d.observe(s)
	}
	d.window = d.window[:0]
	warmingUp := d.warmUpRemaining > 0
	d.warmUpRemaining = max(0, d.warmUpRemaining-1)
	expected := newExpectedRates(d.cells)
	for _, c := range d.cells {
		if c.window[OldVersion].requests > 0 {
			c.computeEvidence(d.config, warmingUp)
		} else {
			c.computeUncomparedEvidence(d.config, warmingUp, expected)
		}
	}
	for _, s := range d.scopes {
		s.bet(d.config.WindowLimit)
	}
	if d.bad == nil {
		d.bad = d.badReason()
	}
	if d.config.Beta > 0 {
		d.total.observe(d.cells, warmingUp)
		d.step.observe(d.cells, warmingUp)
	}
	for _, c := range d.cells {
		if c.window[OldVersion].requests == 0 {
			d.uncompared += uint64(c.window[NewVersion].requests)
		}
		c.closeWindow()
	}
}

// badReason returns the reason to judge the new version bad, or nil. It names the scope with the
// strongest evidence, and the narrowest one if several are equal.
func (d *Detector) badReason() *Reason {
	for m := range metrics {
		rejected := slices.ContainsFunc(d.scopes, func(s *scope) bool { return s.rejectsNull(m) })
		if !rejected {
			continue
		}
		strongest := d.scopes[0]
		for _, s := range d.scopes[1:] {
			if s.wealth[m].log() >= strongest.wealth[m].log() {
				strongest = s
			}
		}
		return strongest.reason(m)
	}
	return nil
}

// BeginStep restarts the evidence of the current step. Requests before it no longer count in
// Verdict.StepExcessBound and Verdict.StepRequests.
func (d *Detector) BeginStep() { d.step = newExcessBounds(d.config.Beta) }

// StartWarmUp starts a warm-up of Config.WarmUpWindows windows. Call it when hosts of the new
// version begin to receive requests: their first responses may be slow for that reason alone.
func (d *Detector) StartWarmUp() { d.warmUpRemaining = d.config.WarmUpWindows }

// Verdict returns the conclusion so far. Bad is final.
func (d *Detector) Verdict() Verdict {
	v := Verdict{
		ExcessBound: d.total.largest(), Requests: d.total.requests,
		StepExcessBound: d.step.largest(), StepRequests: d.step.requests,
		BadEvidence: d.badEvidence(), UncomparedRequests: d.uncompared,
	}
	if d.bad != nil {
		v.Kind = Bad
		v.Reason = *d.bad
		return v
	}
	if v.ExcessBound <= d.config.Effect {
		v.Kind = Good
	}
	return v
}

// badEvidence returns the strongest evidence of all scopes, from 0 to 1.
func (d *Detector) badEvidence() float64 {
	strongest := 0.0
	for _, s := range d.scopes {
		strongest = max(strongest, s.badEvidence())
	}
	return min(strongest, 1)
}
