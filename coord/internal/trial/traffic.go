// Package trial measures decisions about moves of traffic. It draws the outcomes
// of calls to an old and a new version in virtual time, window by window, and
// lets a decider set the share. It knows nothing of daemons or networks.
package trial

import (
	"math"
	"math/rand/v2"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
)

// Sizes of the service under trial. Hosts of both versions are placed in the
// zones in turn.
const (
	OldHosts = 6
	NewHosts = 6
)

var zones = []string{"a", "b", "c"}

// routes and their part of the traffic.
var routes = []struct {
	name string
	part float64
}{{"catalogue", 0.7}, {"commission", 0.25}, {"delivery", 0.05}}

// Usual rates of events, for each request.
const (
	usualFailures = 0.002
	usualSlow     = 0.01
)

// Conditions are what surrounds a call.
type Conditions struct {
	Second  int
	Version detect.Version
	Route   string
	Zone    string
	// SinceNewHosts is the number of seconds since hosts of the new version last began to
	// receive calls.
	SinceNewHosts int
	// Load is the load of a host in parts of an old host's load before the move.
	Load float64
}

// Effect adds to the usual probabilities of a failure and of a slow answer.
type Effect struct {
	Failures, Slow float64
}

// Scenario is a kind of move: which effects occur, drawn once for each move.
type Scenario struct {
	Name string
	Bad  bool
	// Rate is the traffic of the service, in requests a second.
	Rate float64
	// Draw returns the effect under given conditions and the second from which
	// the version is bad. Seconds is the time up to the deadline.
	Draw func(r *rand.Rand, seconds int) (effect func(Conditions) Effect, since int)
}

// severity draws the probability with which a bad version spoils a call: most
// are neither total nor marginal.
func severity(r *rand.Rand) float64 { return 0.05 * math.Pow(12, r.Float64()) }

// Traffic of the service, in requests a second.
const (
	usualRate = 300
	lowRate   = 5
)

// Scenarios lists the kinds of moves.
func Scenarios() []Scenario {
	return []Scenario{
		always(),
		bad("later", func(r *rand.Rand, seconds int) (func(Conditions) bool, int) {
			since := int((0.1 + 0.5*r.Float64()) * float64(seconds))
			return func(c Conditions) bool { return c.Second >= since }, since
		}),
		bad("under load", func(r *rand.Rand, _ int) (func(Conditions) bool, int) {
			return func(c Conditions) bool { return c.Load > 0.7 }, 0
		}),
		bad("one route", func(r *rand.Rand, _ int) (func(Conditions) bool, int) {
			route := routes[r.IntN(len(routes))].name
			return func(c Conditions) bool { return c.Route == route }, 0
		}),
		slow(),
		bad("one zone", func(r *rand.Rand, _ int) (func(Conditions) bool, int) {
			zone := zones[r.IntN(len(zones))]
			return func(c Conditions) bool { return c.Zone == zone }, 0
		}),
		lowTraffic(always()),
		{Name: "quiet", Rate: usualRate, Draw: nothing},
		{Name: "churn", Rate: usualRate, Draw: churn},
		{Name: "cold start", Rate: usualRate, Draw: coldStart},
		{Name: "slow zone", Rate: usualRate, Draw: slowZone},
		{Name: "low traffic", Rate: lowRate, Draw: nothing},
	}
}

// bad returns a kind whose new version fails where the condition holds.
func bad(name string, draw func(*rand.Rand, int) (func(Conditions) bool, int)) Scenario {
	return Scenario{Name: name, Bad: true, Rate: usualRate, Draw: func(r *rand.Rand, seconds int) (func(Conditions) Effect, int) {
		holds, since := draw(r, seconds)
		p := severity(r)
		return func(c Conditions) Effect {
			if c.Version == detect.NewVersion && holds(c) {
				return Effect{Failures: p}
			}
			return Effect{}
		}, since
	}}
}

func always() Scenario {
	return bad("at once", func(*rand.Rand, int) (func(Conditions) bool, int) {
		return func(Conditions) bool { return true }, 0
	})
}

// lowTraffic returns the kind for a service with little traffic.
func lowTraffic(k Scenario) Scenario {
	k.Name += ", low traffic"
	k.Rate = lowRate
	return k
}

func slow() Scenario {
	return Scenario{Name: "slow", Bad: true, Rate: usualRate, Draw: func(r *rand.Rand, _ int) (func(Conditions) Effect, int) {
		p := severity(r)
		return func(c Conditions) Effect {
			if c.Version == detect.NewVersion {
				return Effect{Slow: p}
			}
			return Effect{}
		}, 0
	}}
}

func nothing(*rand.Rand, int) (func(Conditions) Effect, int) {
	return func(Conditions) Effect { return Effect{} }, 0
}

// churn makes calls of one version in one zone fail for two seconds at a time,
// as when a host of it dies, about once a minute.
func churn(r *rand.Rand, seconds int) (func(Conditions) Effect, int) {
	type death struct {
		zone    string
		version detect.Version
	}
	deaths := make(map[int]death)
	for second := range seconds {
		if r.Float64() < 1.0/60 {
			d := death{zones[r.IntN(len(zones))], detect.Version(r.IntN(2))}
			deaths[second], deaths[second+1] = d, d
		}
	}
	return func(c Conditions) Effect {
		d, ok := deaths[c.Second]
		if ok && d.zone == c.Zone && d.version == c.Version {
			return Effect{Failures: 0.3, Slow: 0.2}
		}
		return Effect{}
	}, 0
}

// coldSeconds is for how long hosts that begin to receive calls are slow.
const coldSeconds = 4

// coldStart makes the new version slow on the hosts that each step adds.
func coldStart(*rand.Rand, int) (func(Conditions) Effect, int) {
	return func(c Conditions) Effect {
		if c.Version == detect.NewVersion && c.SinceNewHosts < coldSeconds {
			return Effect{Slow: 0.3}
		}
		return Effect{}
	}, 0
}

// slowZone makes both versions slow in one zone for a part of the time.
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

// outcomes are the samples of one window, and what a bad version spoiled.
type outcomes struct {
	samples []detect.Sample
	spoiled uint64
	reached uint64 // requests of the new version
}

// window draws the calls of one second under a setting.
func window(r *rand.Rand, kind Scenario, effect func(Conditions) Effect, second, since int, setting Decision) outcomes {
	var o outcomes
	part := float64(setting.Share) / revision.FullShare
	hosts := max(1, setting.hosts())
	o.draw(r, effect, Conditions{Second: second, Version: detect.OldVersion, Load: 1 - part}, kind.Rate*(1-part), OldHosts)
	load := part * OldHosts / float64(hosts)
	o.draw(r, effect, Conditions{Second: second, SinceNewHosts: since, Version: detect.NewVersion, Load: load}, kind.Rate*part, hosts)
	return o
}

// draw adds the calls of one version.
func (o *outcomes) draw(r *rand.Rand, effect func(Conditions) Effect, c Conditions, rate float64, hosts int) {
	perZone := make([]float64, len(zones))
	for host := range hosts {
		perZone[host%len(zones)] += 1 / float64(hosts)
	}
	for z, zonePart := range perZone {
		for _, route := range routes {
			c.Zone, c.Route = zones[z], route.name
			o.drawCell(r, effect(c), c, poisson(r, rate*zonePart*route.part))
		}
	}
}

func (o *outcomes) drawCell(r *rand.Rand, added Effect, c Conditions, requests int) {
	s := detect.Sample{Version: c.Version, Route: c.Route, Zone: c.Zone, Requests: uint64(requests)}
	for range requests {
		if r.Float64() < usualFailures+added.Failures {
			s.Failures++
		}
		if r.Float64() < usualSlow+added.Slow {
			s.Slow++
		}
		if added != (Effect{}) && r.Float64() < added.Failures+added.Slow {
			o.spoiled++
		}
	}
	o.samples = append(o.samples, s)
	if c.Version == detect.NewVersion {
		o.reached += s.Requests
	}
}

// poisson draws a Poisson variate, by its normal approximation if it is large.
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
