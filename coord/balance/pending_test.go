package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
)

func TestNewVersionsAreHeldBack(t *testing.T) {
	const hold = 2 * time.Second
	leaving := member("a0", "a", "west", "v1")
	leaving.Targets[0].State = gossip.TargetLeaving
	v1, v2 := member("a0", "a", "west", "v1"), member("a1", "a", "west", "v2")
	type view struct {
		at      time.Duration
		members []gossip.Member
		held    int
		next    time.Duration
	}
	cases := []struct {
		name  string
		views []view
	}{
		{"beside another one", []view{
			{0, []gossip.Member{v1}, 0, 0},
			{10 * time.Second, []gossip.Member{v1, v2}, 1, hold},
			{11 * time.Second, []gossip.Member{v1, v2}, 1, time.Second},
			{12 * time.Second, []gossip.Member{v1, v2}, 0, 0},
		}},
		{"while this daemon is new itself", []view{
			{0, []gossip.Member{v1}, 0, 0},
			{time.Second, []gossip.Member{v1, v2}, 0, 0},
		}},
		{"as the only one of its service", []view{
			{10 * time.Second, []gossip.Member{v2}, 0, 0},
		}},
		{"as the last one left", []view{
			{0, []gossip.Member{v1}, 0, 0},
			{10 * time.Second, []gossip.Member{v1, v2}, 1, hold},
			{11 * time.Second, []gossip.Member{leaving, v2}, 0, 0},
		}},
		{"that left and came back", []view{
			{0, []gossip.Member{v1, v2}, 0, 0},
			{10 * time.Second, []gossip.Member{v1}, 0, 0},
			{11 * time.Second, []gossip.Member{v1, v2}, 0, 0},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := NewPendingVersions(hold, 0)
			for _, v := range c.views {
				held, next := n.Update(v.members, v.at)
				is.Equal(len(held), v.held)
				is.Equal(next, v.next)
			}
		})
	}
}

// A version that is held back gets nothing of a share for any version, and its own
// share all the same.
func TestHeldVersionsGetOnlyTheirOwnShare(t *testing.T) {
	is := is.New(t)
	const service = "orders"
	all := []gossip.Member{member("a0", "a", "west", "v1"), member("a1", "a", "west", "v2")}
	index := NewIndex(self, all, nil).WithPending([]VersionKey{{service, "v2"}})
	is.Equal(index.GroupExcept(service, nil).Size(), 1)
	named := &revision.Split{Service: service, Shares: []revision.Share{{Version: "v2", Weight: revision.FullShare}}}
	is.Equal(NewPlan(PlanInput{Split: named, Index: index}).Choose(source(1)).Version, "v2")
}
