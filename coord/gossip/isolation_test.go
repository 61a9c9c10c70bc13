package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// isolationKnownWithin is the time within which a host knows that it is cut off, and that it is not
// any more: the isolation timeout and the arrival of the last or first message.
const isolationKnownWithin = 3 * time.Second

func (net *network) isolated() (hosts int) {
	for _, p := range net.peers {
		if !p.down && p.node.Isolated(net.now()) {
			hosts++
		}
	}
	return hosts
}

// Hosts that are cut off one by one know it soon, at a third of a zone too, and take no time to know
// that the cut is over.
func TestHostsThatAreCutOffAreIsolated(t *testing.T) {
	for _, cut := range []int{1, 13} {
		is := is.New(t)
		net := newNetwork(uint64(cut), 3, 39)
		net.converge(t)
		cutOff := func(p *peer) bool { return p.record.Zone == "zone-1" && p.record.Host < hostName(1, cut) }
		net.deliver = func(_ *network, from, to *peer) []int {
			if cutOff(from) || cutOff(to) {
				return nil
			}
			return []int{1}
		}
		net.run(isolationKnownWithin)
		for range 60 {
			for _, p := range net.peers {
				is.Equal(p.node.Isolated(net.now()), cutOff(p))
			}
			net.run(time.Second)
		}
		net.deliver = nil
		net.run(isolationKnownWithin)
		is.Equal(net.isolated(), 0)
	}
}

// Hosts that reach the others of their zone, or lose many messages, or pause, are not isolated.
func TestHostsInTouchAreNotIsolated(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(net *network)
	}{
		{"no fault", func(*network) {}},
		{"a zone is cut off", func(net *network) { net.deliver = partition(inZone("zone-1")) }},
		{"a fifth of the messages is lost", func(net *network) { net.deliver = dropShare(0.2) }},
		{"a host pauses", func(net *network) {
			net.peers[5].paused = true
			net.run(10 * time.Second)
			net.peers[5].paused = false
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			net := newNetwork(1, 3, 12)
			net.converge(t)
			test.play(net)
			for range 300 {
				net.run(200 * time.Millisecond)
				is.Equal(net.isolated(), 0)
			}
		})
	}
}

// The survivor of a small fleet is not isolated: it serves on.
func TestSurvivorOfASmallFleetIsNotIsolated(t *testing.T) {
	is := is.New(t)
	net := newNetwork(1, 1, 3)
	net.converge(t)
	net.peers[1].down, net.peers[2].down = true, true
	for range 100 {
		net.run(200 * time.Millisecond)
		is.Equal(net.isolated(), 0)
	}
}
