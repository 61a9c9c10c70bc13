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

func TestTripStopsTheMovingVersion(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testSettings(), nil, map[string]exchangeOn{"a0": answers(200, "old"), "a1": answers(200, "new")})
	w.entry.OnMembers([]gossip.Member{hostMember("a0", "a", "v1"), hostMember("a1", "a", "v2")})
	split := func(ticket uint64) *revision.Snapshot {
		return put(t, w.configuration.Load(), revision.Resource{Split: &revision.Split{
			Service: "orders",
			Shares:  []revision.Share{{Version: "v1", Weight: 0}, {Version: "v2", Weight: revision.FullShare}},
			Rollout: &revision.Rollout{Ticket: ticket, From: "v1", To: "v2", Target: revision.FullShare, By: time.Now().Add(time.Hour)},
		}})
	}
	get := func() string {
		answer, err := w.client.Get(w.url + "/order")
		is.NoErr(err)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		return string(body)
	}
	is.Equal(get(), "old")
	w.configuration.Store(split(7))
	is.Equal(get(), "new")
	w.entry.SetTripped("orders", "v2", 7)
	is.Equal(get(), "old")
	w.configuration.Store(split(8)) // another move is not covered by the trip
	is.Equal(get(), "new")
	w.entry.OnMembers([]gossip.Member{hostMember("a0", "a", "v1")})
	is.Equal(get(), "old") // no target of the new version is known
}

func TestRefusedByMovingVersionRunsOnTheStableOne(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testSettings(), nil, map[string]exchangeOn{
		"a0": answers(200, "old"),
		"a1": refuses(peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED),
		"a2": refuses(peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED),
	})
	w.entry.OnMembers([]gossip.Member{hostMember("a0", "a", "v1"), hostMember("a1", "a", "v2"), hostMember("a2", "a", "v2")})
	w.configuration.Store(put(t, w.configuration.Load(), revision.Resource{Split: &revision.Split{
		Service: "orders",
		Shares:  []revision.Share{{Version: "v1", Weight: 0}, {Version: "v2", Weight: revision.FullShare}},
		Rollout: &revision.Rollout{Ticket: 3, From: "v1", To: "v2", Target: revision.FullShare, By: time.Now().Add(time.Hour)},
	}}))
	answer, err := w.client.Post(w.url+"/order", "text/plain", strings.NewReader("a swan"))
	is.NoErr(err)
	body, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	is.Equal(string(body), "old")
	is.Equal(w.hosts.runs(), 2)
}

// The retries of all daemons together stay within the fleet's reserve, also while a
// cut keeps them from seeing each other.
func TestFleetReserveIsDividedOverKnownDaemons(t *testing.T) {
	is := is.New(t)
	const fleet, reserve = 12, 60
	var members []gossip.Member
	for i := range fleet {
		members = append(members, hostMember(fmt.Sprint("a", i), "a", "v1"))
	}
	r := newRouting(balance.Place{Host: "a0", Zone: "a"}, settings.Retry{Share: 0.1, FleetReserve: reserve}, 0)
	r.setMembers(members)
	is.Equal(r.limits().Reserve, reserve/fleet)
	for i := range members[4:] {
		members[4+i].Status = gossip.Dead
	}
	r.setMembers(members)
	is.True(fleet*r.limits().Reserve <= reserve)
}

// A version that appears beside another one gets no calls of any version until the
// order of its move would be in force, without a further change of the members.
func TestNewVersionIsHeldBackForATime(t *testing.T) {
	is := is.New(t)
	const hold = 150 * time.Millisecond
	r := newRouting(balance.Place{Host: "a0", Zone: "a"}, settings.Default().Entry.Retry, hold)
	old, fresh := hostMember("a0", "a", "v1"), hostMember("a1", "a", "v2")
	r.setMembers([]gossip.Member{old})
	time.Sleep(2 * hold) // the daemon itself is no newcomer any more
	r.setMembers([]gossip.Member{old, fresh})
	appeared := time.Now()
	is.Equal(r.index.Load().Except("orders", nil).Size(), 1)
	is.Equal(r.index.Load().Group("orders", "v2").Size(), 1) // a share of its own is not held
	waitFor(t, func() bool { return r.index.Load().Except("orders", nil).Size() == 2 })
	is.True(time.Since(appeared) >= hold)
}
