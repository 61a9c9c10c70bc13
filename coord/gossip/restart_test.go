package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartedKnownWithin is the time within which hosts that restarted without seeds know an active
// member, in probe intervals: one until a bridge of another zone probes their zone, two for the
// probes within it, and one for the repair.
const restartedKnownWithin = 4

// TestRestartWithoutSeedsFindsTheSurvivor restarts all hosts but one, as after a loss of power while
// the store that lists the seeds is unavailable. The survivor knows their addresses; they know nobody.
func TestRestartWithoutSeedsFindsTheSurvivor(t *testing.T) {
	for _, size := range []struct{ zones, hosts int }{{3, 2}, {3, 4}, {5, 12}} {
		t.Run(fmt.Sprintf("%d zones of %d", size.zones, size.hosts), func(t *testing.T) {
			for seed := range uint64(20) {
				is := is.New(t)
				net := newNetwork(seed, size.zones, size.hosts)
				net.run(30 * time.Second)
				net.seeds = nil
				for _, p := range net.peers[1:] {
					net.restart(p)
				}
				took, ok := net.runUntil(restartedKnownWithin*net.cfg.ProbeInterval, func() bool {
					for _, p := range net.peers {
						if p.node.isAlone() {
							return false
						}
					}
					return true
				})
				t.Logf("seed %d: %v", seed, took)
				is.True(ok)
			}
		})
	}
}

// restartedCompleteWithin is the time within which hosts that restarted together know nearly all active
// members, in probe intervals: until then they refuse requests for the services that they know no host of.
const restartedCompleteWithin = 1.5

// TestHostsThatRestartTogetherFindTheOthers guards against a slow start of many hosts at once: two thirds of
// them are killed and start with the addresses of all, of which most know as little as they do.
func TestHostsThatRestartTogetherFindTheOthers(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		net := newNetwork(seed, 3, 29)
		net.run(30 * time.Second)
		var addresses []string
		for _, p := range net.peers {
			addresses = append(addresses, p.node.self.record.GossipAddress)
		}
		net.seeds = addresses
		var restarted []*peer
		for i, p := range net.peers {
			if i%3 != 0 {
				net.restart(p)
				restarted = append(restarted, p)
			}
		}
		interval := net.cfg.ProbeInterval
		took, ok := net.runUntil(time.Duration(restartedCompleteWithin*float64(interval)), func() bool {
			for _, p := range restarted {
				if known := len(p.node.Members()); known < len(net.peers)*9/10 {
					return false
				}
			}
			return true
		})
		t.Logf("seed %d: %v", seed, took)
		is.True(ok)
	}
}
