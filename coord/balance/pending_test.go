package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
)

// Guards against requests to a version whose targets are known on this daemon before the ticket
// that rolls it out. A version that was observed before, or is the only one of its service, must
// not be pending.
func TestNewVersionsAreHeldBack(t *testing.T) {
	const holdTime = 2 * time.Second
	leaving := member("a0", "a", "west", "v1")
	leaving.Targets[0].State = gossip.TargetLeaving
	v1, v2 := member("a0", "a", "west", "v1"), member("a1", "a", "west", "v2")
	type update struct {
		at      time.Duration
		members []gossip.Member
		pending int
		next    time.Duration
	}
	cases := []struct {
		name    string
		updates []update
	}{
		{"with another version present", []update{
			{0, []gossip.Member{v1}, 0, 0},
			{10 * time.Second, []gossip.Member{v1, v2}, 1, holdTime},
			{11 * time.Second, []gossip.Member{v1, v2}, 1, time.Second},
			{12 * time.Second, []gossip.Member{v1, v2}, 0, 0},
		}},
		{"shortly after the start of this daemon", []update{
			{0, []gossip.Member{v1}, 0, 0},
			{time.Second, []gossip.Member{v1, v2}, 0, 0},
		}},
		{"the only version of its service", []update{
			{10 * time.Second, []gossip.Member{v2}, 0, 0},
		}},
		{"the only one remaining", []update{
			{0, []gossip.Member{v1}, 0, 0},
			{10 * time.Second, []gossip.Member{v1, v2}, 1, holdTime},
			{11 * time.Second, []gossip.Member{leaving, v2}, 0, 0},
		}},
		{"absent and present again", []update{
			{0, []gossip.Member{v1, v2}, 0, 0},
			{10 * time.Second, []gossip.Member{v1}, 0, 0},
			{11 * time.Second, []gossip.Member{v1, v2}, 0, 0},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPendingVersions(holdTime, 0)
			for _, u := range c.updates {
				pending, next := p.Update(u.members, u.at)
				is.Equal(len(pending), u.pending)
				is.Equal(next, u.next)
			}
		})
	}
}

// A pending version receives no requests from a share for revision.AnyVersion, but those of a
// share of its own.
func TestPendingVersionsGetOnlyTheirOwnShare(t *testing.T) {
	is := is.New(t)
	const service = "orders"
	all := []gossip.Member{member("a0", "a", "west", "v1"), member("a1", "a", "west", "v2")}
	index := NewIndex(self, all, nil).WithPending([]VersionKey{{service, "v2"}})
	is.Equal(index.GroupExcept(service, nil).Size(), 1)
	split := &revision.Split{Service: service, Shares: []revision.Share{{Version: "v2", Weight: revision.FullShare}}}
	is.Equal(NewPlan(PlanInput{Split: split, Index: index}).Choose(source(1)).Version, "v2")
}
