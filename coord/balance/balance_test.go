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

const now = time.Hour // any time but the origin

var self = Place{Host: "a0", Zone: "a", Region: "west"}

// member returns a host with one target of four slots for each version.
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

func split(weights map[string]int, move *revision.Rollout) *revision.Split {
	s := &revision.Split{Service: "orders", Rollout: move}
	for _, version := range []string{"v1", "v2"} {
		if weight, ok := weights[version]; ok {
			s.Shares = append(s.Shares, revision.Share{Version: version, Weight: weight})
		}
	}
	return s
}

func source(seed uint64) Source { return rand.NewPCG(seed, 1) }

func TestIndexLeavesOutWhoTakesNoWork(t *testing.T) {
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

func TestStatesSurviveChurnButNotRestart(t *testing.T) {
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

func TestVersionOfACall(t *testing.T) {
	move := func(hosts int) *revision.Rollout {
		return &revision.Rollout{Ticket: 9, From: "v1", To: "v2", Hosts: hosts}
	}
	even := map[string]int{"v1": 5000, "v2": 5000}
	tests := []struct {
		name    string
		members []gossip.Member
		split   *revision.Split
		tripped bool
		want    map[string]bool // versions that calls reach; "" is none
	}{
		{"both known", members(2, "v1", "v2"), split(even, move(0)), false, map[string]bool{"v1": true, "v2": true}},
		{"new one unknown", members(2, "v1"), split(even, move(0)), false, map[string]bool{"v1": true}},
		{"new one unknown at full share", members(2, "v1"), split(map[string]int{"v2": 10000}, move(0)), false, map[string]bool{"v1": true}},
		{"new one tripped", members(2, "v1", "v2"), split(even, move(0)), true, map[string]bool{"v1": true}},
		{"new one tripped, old one unknown", members(2, "v2"), split(even, move(0)), true, map[string]bool{"": true}},
		{"old one unknown", members(2, "v2"), split(even, move(0)), false, map[string]bool{"": true, "v2": true}},
		{"no move", members(2, "v2"), split(map[string]int{"v2": 10000}, nil), false, map[string]bool{"v2": true}},
		{"zero weight", members(2, "v1", "v2"), split(map[string]int{"v1": 10000, "v2": 0}, move(1)), false, map[string]bool{"v1": true}},
		{"nobody", nil, split(even, nil), false, map[string]bool{"": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			plan := NewPlan(Input{Split: test.split, Index: NewIndex(self, test.members, nil), Tripped: test.tripped})
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

func TestSuccessorWithoutMoveIsHeldOnTheVersionBefore(t *testing.T) {
	is := is.New(t)
	index := NewIndex(self, members(2, "v1"), nil)
	plan := NewPlan(Input{Split: split(map[string]int{"v1": 10000}, nil), Index: index})
	for range 3 { // rebuilds while v2 stays unknown
		plan = NewPlan(Input{Split: split(map[string]int{"v2": 10000}, nil), Index: index, Previous: plan})
		is.Equal(plan.Choose(source(1)).Version, "v1")
	}
	index = NewIndex(self, members(2, "v1", "v2"), index)
	plan = NewPlan(Input{Split: split(map[string]int{"v2": 10000}, nil), Index: index, Previous: plan})
	is.Equal(plan.Choose(source(1)).Version, "v2")
}

func TestSharesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.IntRange(0, revision.FullShare).Draw(t, "weight of v2")
		seed := rapid.Uint64().Draw(t, "seed")
		index := NewIndex(self, members(3, "v1", "v2"), nil)
		plan := NewPlan(Input{Split: split(map[string]int{"v1": revision.FullShare - weight, "v2": weight}, nil), Index: index})
		const calls = 20000
		random, moved := source(seed), 0
		for range calls {
			if plan.Choose(random).Version == "v2" {
				moved++
			}
		}
		p := float64(weight) / revision.FullShare
		tolerance := 6*math.Sqrt(p*(1-p)/calls) + 1e-9
		if got := float64(moved) / calls; math.Abs(got-p) > tolerance {
			t.Fatalf("share %f, expected %f within %f", got, p, tolerance)
		}
	})
}

func TestMovingVersionKeepsToItsHosts(t *testing.T) {
	canary := func(all []gossip.Member, hosts int) map[string]bool {
		move := &revision.Rollout{Ticket: 5, From: "v1", To: "v2", Hosts: hosts}
		input := Input{Split: split(map[string]int{"v1": 9900, "v2": 100}, move), Index: NewIndex(self, all, nil)}
		chosen := map[string]bool{}
		for _, endpoint := range input.group("v2").Endpoints() {
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
		name  string
		load  map[string]int // own calls outstanding
		tried []string
		want  map[string]bool
	}{
		{"idle", nil, nil, map[string]bool{"a0": true, "a1": true}},
		{"one busy", map[string]int{"a0": 3}, nil, map[string]bool{"a1": true}},
		{"zone saturated", map[string]int{"a0": 4, "a1": 5}, nil, map[string]bool{"b0": true}},
		{"region saturated", map[string]int{"a0": 4, "a1": 4, "b0": 6}, nil, map[string]bool{"e0": true}},
		{"everything saturated", map[string]int{"a0": 4, "a1": 9, "b0": 9, "e0": 9}, nil, map[string]bool{"a0": true}},
		{"zone tried", nil, []string{"a0", "a1"}, map[string]bool{"b0": true}},
		{"all tried", nil, []string{"a0", "a1", "b0", "e0"}, map[string]bool{}},
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
				if endpoint := group.Pick(random, now, test.tried); endpoint != nil {
					got[endpoint.Host] = true
				}
			}
			is.Equal(got, test.want)
		})
	}
}

func TestReportedLoadCountsUntilItIsOld(t *testing.T) {
	is := is.New(t)
	endpoint := NewIndex(self, members(1, "v1"), nil).Group("orders", "v1").Endpoints()[0]
	endpoint.Begin()
	is.Equal(endpoint.Load(now), 0.25)
	endpoint.Observe(Report{Outstanding: 3, Queued: 4, Slots: 2}, now)
	is.Equal(endpoint.Load(now), 3.5) // the own call is one of the 3
	endpoint.Begin()
	is.Equal(endpoint.Load(now), 4.0)
	endpoint.End()
	is.Equal(endpoint.Load(now+reportLife), 0.25)
	endpoint.Observe(Report{Slots: 2}, now) // sent before the own call arrived
	is.Equal(endpoint.Load(now), 0.5)
}

func TestEjectionAndProbation(t *testing.T) {
	is := is.New(t)
	group := NewIndex(self, members(2, "v1"), nil).Group("orders", "v1")
	bad := group.Endpoints()[0]
	at := now
	for range failuresToEject {
		group.Fail(bad, at)
	}
	picksBad := func() bool {
		found := false
		for seed := range uint64(20) {
			found = group.Pick(source(seed), at, []string{"a1"}) == bad || found
		}
		return found
	}
	is.True(bad.health.ejected(at))
	is.True(picksBad()) // the last one left is used, ejected or not
	pickedOver := group.Pick(source(1), at, nil)
	is.Equal(pickedOver.Host, "a1")

	at += firstEjection
	is.True(bad.health.probation(at))
	trials := 0
	for seed := range uint64(50) {
		if group.Pick(source(seed), at, nil) == bad {
			trials++
		}
	}
	is.Equal(trials, 1) // one call at a time on probation
	group.Fail(bad, at)
	is.True(bad.health.ejected(at + 2*firstEjection - 1)) // twice as long

	at += 2 * firstEjection
	group.Succeed(bad)
	is.True(!bad.health.probation(at))
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
				group.Succeed(endpoint)
			} else {
				group.Fail(endpoint, at)
			}
			if ejected := group.ejected(at); ejected*100 > count*maxEjectedPercent {
				t.Fatalf("%d of %d hosts ejected", ejected, count)
			}
			if group.Pick(source(1), at, nil) == nil {
				t.Fatal("no host left")
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	index := NewIndex(self, members(50, "v1", "v2"), nil)
	plan := NewPlan(Input{Split: split(map[string]int{"v1": 9000, "v2": 1000}, nil), Index: index})
	random := source(1)
	b.ReportAllocs()
	for b.Loop() {
		endpoint := plan.Choose(random).Group.Pick(random, now, nil)
		endpoint.Begin()
		endpoint.End()
	}
}
