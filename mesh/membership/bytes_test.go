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
	// controlLimit is what a daemon may spend on control, in bytes a second,
	// sent and received together; idleAim is the part meant for idle gossip.
	controlLimit = 5000
	idleAim      = 2500
	// fleetStep is the resolution of virtual time; each packet takes one step.
	fleetStep    = 50 * time.Millisecond
	stepsPerTick = 4
)

// counted is one node with the bytes that it sent and received.
type counted struct {
	node   *gossip.Node
	record gossip.Record
	bytes  int
}

// fleet passes encoded datagrams between nodes in virtual time.
type fleet struct {
	now     time.Time
	step    int
	random  *rand.Rand
	nodes   []*counted
	byAddr  map[string]*counted
	seeds   []string
	packets []gossip.Packet
}

func newFleet(zones, size int) *fleet {
	f := &fleet{
		now:    time.Unix(1_790_000_000, 0),
		random: rand.New(rand.NewPCG(1, 1)),
		byAddr: make(map[string]*counted),
	}
	for i := range zones * size {
		zone := i % zones
		address := fmt.Sprintf("10.%d.%d.%d", 20+zone, i/250, i%250)
		c := &counted{record: gossip.Record{
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
		f.boot(c)
	}
	return f
}

func (f *fleet) boot(c *counted) {
	c.record.Incarnation = uint64(f.now.UnixNano())
	c.node = gossip.New(gossip.DefaultConfig(time.Second), c.record, f.random.Uint64(), f.now)
	c.node.SetSeeds(f.seeds)
}

func (f *fleet) run(tb testing.TB, d time.Duration) {
	for range d / fleetStep {
		f.advance(tb)
	}
}

func (f *fleet) advance(tb testing.TB) {
	f.step++
	f.now = f.now.Add(fleetStep)
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

// deliver takes a packet through the codec and counts it on both sides.
func (f *fleet) deliver(tb testing.TB, p *gossip.Packet) {
	data, err := Encode(&p.Message)
	if err != nil {
		tb.Fatal(err)
	}
	if bound := p.Message.Size(); len(data) > bound {
		tb.Fatalf("%T takes %d bytes, above its bound of %d", p.Message.Body, len(data), bound)
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

// rates resets the counters, runs and returns bytes a second, sent and received
// together: the mean over the members and the largest of one member.
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

func (f *fleet) whole() bool {
	for i := range f.nodes { // the youngest is the likeliest to lack something
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

func (f *fleet) converge(tb testing.TB) time.Duration {
	start := f.now
	for !f.whole() {
		f.run(tb, time.Second)
		if f.now.Sub(start) > 2*time.Minute {
			tb.Fatal("views differ after 2 minutes")
		}
	}
	return f.now.Sub(start)
}

// restartThird replaces every third node by one that knows only seeds.
func (f *fleet) restartThird() {
	for i := 0; i < len(f.nodes); i += 3 {
		f.boot(f.nodes[i])
	}
}

var fleetSizes = []struct{ zones, size int }{{1, 40}, {1, 143}, {4, 143}}

func TestControlBytesStayInBudget(t *testing.T) {
	for _, tt := range fleetSizes {
		t.Run(fmt.Sprint(tt.zones*tt.size), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(tt.zones, tt.size)
			cold := f.converge(t)
			f.run(t, 30*time.Second)
			idle, idleMax := f.rates(t, time.Minute)
			f.restartThird()
			herd, herdMax := f.rates(t, time.Minute)
			is.True(f.whole())
			t.Logf("cold start %v; B/s a member, mean and largest: idle %.0f, %.0f; minute after a third restarted %.0f, %.0f",
				cold, idle, idleMax, herd, herdMax)
			is.True(idleMax < idleAim)
			is.True(herdMax < controlLimit)
		})
	}
}

// BenchmarkMember reports what one member costs by the size of the fleet, in
// virtual seconds: bytes, processor time with the codec but without system
// calls, and heap.
func BenchmarkMember(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size.zones*size.size), func(b *testing.B) {
			before := heap()
			f := newFleet(size.zones, size.size)
			f.converge(b)
			f.run(b, 30*time.Second)
			members := float64(len(f.nodes))
			held := float64(heap()-before) / 1024
			var bytes, seconds float64
			for b.Loop() {
				mean, _ := f.rates(b, time.Second)
				bytes += mean
				seconds++
			}
			b.ReportMetric(held/members, "KiB/member")
			b.ReportMetric(bytes/seconds, "B/member-s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/members/seconds, "µs/member-s")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
