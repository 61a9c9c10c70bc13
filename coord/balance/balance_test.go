package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
)

const now = time.Hour // any time other than the origin

var self = Locality{Host: "a0", Zone: "a", Region: "west"}

// member returns a host with one target of four slots for each of the versions.
func member(host, zone, region string, versions ...string) gossip.Member {
	m := gossip.Member{Record: gossip.Record{Host: host, Zone: zone, Region: region, PeerAddress: host + ":1"}}
	for _, version := range versions {
		m.Targets = append(m.Targets, gossip.Target{Service: "orders", Version: version, Slots: 4, State: gossip.TargetReady})
	}
	return m
}

func members(count int, versions ...string) []gossip.Member {
	var all []gossip.Member
	for i := range count {
		all = append(all, member(fmt.Sprintf("a%d", i), "a", "west", versions...))
	}
	return all
}

func split(weights map[string]int, rollout *revision.Rollout) *revision.Split {
	s := &revision.Split{Service: "orders", Rollout: rollout}
	for _, version := range []string{"v1", "v2"} {
		if weight, ok := weights[version]; ok {
			s.Shares = append(s.Shares, revision.Share{Version: version, Weight: weight})
		}
	}
	return s
}

func source(seed uint64) Source { return rand.NewPCG(seed, 1) }

func TestIndexExcludesUnavailableHostsAndTargets(t *testing.T) {
	is := is.New(t)
	leaving := member("a1", "a", "west", "v1")
	leaving.Leaving = true
	dead := member("a2", "a", "west", "v1")
	dead.Status = gossip.Dead
	stopping := member("a3", "a", "west", "v1")
	stopping.Targets[0].State = gossip.TargetLeaving
	suspect := member("a4", "a", "west", "v1")
	suspect.Status = gossip.Suspect
	index := NewIndex(self, []gossip.Member{member("a0", "a", "west", "v1"), leaving, dead, stopping, suspect}, nil)
	var hosts []string
	for _, endpoint := range index.Group("orders", "v1").Endpoints() {
		hosts = append(hosts, endpoint.Host)
	}
	is.Equal(hosts, []string{"a0", "a4"})
	is.Equal(index.Group("orders", "v2").Size(), 0)
}

func TestStateCarriesOverUnlessTheHostRestarts(t *testing.T) {
	is := is.New(t)
	before := NewIndex(self, members(2, "v1"), nil)
	before.Group("orders", "v1").Endpoints()[0].Begin()
	restarted := members(2, "v1")
	restarted[1].Incarnation = 7
	before.Group("orders", "v1").Endpoints()[1].Begin()
	after := NewIndex(self, restarted, before)
	is.Equal(after.Group("orders", "v1").Endpoints()[0].Outstanding(), 1)
	is.Equal(after.Group("orders", "v1").Endpoints()[1].Outstanding(), 0)
}

func TestChooseVersion(t *testing.T) {
	rollout := func(hosts int) *revision.Rollout {
		return &revision.Rollout{Ticket: 9, From: "v1", To: "v2", Hosts: hosts}
	}
	even := map[string]int{"v1": 5000, "v2": 5000}
	tests := []struct {
		name    string
		members []gossip.Member
		split   *revision.Split
		halted  bool
		want    map[string]bool // versions that requests reach; "" is none
	}{
		{"both known", members(2, "v1", "v2"), split(even, rollout(0)), false, map[string]bool{"v1": true, "v2": true}},
		{"new version unknown", members(2, "v1"), split(even, rollout(0)), false, map[string]bool{"v1": true}},
		{"new version unknown at full share", members(2, "v1"), split(map[string]int{"v2": 10000}, rollout(0)), false, map[string]bool{"v1": true}},
		{"new version halted", members(2, "v1", "v2"), split(even, rollout(0)), true, map[string]bool{"v1": true}},
		{"new version halted, old one unknown", members(2, "v2"), split(even, rollout(0)), true, map[string]bool{"": true}},
		{"old version unknown", members(2, "v2"), split(even, rollout(0)), false, map[string]bool{"": true, "v2": true}},
		{"no rollout", members(2, "v2"), split(map[string]int{"v2": 10000}, nil), false, map[string]bool{"v2": true}},
		{"zero weight", members(2, "v1", "v2"), split(map[string]int{"v1": 10000, "v2": 0}, rollout(1)), false, map[string]bool{"v1": true}},
		{"no members", nil, split(even, nil), false, map[string]bool{"": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			plan := NewPlan(PlanInput{Split: test.split, Index: NewIndex(self, test.members, nil), Halted: test.halted})
			random := source(1)
			got := map[string]bool{}
			for range 200 {
				if choice := plan.Choose(random); choice != nil {
					got[choice.Version] = true
				} else {
					got[""] = true
				}
			}
			is.Equal(got, test.want)
		})
	}
}

// Guards against failed requests when a configuration names a new version before any endpoint
// of it is known: the stable version receives them, also after rebuilds of the plan.
func TestSuccessorWithoutMoveIsHeldOnTheVersionBefore(t *testing.T) {
	is := is.New(t)
	index := NewIndex(self, members(2, "v1"), nil)
	plan := NewPlan(PlanInput{Split: split(map[string]int{"v1": 10000}, nil), Index: index})
	for range 3 { // rebuilds while v2 stays unknown
		plan = NewPlan(PlanInput{Split: split(map[string]int{"v2": 10000}, nil), Index: index, Previous: plan})
		is.Equal(plan.Choose(source(1)).Version, "v1")
	}
	index = NewIndex(self, members(2, "v1", "v2"), index)
	plan = NewPlan(PlanInput{Split: split(map[string]int{"v2": 10000}, nil), Index: index, Previous: plan})
	is.Equal(plan.Choose(source(1)).Version, "v2")
}

func TestSharesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.IntRange(0, revision.FullShare).Draw(t, "weight of v2")
		seed := rapid.Uint64().Draw(t, "seed")
		index := NewIndex(self, members(3, "v1", "v2"), nil)
		plan := NewPlan(PlanInput{Split: split(map[string]int{"v1": revision.FullShare - weight, "v2": weight}, nil), Index: index})
		const requests = 20000
		random, chosen := source(seed), 0
		for range requests {
			if plan.Choose(random).Version == "v2" {
				chosen++
			}
		}
		p := float64(weight) / revision.FullShare
		tolerance := 6*math.Sqrt(p*(1-p)/requests) + 1e-9
		if got := float64(chosen) / requests; math.Abs(got-p) > tolerance {
			t.Fatalf("share %f, expected %f within %f", got, p, tolerance)
		}
	})
}

// Guards against a change of the canary hosts when another host is lost: the new version would
// then serve on further hosts.
func TestCanaryHostsAreStable(t *testing.T) {
	canary := func(all []gossip.Member, hosts int) map[string]bool {
		rollout := &revision.Rollout{Ticket: 5, From: "v1", To: "v2", Hosts: hosts}
		input := PlanInput{Split: split(map[string]int{"v1": 9900, "v2": 100}, rollout), Index: NewIndex(self, all, nil)}
		chosen := map[string]bool{}
		for _, endpoint := range input.servingGroup("v2").Endpoints() {
			chosen[endpoint.Host] = true
		}
		return chosen
	}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 30).Draw(t, "hosts")
		hosts := rapid.IntRange(1, 3).Draw(t, "canary hosts")
		lost := rapid.IntRange(0, count-1).Draw(t, "lost")
		all := members(count, "v1", "v2")
		before := canary(all, hosts)
		after := canary(append(all[:lost:lost], all[lost+1:]...), hosts)
		if len(before) != hosts {
			t.Fatalf("%d canary hosts, expected %d", len(before), hosts)
		}
		name := fmt.Sprintf("a%d", lost)
		for host := range before {
			if host != name && !after[host] {
				t.Fatalf("%s was replaced when %s was lost", host, name)
			}
		}
	})
}

func TestNearestZoneUnlessSaturated(t *testing.T) {
	all := []gossip.Member{
		member("a0", "a", "west", "v1"), member("a1", "a", "west", "v1"),
		member("b0", "b", "west", "v1"), member("e0", "e", "east", "v1"),
	}
	tests := []struct {
		name      string
		load      map[string]int // outstanding requests of this daemon
		attempted []string
		want      map[string]bool
	}{
		{"idle", nil, nil, map[string]bool{"a0": true, "a1": true}},
		{"one host busy", map[string]int{"a0": 3}, nil, map[string]bool{"a1": true}},
		{"zone saturated", map[string]int{"a0": 4, "a1": 5}, nil, map[string]bool{"b0": true}},
		{"region saturated", map[string]int{"a0": 4, "a1": 4, "b0": 6}, nil, map[string]bool{"e0": true}},
		{"all regions saturated", map[string]int{"a0": 4, "a1": 9, "b0": 9, "e0": 9}, nil, map[string]bool{"a0": true}},
		{"zone attempted", nil, []string{"a0", "a1"}, map[string]bool{"b0": true}},
		{"all attempted", nil, []string{"a0", "a1", "b0", "e0"}, map[string]bool{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			group := NewIndex(self, all, nil).Group("orders", "v1")
			for _, endpoint := range group.Endpoints() {
				for range test.load[endpoint.Host] {
					endpoint.Begin()
				}
			}
			random, got := source(2), map[string]bool{}
			for range 100 {
				if endpoint := group.Pick(random, now, test.attempted); endpoint != nil {
					got[endpoint.Host] = true
				}
			}
			is.Equal(got, test.want)
		})
	}
}

func TestReportedLoadExpires(t *testing.T) {
	is := is.New(t)
	endpoint := NewIndex(self, members(1, "v1"), nil).Group("orders", "v1").Endpoints()[0]
	endpoint.Begin()
	is.Equal(endpoint.Load(now), 0.25)
	endpoint.Observe(LoadReport{Outstanding: 3, Queued: 4, Slots: 2}, now)
	is.Equal(endpoint.Load(now), 3.5) // the request of this daemon is one of the 3
	endpoint.Begin()
	is.Equal(endpoint.Load(now), 4.0)
	endpoint.End()
	is.Equal(endpoint.Load(now+reportMaxAge), 0.25)
	endpoint.Observe(LoadReport{Slots: 2}, now) // sent before this daemon's request arrived
	is.Equal(endpoint.Load(now), 0.5)
}

func TestEjectionAndProbation(t *testing.T) {
	is := is.New(t)
	group := NewIndex(self, members(2, "v1"), nil).Group("orders", "v1")
	bad := group.Endpoints()[0]
	at := now
	for range ejectionThreshold {
		group.RecordFailure(bad, at)
	}
	picksBad := func() bool {
		found := false
		for seed := range uint64(20) {
			found = group.Pick(source(seed), at, []string{"a1"}) == bad || found
		}
		return found
	}
	is.True(bad.health.ejected(at))
	is.True(picksBad()) // the only remaining one is used although it is ejected
	alternative := group.Pick(source(1), at, nil)
	is.Equal(alternative.Host, "a1")

	at += baseEjectionTime
	is.True(bad.health.onProbation(at))
	trials := 0
	for seed := range uint64(50) {
		if group.Pick(source(seed), at, nil) == bad {
			trials++
		}
	}
	is.Equal(trials, 1) // one request at a time on probation
	group.RecordFailure(bad, at)
	is.True(bad.health.ejected(at + 2*baseEjectionTime - 1)) // twice the base time

	at += 2 * baseEjectionTime
	group.RecordSuccess(bad)
	is.True(!bad.health.onProbation(at))
	is.True(bad.healthy(at))
}

func TestEjectedShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "hosts")
		group := NewIndex(self, members(count, "v1"), nil).Group("orders", "v1")
		at := now
		for range rapid.IntRange(0, 300).Draw(t, "results") {
			endpoint := group.Endpoints()[rapid.IntRange(0, count-1).Draw(t, "host")]
			at += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 5).Draw(t, "good") == 0 {
				group.RecordSuccess(endpoint)
			} else {
				group.RecordFailure(endpoint, at)
			}
			if ejected := group.ejectedCount(at); ejected*100 > count*maxEjectionPercent {
				t.Fatalf("%d of %d endpoints ejected", ejected, count)
			}
			if group.Pick(source(1), at, nil) == nil {
				t.Fatal("no endpoint picked")
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	index := NewIndex(self, members(50, "v1", "v2"), nil)
	plan := NewPlan(PlanInput{Split: split(map[string]int{"v1": 9000, "v2": 1000}, nil), Index: index})
	random := source(1)
	b.ReportAllocs()
	for b.Loop() {
		endpoint := plan.Choose(random).Group.Pick(random, now, nil)
		endpoint.Begin()
		endpoint.End()
	}
}
