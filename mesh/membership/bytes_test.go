package membership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
)

const (
	// controlLimit is the limit of a daemon's control traffic, in bytes per second, sent and
	// received together; idleLimit is the part of it for gossip without changes.
	controlLimit = 5000
	idleLimit    = 2500
	// timeStep is the resolution of virtual time; each packet is delivered after one step.
	timeStep     = 50 * time.Millisecond
	stepsPerTick = 4
)

// countedNode is one node with the bytes that it sent and received.
type countedNode struct {
	node   *gossip.Node
	record gossip.Record
	bytes  int
}

// fleet passes encoded datagrams between nodes in virtual time.
type fleet struct {
	now     time.Time
	step    int
	random  *rand.Rand
	nodes   []*countedNode
	byAddr  map[string]*countedNode
	seeds   []string
	packets []gossip.Packet
}

func newFleet(zones, size int) *fleet {
	f := &fleet{
		now:    time.Unix(1_790_000_000, 0),
		random: rand.New(rand.NewPCG(1, 1)),
		byAddr: make(map[string]*countedNode),
	}
	for i := range zones * size {
		zone := i % zones
		address := fmt.Sprintf("10.%d.%d.%d", 20+zone, i/250, i%250)
		c := &countedNode{record: gossip.Record{
			Host:          fmt.Sprintf("worker-%03d", i),
			Zone:          fmt.Sprintf("casa-%c", 'a'+zone),
			Region:        "casa",
			PeerAddress:   address + ":7001",
			GossipAddress: address + ":7002",
			AdminAddress:  address + ":7003",
			Targets:       []gossip.Target{{Service: fmt.Sprintf("service-%02d", i%89), Version: "2026-11-30.1", Slots: 9, State: gossip.TargetReady}},
		}}
		f.nodes = append(f.nodes, c)
		f.byAddr[c.record.GossipAddress] = c
		f.seeds = append(f.seeds, c.record.GossipAddress)
	}
	for _, c := range f.nodes {
		f.startNode(c)
	}
	return f
}

// startNode starts c with a new incarnation; it knows only the seeds.
func (f *fleet) startNode(c *countedNode) {
	c.record.Incarnation = uint64(f.now.UnixNano())
	c.node = gossip.New(gossip.DefaultConfig(time.Second), c.record, f.random.Uint64(), f.now)
	c.node.SetSeeds(f.seeds)
}

func (f *fleet) run(tb testing.TB, d time.Duration) {
	for range d / timeStep {
		f.advance(tb)
	}
}

func (f *fleet) advance(tb testing.TB) {
	f.step++
	f.now = f.now.Add(timeStep)
	arrived := f.packets
	f.packets = nil
	for i := range arrived {
		f.deliver(tb, &arrived[i])
	}
	for i, c := range f.nodes {
		if (f.step+i)%stepsPerTick == 0 {
			f.packets = append(f.packets, c.node.Tick(f.now).Packets...)
		}
	}
}

// deliver encodes and decodes a packet, counts it at both ends and passes it to the receiver.
func (f *fleet) deliver(tb testing.TB, p *gossip.Packet) {
	data, err := Encode(&p.Message)
	if err != nil {
		tb.Fatal(err)
	}
	if bound := p.Message.Size(); len(data) > bound {
		tb.Fatalf("%T encodes to %d bytes, above the %d of Message.Size", p.Message.Body, len(data), bound)
	}
	message, err := Decode(data)
	if err != nil {
		tb.Fatal(err)
	}
	to := f.byAddr[p.To]
	f.byAddr[message.From.Address].bytes += len(data) + packetOverhead
	to.bytes += len(data) + packetOverhead
	f.packets = append(f.packets, to.node.Receive(f.now, message).Packets...)
}

// rates resets the counters, runs for d and returns bytes per second, sent and received together:
// the mean over the members and the largest of one member.
func (f *fleet) rates(tb testing.TB, d time.Duration) (mean, largest float64) {
	for _, c := range f.nodes {
		c.bytes = 0
	}
	f.run(tb, d)
	for _, c := range f.nodes {
		rate := float64(c.bytes) / d.Seconds()
		mean += rate / float64(len(f.nodes))
		largest = max(largest, rate)
	}
	return mean, largest
}

// converged reports whether all nodes list all others as alive in their current incarnation.
func (f *fleet) converged() bool {
	for i := range f.nodes { // the node started last is the likeliest to lack a member
		members := f.nodes[len(f.nodes)-1-i].node.Members()
		if len(members) != len(f.nodes) {
			return false
		}
		for i := range members {
			if members[i].Status != gossip.Alive || members[i].Incarnation != f.nodes[i].record.Incarnation {
				return false
			}
		}
	}
	return true
}

// converge runs until the member lists have converged and returns the virtual time that passed.
func (f *fleet) converge(tb testing.TB) time.Duration {
	start := f.now
	for !f.converged() {
		f.run(tb, time.Second)
		if f.now.Sub(start) > 2*time.Minute {
			tb.Fatal("member lists have not converged after 2 minutes")
		}
	}
	return f.now.Sub(start)
}

// restartThird replaces every third node by a new one that knows only the seeds.
func (f *fleet) restartThird() {
	for i := 0; i < len(f.nodes); i += 3 {
		f.startNode(f.nodes[i])
	}
}

var fleetSizes = []struct{ zones, size int }{{1, 40}, {1, 143}, {4, 143}}

// Control traffic must stay within its limits when idle and after many nodes restart at once.
func TestControlBytesStayInBudget(t *testing.T) {
	for _, tt := range fleetSizes {
		t.Run(fmt.Sprint(tt.zones*tt.size), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(tt.zones, tt.size)
			coldStart := f.converge(t)
			f.run(t, 30*time.Second)
			idle, idleMax := f.rates(t, time.Minute)
			f.restartThird()
			restarted, restartedMax := f.rates(t, time.Minute)
			is.True(f.converged())
			t.Logf("cold start %v; B/s per member, mean and largest: idle %.0f, %.0f; in the minute after a third restarted %.0f, %.0f",
				coldStart, idle, idleMax, restarted, restartedMax)
			is.True(idleMax < idleLimit)
			is.True(restartedMax < controlLimit)
		})
	}
}

// BenchmarkMember reports the cost of one member by the size of the fleet: bytes and processor time
// per virtual second, with the codec but without system calls, and heap.
func BenchmarkMember(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size.zones*size.size), func(b *testing.B) {
			before := heapBytes()
			f := newFleet(size.zones, size.size)
			f.converge(b)
			f.run(b, 30*time.Second)
			members := float64(len(f.nodes))
			heapKiB := float64(heapBytes()-before) / 1024
			var bytes, seconds float64
			for b.Loop() {
				mean, _ := f.rates(b, time.Second)
				bytes += mean
				seconds++
			}
			b.ReportMetric(heapKiB/members, "KiB/member")
			b.ReportMetric(bytes/seconds, "B/member-s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/members/seconds, "µs/member-s")
		})
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
