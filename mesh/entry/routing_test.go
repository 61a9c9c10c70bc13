package entry

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

func TestHaltStopsTheNewVersionOfARollout(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testSettings(), nil, map[string]hostHandler{"a0": respondsWith(200, "old"), "a1": respondsWith(200, "new")})
	f.entry.SetMembers([]gossip.Member{hostMember("a0", "a", "v1"), hostMember("a1", "a", "v2")})
	split := func(ticket uint64) *revision.Snapshot {
		return applyChange(t, f.configuration.Load(), revision.Resource{Split: &revision.Split{
			Service: "orders",
			Shares:  []revision.Share{{Version: "v1", Weight: 0}, {Version: "v2", Weight: revision.FullShare}},
			Rollout: &revision.Rollout{Ticket: ticket, From: "v1", To: "v2", Target: revision.FullShare, By: time.Now().Add(time.Hour)},
		}})
	}
	get := func() string {
		response, err := f.client.Get(f.url + "/order")
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return string(body)
	}
	is.Equal(get(), "old")
	f.configuration.Store(split(7))
	is.Equal(get(), "new")
	f.entry.SetHalted("orders", "v2", 7)
	is.Equal(get(), "old")
	f.configuration.Store(split(8)) // the halt does not cover another rollout
	is.Equal(get(), "new")
	f.entry.SetMembers([]gossip.Member{hostMember("a0", "a", "v1")})
	is.Equal(get(), "old") // no target of the new version is known
}

func TestHaltOfAnEarlierRolloutDoesNotEndALaterOne(t *testing.T) {
	is := is.New(t)
	r := newRouting(balance.Locality{}, testSettings().Retry, time.Second)
	r.setHalted("orders", "v3", 8)
	r.setHalted("orders", "v2", 7) // arrives late, as after a restart of this host
	is.True((*r.halts.Load())["orders"].covers(&revision.Rollout{Ticket: 8, To: "v3"}))
	r.setHalted("orders", "v4", 9)
	is.True((*r.halts.Load())["orders"].covers(&revision.Rollout{Ticket: 9, To: "v4"}))
}

func TestRefusedByNewVersionRunsOnTheStableOne(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testSettings(), nil, map[string]hostHandler{
		"a0": respondsWith(200, "old"),
		"a1": refusesWith(peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED),
		"a2": refusesWith(peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED),
	})
	f.entry.SetMembers([]gossip.Member{hostMember("a0", "a", "v1"), hostMember("a1", "a", "v2"), hostMember("a2", "a", "v2")})
	f.configuration.Store(applyChange(t, f.configuration.Load(), revision.Resource{Split: &revision.Split{
		Service: "orders",
		Shares:  []revision.Share{{Version: "v1", Weight: 0}, {Version: "v2", Weight: revision.FullShare}},
		Rollout: &revision.Rollout{Ticket: 3, From: "v1", To: "v2", Target: revision.FullShare, By: time.Now().Add(time.Hour)},
	}}))
	response, err := f.client.Post(f.url+"/order", "text/plain", strings.NewReader("a swan"))
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "old")
	is.Equal(f.hosts.dispatched(), 2)
}

// The retries of all daemons together stay within the fleet's reserve, also while a network
// partition makes members appear dead.
func TestFleetReserveIsDividedOverKnownDaemons(t *testing.T) {
	is := is.New(t)
	const fleet, reserve = 12, 60
	var members []gossip.Member
	for i := range fleet {
		members = append(members, hostMember(fmt.Sprint("a", i), "a", "v1"))
	}
	r := newRouting(balance.Locality{Host: "a0", Zone: "a"}, settings.Retry{Share: 0.1, FleetReserve: reserve}, 0)
	r.setMembers(members)
	is.Equal(r.limits().Reserve, float64(reserve)/fleet)
	for i := range members[4:] {
		members[4+i].Status = gossip.Dead
	}
	r.setMembers(members)
	is.True(fleet*r.limits().Reserve <= reserve)
}

// A version that appears beside another one receives no requests that may run on any
// version until the ticket of its rollout would be in force. The hold ends without a further
// change of the member list.
func TestNewVersionIsHeldBackForATime(t *testing.T) {
	is := is.New(t)
	const hold = 150 * time.Millisecond
	r := newRouting(balance.Locality{Host: "a0", Zone: "a"}, settings.Default().Entry.Retry, hold)
	old, fresh := hostMember("a0", "a", "v1"), hostMember("a1", "a", "v2")
	r.setMembers([]gossip.Member{old})
	time.Sleep(2 * hold) // the first version is no longer pending
	r.setMembers([]gossip.Member{old, fresh})
	appeared := time.Now()
	is.Equal(r.index.Load().GroupExcept("orders", nil).Size(), 1)
	is.Equal(r.index.Load().Group("orders", "v2").Size(), 1) // a share of its own is not held back
	waitFor(t, func() bool { return r.index.Load().GroupExcept("orders", nil).Size() == 2 })
	is.True(time.Since(appeared) >= hold)
}
