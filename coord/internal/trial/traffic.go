// Package trial simulates rollouts to evaluate the decisions about them. It draws the outcomes of
// requests to an old and a new version in virtual time, window by window, and lets a decider set
// the share. It does not involve daemons or networks.
package trial

import (
	"math"
	"math/rand/v2"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
)

// OldHosts and NewHosts are the numbers of hosts of the two versions of the simulated service.
const (
	OldHosts = 6
	NewHosts = 6
)

// zones are the availability zones of the service.
var zones = []string{"a", "b", "c"}

// routes holds the routes and their fractions of the traffic.
var routes = []struct {
	name     string
	fraction float64
}{{"catalogue", 0.7}, {"commission", 0.25}, {"delivery", 0.05}}

// Probabilities of events for each request without any effect.
const (
	baseFailureRate     = 0.002
	baseSlowRequestRate = 0.01
)

// Conditions describes the circumstances of a request.
type Conditions struct {
	// Second is the number of seconds since the start of the rollout.
	Second  int
	Version detect.Version
	Route   string
	Zone    string
	// SinceNewHosts is the number of seconds since the number of the new version's hosts that
	// receive requests last increased.
	SinceNewHosts int
	// Load is the load of a host as a fraction of an old host's load before the rollout.
	Load float64
	// Share is the share of the requests that the new version receives, from 0 to 1.
	Share float64
}

// Effect is what is added to the base probabilities of a failure and of a slow response.
type Effect struct {
	Failures, Slow float64
}

// Scenario is a kind of rollout: which effects occur, drawn once for each rollout. Its name is
// part of the random seed.
type Scenario struct {
	Name string
	// Bad is true if the new version is worse, so that the rollout should be rolled back.
	Bad bool
	// Rate is the traffic of the service in requests per second.
	Rate float64
	// OldZones are the zones in which the old version has hosts; nil means all.
	OldZones []string
	// Draw returns the effect under given conditions and the second from which the version is
	// bad. The argument seconds is the time up to the deadline.
	Draw func(r *rand.Rand, seconds int) (effect func(Conditions) Effect, since int)
}

// drawSeverity draws the probability with which a bad version spoils a request, from 0.05 to 0.6:
// most bad versions are neither totally nor marginally bad.
func drawSeverity(r *rand.Rand) float64 { return 0.05 * math.Pow(12, r.Float64()) }

// Traffic of the service in requests per second.
const (
	baseRequestRate = 300
	lowRequestRate  = 5
)

// Scenarios returns the scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		failingAtOnce(),
		failing("later", func(r *rand.Rand, seconds int) (func(Conditions) bool, int) {
			since := int((0.1 + 0.5*r.Float64()) * float64(seconds))
			return func(c Conditions) bool { return c.Second >= since }, since
		}),
		failing("under load", func(r *rand.Rand, _ int) (func(Conditions) bool, int) {
			return func(c Conditions) bool { return c.Load > 0.7 }, 0
		}),
		failing("one route", func(r *rand.Rand, _ int) (func(Conditions) bool, int) {
			route := routes[r.IntN(len(routes))].name
			return func(c Conditions) bool { return c.Route == route }, 0
		}),
		slowVersion(),
		failing("one zone", func(r *rand.Rand, _ int) (func(Conditions) bool, int) {
			zone := zones[r.IntN(len(zones))]
			return func(c Conditions) bool { return c.Zone == zone }, 0
		}),
		lowTraffic(failingAtOnce()),
		{Name: "quiet", Rate: baseRequestRate, Draw: noEffect},
		{Name: "churn", Rate: baseRequestRate, Draw: churn},
		{Name: "cold start", Rate: baseRequestRate, Draw: coldStart},
		{Name: "slow zone", Rate: baseRequestRate, Draw: slowZone},
		{Name: "low traffic", Rate: lowRequestRate, Draw: noEffect},
	}
}

// failing returns a scenario whose new version fails where the condition holds.
func failing(name string, draw func(*rand.Rand, int) (func(Conditions) bool, int)) Scenario {
	return Scenario{Name: name, Bad: true, Rate: baseRequestRate, Draw: func(r *rand.Rand, seconds int) (func(Conditions) Effect, int) {
		holds, since := draw(r, seconds)
		p := drawSeverity(r)
		return func(c Conditions) Effect {
			if c.Version == detect.NewVersion && holds(c) {
				return Effect{Failures: p}
			}
			return Effect{}
		}, since
	}}
}

// UncomparedScenarios returns scenarios of a version that is bad only where the old version has no
// requests to compare its own with.
func UncomparedScenarios() []Scenario {
	allRequests := failing("all requests", func(*rand.Rand, int) (func(Conditions) bool, int) {
		return func(c Conditions) bool { return c.Share == 1 }, 0
	})
	otherZone := failing("zone without old hosts", func(r *rand.Rand, seconds int) (func(Conditions) bool, int) {
		since := int((0.2 + 0.3*r.Float64()) * float64(seconds))
		return func(c Conditions) bool { return c.Second >= since && c.Zone == zones[0] }, since
	})
	otherZone.OldZones = zones[1:]
	return []Scenario{allRequests, otherZone}
}

// failingAtOnce returns a scenario whose new version fails from the start, everywhere.
func failingAtOnce() Scenario {
	return failing("at once", func(*rand.Rand, int) (func(Conditions) bool, int) {
		return func(Conditions) bool { return true }, 0
	})
}

// lowTraffic returns the scenario for a service with little traffic.
func lowTraffic(s Scenario) Scenario {
	s.Name += ", low traffic"
	s.Rate = lowRequestRate
	return s
}

// slowVersion returns a scenario whose new version responds slowly.
func slowVersion() Scenario {
	return Scenario{Name: "slow", Bad: true, Rate: baseRequestRate, Draw: func(r *rand.Rand, _ int) (func(Conditions) Effect, int) {
		p := drawSeverity(r)
		return func(c Conditions) Effect {
			if c.Version == detect.NewVersion {
				return Effect{Slow: p}
			}
			return Effect{}
		}, 0
	}}
}

// noEffect is the Draw of a scenario in which both versions behave alike.
func noEffect(*rand.Rand, int) (func(Conditions) Effect, int) {
	return func(Conditions) Effect { return Effect{} }, 0
}

// churn makes requests of one version in one zone fail for two seconds at a time, as when one of
// its hosts crashes, about once a minute.
func churn(r *rand.Rand, seconds int) (func(Conditions) Effect, int) {
	type hostCrash struct {
		zone    string
		version detect.Version
	}
	crashes := make(map[int]hostCrash)
	for second := range seconds {
		if r.Float64() < 1.0/60 {
			crash := hostCrash{zones[r.IntN(len(zones))], detect.Version(r.IntN(2))}
			crashes[second], crashes[second+1] = crash, crash
		}
	}
	return func(c Conditions) Effect {
		crash, ok := crashes[c.Second]
		if ok && crash.zone == c.Zone && crash.version == c.Version {
			return Effect{Failures: 0.3, Slow: 0.2}
		}
		return Effect{}
	}, 0
}

// coldStartSeconds is how long hosts that begin to receive requests are slow.
const coldStartSeconds = 4

// coldStart makes the new version slow on the hosts that each step adds.
func coldStart(*rand.Rand, int) (func(Conditions) Effect, int) {
	return func(c Conditions) Effect {
		if c.Version == detect.NewVersion && c.SinceNewHosts < coldStartSeconds {
			return Effect{Slow: 0.3}
		}
		return Effect{}
	}, 0
}

// slowZone makes both versions slow in one zone for up to a quarter of the time.
func slowZone(r *rand.Rand, seconds int) (func(Conditions) Effect, int) {
	zone := zones[r.IntN(len(zones))]
	from := r.IntN(seconds)
	to := from + seconds/4
	return func(c Conditions) Effect {
		if c.Zone == zone && c.Second >= from && c.Second < to {
			return Effect{Slow: 0.25, Failures: 0.01}
		}
		return Effect{}
	}, 0
}

// outcomes holds the samples of one window and counts of its requests.
type outcomes struct {
	samples     []detect.Sample
	spoiled     uint64 // requests spoiled by an effect, drawn independently of the samples
	newRequests uint64 // requests of the new version
}

// drawWindow draws the requests of one second under a decision.
func drawWindow(r *rand.Rand, scenario Scenario, effect func(Conditions) Effect, second, sinceNewHosts int, decision Decision) outcomes {
	var o outcomes
	fraction := float64(decision.Share) / revision.FullShare
	hosts := max(1, decision.hosts())
	oldZones := scenario.OldZones
	if oldZones == nil {
		oldZones = zones
	}
	old := Conditions{Second: second, Version: detect.OldVersion, Load: 1 - fraction, Share: fraction}
	o.drawVersion(r, effect, old, scenario.Rate*(1-fraction), OldHosts, oldZones)
	load := fraction * OldHosts / float64(hosts)
	new := Conditions{Second: second, SinceNewHosts: sinceNewHosts, Version: detect.NewVersion, Load: load, Share: fraction}
	o.drawVersion(r, effect, new, scenario.Rate*fraction, hosts, zones)
	return o
}

// drawVersion adds the requests of one version, whose hosts are assigned to the zones in turn.
func (o *outcomes) drawVersion(r *rand.Rand, effect func(Conditions) Effect, c Conditions, rate float64, hosts int, inZones []string) {
	perZone := make([]float64, len(inZones))
	for host := range hosts {
		perZone[host%len(inZones)] += 1 / float64(hosts)
	}
	for z, zoneFraction := range perZone {
		for _, route := range routes {
			c.Zone, c.Route = inZones[z], route.name
			o.drawCell(r, effect(c), c, poisson(r, rate*zoneFraction*route.fraction))
		}
	}
}

// drawCell adds the requests of one version on one route in one zone.
func (o *outcomes) drawCell(r *rand.Rand, added Effect, c Conditions, requests int) {
	s := detect.Sample{Version: c.Version, Route: c.Route, Zone: c.Zone, Requests: uint64(requests)}
	for range requests {
		if r.Float64() < baseFailureRate+added.Failures {
			s.Failures++
		}
		if r.Float64() < baseSlowRequestRate+added.Slow {
			s.Slow++
		}
		if added != (Effect{}) && r.Float64() < added.Failures+added.Slow {
			o.spoiled++
		}
	}
	o.samples = append(o.samples, s)
	if c.Version == detect.NewVersion {
		o.newRequests += s.Requests
	}
}

// poisson draws a Poisson variate, using the normal approximation if the mean is large.
func poisson(r *rand.Rand, mean float64) int {
	if mean > 50 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	limit := math.Exp(-mean)
	n := 0
	for product := r.Float64(); product > limit; product *= r.Float64() {
		n++
	}
	return n
}
