package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// readyKnownWithin is the time within which every host knows that others are ready. It is that in
// which a change of the configuration is in force everywhere; a rollout may last little longer.
const readyKnownWithin = 12 * time.Second

// A new version of a large service starts half as many hosts again as the fleet has. They join, state
// that their targets are cold, and three seconds later that they are ready.
func TestManyJoiningHostsAreKnownInTime(t *testing.T) {
	const zones, size, joining = 5, 39, 19
	for seed := range uint64(3) {
		is := is.New(t)
		net := newNetwork(seed, zones, size)
		net.run(time.Minute)
		fleet := len(net.peers)
		for zone := range zones {
			for i := size; i < size+joining; i++ {
				net.start(zone, i)
			}
		}
		joined := net.peers[fleet:]
		announce := func(state TargetState) {
			for _, p := range joined {
				net.send(p, p.node.SetTargets(net.now(), []Target{{Service: "desk", Version: "v2", Slots: 12, State: state}}))
			}
		}
		net.run(time.Second)
		announce(TargetCold)
		net.run(3 * time.Second)
		announce(TargetReady)
		took, ok := net.runUntil(readyKnownWithin, func() bool {
			return net.allMembers(func(members []Member) bool {
				ready := 0
				for _, m := range members {
					for _, target := range m.Targets {
						if target.Version == "v2" && target.State == TargetReady {
							ready++
						}
					}
				}
				return ready == len(joined)
			})
		})
		t.Logf("seed %d: %v", seed, took)
		is.True(ok)
	}
}
