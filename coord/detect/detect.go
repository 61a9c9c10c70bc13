// Package detect compares a new version of a service with the old one while a
// move of traffic runs. Both are observed over the same windows, in total, on
// each route, in each availability zone and on each route of a zone. The tests
// are sequential: they may be looked at after every window and keep their error
// rates. Too little traffic gives no verdict, never a good one.
package detect

import (
	"fmt"
	"slices"
)

// Version tells the versions of a move apart.
type Version int

// The versions of a move.
const (
	OldVersion Version = iota
	NewVersion
)

// Sample counts the calls of one version on one route in one availability zone.
type Sample struct {
	Version  Version
	Route    string
	Zone     string
	Requests uint64
	// Failures are calls that a fault of the target spoiled; crashes and unknown
	// outcomes may be among them.
	Failures uint64
	// Slow are answers over the service's latency bound.
	Slow uint64
	// Crashes are calls during which the target died.
	Crashes uint64
	// Unknown are calls without a whole answer.
	Unknown uint64
}

// Kind is the conclusion of a verdict.
type Kind int

// The conclusions.
const (
	// Undecided means that the evidence suffices for neither conclusion.
	Undecided Kind = iota
	// Good means that the new version is worse by less than Config.Effect.
	Good
	// Bad means that the new version is worse.
	Bad
)

// String returns the name of the conclusion.
func (k Kind) String() string {
	switch k {
	case Good:
		return "good"
	case Bad:
		return "bad"
	}
	return "undecided"
}

// Metric is what is compared.
type Metric string

// The metrics.
const (
	Failures Metric = "failures"
	Slow     Metric = "slow answers"
	Crashes  Metric = "crashes"
	Unknown  Metric = "unknown outcomes"
)

var metrics = []Metric{Failures, Slow, Crashes, Unknown}

// Config sets the error rates of a detector.
type Config struct {
	// Alpha bounds the probability that a version no worse than the old one by
	// more than Margin is ever called bad, over all metrics, routes and zones.
	Alpha float64
	// Beta bounds the probability that a version worse by Effect is ever called
	// good. If it is 0, none is.
	Beta float64
	// Margin is the excess of the probability of an event, for each request,
	// that is no harm.
	Margin float64
	// Effect is the excess that a good version certainly stays under.
	Effect float64
	// WindowLimit bounds the evidence of one window in one zone, in nats.
	WindowLimit float64
	// WarmUpWindows is the number of windows after a call of WarmUpWindows in which slow answers
	// of either version do not count.
	WarmUpWindows int
}

// Scope is a part of the traffic. Empty fields mean all of it.
type Scope struct {
	Route string
	Zone  string
}

// String describes the scope.
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

// Reason is the comparison that decided a verdict.
type Reason struct {
	Scope  Scope
	Metric Metric
	// Requests and events of both versions in the scope so far.
	OldRequests, OldEvents uint64
	NewRequests, NewEvents uint64
}

// String describes the comparison.
func (r Reason) String() string {
	return fmt.Sprintf("%s %s: new %d of %d, old %d of %d",
		r.Metric, r.Scope, r.NewEvents, r.NewRequests, r.OldEvents, r.OldRequests)
}

// Verdict is what the evidence supports so far.
type Verdict struct {
	Kind Kind
	// ExcessBound is the least excess that the new version has been shown to stay
	// under: in failed calls and in slow answers, whichever is larger. 1 means
	// that nothing has been shown.
	ExcessBound float64
	// Requests is the number of calls of the new version.
	Requests uint64
	// StepExcessBound and StepRequests are the same over the calls since BeginStep.
	StepExcessBound float64
	StepRequests    uint64
	// BadEvidence is how far the strongest evidence of badness has come towards a
	// verdict, from 0 to 1 on a logarithmic scale.
	BadEvidence float64
	// Reason is set if the version is bad.
	Reason Reason
}

// Detector is the evidence of one move. It is not safe for concurrent use.
type Detector struct {
	config Config
	cells  []*cell
	byKey  map[Scope]*cell
	scopes []*scope
	index  map[Scope]*scope
	whole  shown
	step   shown
	bad    *Reason
	warmUp int // windows left
}

// New returns a detector without evidence.
func New(config Config) *Detector {
	d := &Detector{
		config: config,
		byKey:  make(map[Scope]*cell),
		index:  make(map[Scope]*scope),
	}
	d.scope(Scope{})
	d.whole = newShown(config.Beta)
	d.step = newShown(config.Beta)
	return d
}

// Observe adds a sample to the open window.
func (d *Detector) Observe(s Sample) {
	if s.Requests == 0 && s.Crashes == 0 && s.Unknown == 0 {
		return
	}
	key := Scope{Route: s.Route, Zone: s.Zone}
	c, ok := d.byKey[key]
	if !ok {
		c = newCell(key)
		d.byKey[key] = c
		d.cells = append(d.cells, c)
		for _, part := range key.parts() {
			d.scope(part).add(c)
		}
	}
	c.observe(s)
}

// parts returns the scopes that a cell belongs to, from the widest.
func (s Scope) parts() []Scope {
	return []Scope{{}, {Route: s.Route}, {Zone: s.Zone}, s}
}

func (d *Detector) scope(key Scope) *scope {
	if found, ok := d.index[key]; ok {
		return found
	}
	s := newScope(key, len(d.scopes), d.config.Alpha)
	d.scopes = append(d.scopes, s)
	d.index[key] = s
	return s
}

// EndWindow closes the open window and weighs it. All samples of a window must
// be from the same span of time.
func (d *Detector) EndWindow() {
	warming := d.warmUp > 0
	d.warmUp = max(0, d.warmUp-1)
	for _, c := range d.cells {
		c.weigh(d.config, warming)
	}
	for _, s := range d.scopes {
		s.bet(d.config.WindowLimit)
	}
	if d.bad == nil {
		d.bad = d.decide()
	}
	if d.config.Beta > 0 {
		d.whole.observe(d.cells, warming)
		d.step.observe(d.cells, warming)
	}
	for _, c := range d.cells {
		c.close()
	}
}

// decide returns the reason to call the new version bad, or nil. It names the
// part of the traffic with the strongest evidence, and of several the narrowest.
func (d *Detector) decide() *Reason {
	for m := range metrics {
		decided := slices.ContainsFunc(d.scopes, func(s *scope) bool { return s.decided(m) })
		if !decided {
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

// BeginStep starts the evidence of a step. Calls before it count in
// Verdict.Excess alone.
func (d *Detector) BeginStep() { d.step = newShown(d.config.Beta) }

// StartWarmUp tells that hosts of the new version begin to receive calls. Their first
// answers may be slow for being the first.
func (d *Detector) StartWarmUp() { d.warmUp = d.config.WarmUpWindows }

// Verdict returns the conclusion so far. Bad is final.
func (d *Detector) Verdict() Verdict {
	v := Verdict{
		ExcessBound: d.whole.excess(), Requests: d.whole.requests,
		StepExcessBound: d.step.excess(), StepRequests: d.step.requests,
		BadEvidence: d.suspicion(),
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

func (d *Detector) suspicion() float64 {
	strongest := 0.0
	for _, s := range d.scopes {
		strongest = max(strongest, s.suspicion())
	}
	return min(strongest, 1)
}
