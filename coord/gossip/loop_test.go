package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// loopStep is the resolution of virtual time; every packet takes one step.
const loopStep = 50 * time.Millisecond

var loopStart = time.Unix(1_000_000, 0)

// fault decides on one packet: how many copies arrive, each after how many
// steps.
type fault func(l *loop, from, to *peer) []int

// peer is one node of a loop.
type peer struct {
	node   *Node
	record Record
	down   bool
	frozen bool
	phase  int
}

type delivery struct {
	to      string
	message Message
}

// loop passes packets between nodes in virtual time.
type loop struct {
	cfg     Config
	peers   []*peer
	byAddr  map[string]*peer
	flying  map[int][]delivery
	step    int
	seeds   []string
	random  *rand.Rand
	fault   fault
	watcher func(at *peer, out *Output)
}

func hostName(zone, i int) string { return fmt.Sprintf("host-%d-%03d", zone, i) }

func addressOf(zone, i int) string { return fmt.Sprintf("10.%d.0.%d:7946", zone, i) }

// newLoop starts zones of equal size whose members have the first hosts of each
// zone as seeds.
func newLoop(seed uint64, zones, size int) *loop {
	l := &loop{
		cfg:    DefaultConfig(time.Second),
		byAddr: make(map[string]*peer),
		flying: make(map[int][]delivery),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	for zone := range zones {
		for i := range min(3, size) {
			l.seeds = append(l.seeds, addressOf(zone, i))
		}
	}
	for zone := range zones {
		for i := range size {
			l.start(zone, i)
		}
	}
	return l
}

func (l *loop) start(zone, i int) {
	address := addressOf(zone, i)
	record := Record{
		Host:          hostName(zone, i),
		Zone:          fmt.Sprintf("zone-%d", zone),
		Region:        "region",
		Incarnation:   uint64(l.now().UnixNano()),
		GossipAddress: address,
		Targets:       []Target{{Service: "desk", Version: "v1", Slots: 12, State: TargetReady}},
	}
	p := &peer{record: record, phase: l.random.IntN(4)}
	l.byAddr[address] = p
	l.peers = append(l.peers, p)
	l.boot(p)
}

// boot gives a peer a new node that knows only seeds.
func (l *loop) boot(p *peer) {
	p.down = false
	p.record.Incarnation = uint64(l.now().UnixNano())
	p.node = New(l.cfg, p.record, l.random.Uint64(), l.now())
	p.node.SetSeeds(l.seeds)
}

func (l *loop) now() time.Time { return loopStart.Add(time.Duration(l.step) * loopStep) }

func (l *loop) run(d time.Duration) {
	for range d / loopStep {
		l.advance()
	}
}

// runUntil returns the time after which the condition held, at most limit.
func (l *loop) runUntil(limit time.Duration, holds func() bool) (time.Duration, bool) {
	start := l.now()
	for l.now().Sub(start) < limit {
		if holds() {
			return l.now().Sub(start), true
		}
		l.run(200 * time.Millisecond)
	}
	return limit, holds()
}

func (l *loop) advance() {
	l.step++
	arrived := l.flying[l.step]
	delete(l.flying, l.step)
	for _, d := range arrived {
		if to := l.byAddr[d.to]; to != nil && !to.down && !to.frozen {
			l.carry(to, to.node.Receive(l.now(), d.message))
		}
	}
	for _, p := range l.peers {
		if !p.down && !p.frozen && l.step%4 == p.phase {
			l.carry(p, p.node.Tick(l.now()))
		}
	}
}

// carry puts the packets of an output on their way.
func (l *loop) carry(from *peer, out Output) {
	if l.watcher != nil {
		l.watcher(from, &out)
	}
	for _, packet := range out.Packets {
		to := l.byAddr[packet.To]
		if to == nil {
			continue
		}
		steps := []int{1}
		if l.fault != nil {
			steps = l.fault(l, from, to)
		}
		for _, s := range steps {
			l.flying[l.step+s] = append(l.flying[l.step+s], delivery{packet.To, packet.Message})
		}
	}
}

// every reports whether the views of all running peers satisfy holds.
func (l *loop) every(holds func(view []Member) bool) bool {
	for _, p := range l.peers {
		if !p.down && !holds(p.node.Members()) {
			return false
		}
	}
	return true
}

func (l *loop) allAlive() bool {
	for _, p := range l.peers {
		if !p.down && !p.seesAllAlive(len(l.peers)) {
			return false
		}
	}
	return true
}

// seesAllAlive avoids building the view, which is slow for large fleets.
func (p *peer) seesAllAlive(count int) bool {
	if len(p.node.table.hosts) != count {
		return false
	}
	for _, e := range p.node.table.hosts {
		if e.status != Alive || p.node.links.down[e.record.Zone] {
			return false
		}
	}
	return true
}

// converge waits until all see all.
func (l *loop) converge(t *testing.T) {
	t.Helper()
	if took, ok := l.runUntil(time.Minute, l.allAlive); !ok {
		t.Fatalf("views differ after %v", took)
	}
}

func lose(share float64) fault {
	return func(l *loop, _, _ *peer) []int {
		if l.random.Float64() < share {
			return nil
		}
		return []int{1}
	}
}

// cut drops the packets between the peers of a group and the others.
func cut(inside func(*peer) bool) fault {
	return func(_ *loop, from, to *peer) []int {
		if inside(from) != inside(to) {
			return nil
		}
		return []int{1}
	}
}

// scramble duplicates packets and delivers each copy up to 5 s late.
func scramble(l *loop, _, _ *peer) []int {
	steps := []int{1 + l.random.IntN(100)}
	if l.random.IntN(3) == 0 {
		steps = append(steps, 1+l.random.IntN(100))
	}
	return steps
}
