package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// stepDuration is the resolution of virtual time; every packet takes one step.
const stepDuration = 50 * time.Millisecond

// startTime is the start of virtual time.
var startTime = time.Unix(1_000_000, 0)

// deliveryFunc decides on the delivery of one packet. It returns one number of steps for each
// copy that arrives; no copy means that the packet is lost.
type deliveryFunc func(net *network, from, to *peer) []int

// peer is one host of a network. While down or paused it neither ticks nor receives.
type peer struct {
	node   *Node
	record Record
	down   bool
	paused bool
	phase  int
}

// delivery is a packet in flight.
type delivery struct {
	to      string
	message Message
}

// network passes packets between nodes in virtual time.
type network struct {
	cfg      Config
	peers    []*peer
	byAddr   map[string]*peer
	inFlight map[int][]delivery
	step     int
	seeds    []string
	random   *rand.Rand
	deliver  deliveryFunc
	onOutput func(at *peer, out *Output)
}

func hostName(zone, i int) string { return fmt.Sprintf("host-%d-%03d", zone, i) }

func addressOf(zone, i int) string { return fmt.Sprintf("10.%d.0.%d:7946", zone, i) }

// newNetwork starts zones of equal size. The seeds of every node are the first hosts of each
// zone.
func newNetwork(seed uint64, zones, size int) *network {
	net := &network{
		cfg:      DefaultConfig(time.Second),
		byAddr:   make(map[string]*peer),
		inFlight: make(map[int][]delivery),
		random:   rand.New(rand.NewPCG(seed, 1)),
	}
	for zone := range zones {
		for i := range min(3, size) {
			net.seeds = append(net.seeds, addressOf(zone, i))
		}
	}
	for zone := range zones {
		for i := range size {
			net.start(zone, i)
		}
	}
	return net
}

// start adds a peer to a zone and starts its node.
func (net *network) start(zone, i int) {
	address := addressOf(zone, i)
	record := Record{
		Host:          hostName(zone, i),
		Zone:          fmt.Sprintf("zone-%d", zone),
		Region:        "region",
		Incarnation:   uint64(net.now().UnixNano()),
		GossipAddress: address,
		Targets:       []Target{{Service: "desk", Version: "v1", Slots: 12, State: TargetReady}},
	}
	p := &peer{record: record, phase: net.random.IntN(4)}
	net.byAddr[address] = p
	net.peers = append(net.peers, p)
	net.restart(p)
}

// restart gives a peer a new node with a new incarnation that knows only the seeds.
func (net *network) restart(p *peer) {
	p.down = false
	p.record.Incarnation = uint64(net.now().UnixNano())
	p.node = New(net.cfg, p.record, net.random.Uint64(), net.now())
	p.node.SetSeeds(net.seeds)
}

func (net *network) now() time.Time { return startTime.Add(time.Duration(net.step) * stepDuration) }

// run advances virtual time by d.
func (net *network) run(d time.Duration) {
	for range d / stepDuration {
		net.advance()
	}
}

// runUntil runs until a condition holds, for at most limit. It returns the elapsed time and
// whether the condition holds.
func (net *network) runUntil(limit time.Duration, holds func() bool) (time.Duration, bool) {
	start := net.now()
	for net.now().Sub(start) < limit {
		if holds() {
			return net.now().Sub(start), true
		}
		net.run(200 * time.Millisecond)
	}
	return limit, holds()
}

// advance delivers the packets of the next step and ticks the peers that are due.
func (net *network) advance() {
	net.step++
	arrived := net.inFlight[net.step]
	delete(net.inFlight, net.step)
	for _, d := range arrived {
		if to := net.byAddr[d.to]; to != nil && !to.down && !to.paused {
			net.send(to, to.node.Receive(net.now(), d.message))
		}
	}
	for _, p := range net.peers {
		if !p.down && !p.paused && net.step%4 == p.phase {
			net.send(p, p.node.Tick(net.now()))
		}
	}
}

// send puts the packets of an output in flight.
func (net *network) send(from *peer, out Output) {
	if net.onOutput != nil {
		net.onOutput(from, &out)
	}
	for _, packet := range out.Packets {
		to := net.byAddr[packet.To]
		if to == nil {
			continue
		}
		steps := []int{1}
		if net.deliver != nil {
			steps = net.deliver(net, from, to)
		}
		for _, s := range steps {
			net.inFlight[net.step+s] = append(net.inFlight[net.step+s], delivery{packet.To, packet.Message})
		}
	}
}

// allMembers reports whether the member lists of all running peers satisfy holds.
func (net *network) allMembers(holds func(members []Member) bool) bool {
	for _, p := range net.peers {
		if !p.down && !holds(p.node.Members()) {
			return false
		}
	}
	return true
}

// allAlive reports whether every running peer has every peer in its table as alive.
func (net *network) allAlive() bool {
	for _, p := range net.peers {
		if !p.down && !p.hasAllAlive(len(net.peers)) {
			return false
		}
	}
	return true
}

// hasAllAlive reports whether the peer's table has count members, all alive. It does not build
// the member list, which is slow for many hosts.
func (p *peer) hasAllAlive(count int) bool {
	if len(p.node.table.hosts) != count {
		return false
	}
	for _, e := range p.node.table.hosts {
		if e.status != Alive || p.node.links.unreachable[e.record.Zone] {
			return false
		}
	}
	return true
}

// converge runs until every peer has all peers as alive, for at most a minute.
func (net *network) converge(t *testing.T) {
	t.Helper()
	if elapsed, ok := net.runUntil(time.Minute, net.allAlive); !ok {
		t.Fatalf("member lists differ after %v", elapsed)
	}
}

// dropShare drops a random share of the packets.
func dropShare(share float64) deliveryFunc {
	return func(net *network, _, _ *peer) []int {
		if net.random.Float64() < share {
			return nil
		}
		return []int{1}
	}
}

// partition drops the packets between the peers of a group and the others.
func partition(inside func(*peer) bool) deliveryFunc {
	return func(_ *network, from, to *peer) []int {
		if inside(from) != inside(to) {
			return nil
		}
		return []int{1}
	}
}

// reorderAndDuplicate delivers each packet up to 5 s late, one in three twice.
func reorderAndDuplicate(net *network, _, _ *peer) []int {
	steps := []int{1 + net.random.IntN(100)}
	if net.random.IntN(3) == 0 {
		steps = append(steps, 1+net.random.IntN(100))
	}
	return steps
}
