package balance

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
)

// Guards against a request that is sent to a host of a region that its route or its tenant does not allow, also
// where the drawn version has no other host.
func TestChoiceWithinRegions(t *testing.T) {
	member := func(host, region, version string) gossip.Member {
		return gossip.Member{Record: gossip.Record{Host: host, Zone: host[:1], Region: region,
			Targets: []gossip.Target{{Service: "desk", Version: version, Slots: 4, State: gossip.TargetReady}}}}
	}
	index := NewIndex(Locality{Host: "a1", Zone: "a", Region: "north"}, []gossip.Member{
		member("a1", "north", "v1"), member("b1", "south", "v1"), member("c1", "west", "v1"), member("c2", "west", "v2"), member("d1", "", "v1"),
	}, nil)
	rollout := &revision.Rollout{From: "v1", To: "v2"}
	for _, c := range []struct {
		name          string
		version       string
		route, tenant []string
		want          []string
	}{
		{"no lists", "v1", nil, nil, []string{"a1", "b1", "c1", "d1"}},
		{"route", "v1", []string{"south", "west"}, nil, []string{"b1", "c1"}},
		{"tenant", "v1", nil, []string{"north"}, []string{"a1"}},
		{"both bind", "v1", []string{"south", "west"}, []string{"west", "north"}, []string{"c1"}},
		{"nothing in common", "v1", []string{"south"}, []string{"north"}, nil},
		{"unknown region", "v1", []string{"east"}, nil, nil},
		{"new version elsewhere, the stable one stands in", "v2", []string{"south"}, nil, []string{"b1"}},
		{"new version there", "v2", []string{"west"}, nil, []string{"c2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			split := &revision.Split{Service: "desk", Shares: []revision.Share{{Version: c.version, Weight: revision.FullShare}}, Rollout: rollout}
			choice := NewPlan(PlanInput{Split: split, Index: index}).Choose(fixedSource(0)).Within(c.route, c.tenant)
			var hosts []string
			if choice != nil {
				for _, endpoint := range choice.Group.Endpoints() {
					hosts = append(hosts, endpoint.Host)
				}
			}
			slices.Sort(hosts)
			is.Equal(hosts, c.want)
			if choice != nil && choice.Stable != nil {
				for _, endpoint := range choice.Stable.Group.Endpoints() {
					is.True(allowed(endpoint.Region, [][]string{c.route, c.tenant}))
				}
			}
		})
	}
}

// fixedSource is a Source of one value.
type fixedSource uint64

func (f fixedSource) Uint64() uint64 { return uint64(f) }
