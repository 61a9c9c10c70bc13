package controller

import (
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
)

// fixedMembers is a membership that does not change.
type fixedMembers []gossip.Member

func (f fixedMembers) Members() []gossip.Member { return f }

// Guards against a rollout that is completed, so that the old targets end, because of new ones in an evacuated zone
// that carry no requests.
func TestRolloutReliesOnNoEvacuatedHost(t *testing.T) {
	is := is.New(t)
	member := func(host, zone string) gossip.Member {
		return gossip.Member{Record: gossip.Record{Host: host, Zone: zone, Targets: []gossip.Target{{Service: "desk", Version: "v2", Slots: 6, State: gossip.TargetReady}}}}
	}
	config := Config{Members: fixedMembers{member("a1", "a"), member("b1", "b"), member("b2", "b")}}
	ready := func() (hosts, slots int) {
		return readyHosts(config.serving(), func(gossip.Target) bool { return true })
	}
	hosts, slots := ready()
	is.Equal(hosts, 3)
	is.Equal(slots, 18)
	config.Evacuated = func(zone string) bool { return zone == "b" }
	hosts, slots = ready()
	is.Equal(hosts, 1)
	is.Equal(slots, 6)
}
