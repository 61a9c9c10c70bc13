package gossip

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Node is the membership state machine of one host. It is driven by Tick at
// least every Config.SpreadInterval and by Receive for each message. It is not
// safe for concurrent use.
type Node struct {
	cfg      Config
	self     *entry
	table    *table
	rumours  rumours
	notices  notices
	budget   budget
	random   *rand.Rand
	seeds    []string
	revision uint64

	probes map[uint64]*probe
	relays map[uint64]relay
	number uint64
	ring   []string
	health health
	links  links
	// held is set while suspects are not declared dead.
	held bool

	lastTick      time.Time
	nextProbe     time.Time
	nextSpread    time.Time
	nextRepair    time.Time
	nextSeed      time.Time
	nextDeadProbe time.Time
	nextListing   time.Time
	nextForget    time.Time

	// crossing are the rumours of this zone that its bridges pass on.
	crossing []rumourKey
	changed  map[string]struct{}
	out      Output
}

// New returns a node that knows only itself.
func New(cfg Config, self Record, seed uint64, now time.Time) *Node {
	random := rand.New(rand.NewPCG(seed, uint64(keyOf(self.Host))))
	n := &Node{
		cfg:      cfg,
		table:    newTable(),
		notices:  notices{limit: cfg.MaxUpdates},
		budget:   newBudget(&cfg, now),
		random:   random,
		probes:   make(map[uint64]*probe),
		relays:   make(map[uint64]relay),
		links:    newLinks(),
		changed:  make(map[string]struct{}),
		lastTick: now,
	}
	n.self = n.table.put(self, now)
	n.nextProbe = now.Add(n.jitter(cfg.ProbeInterval / 2))
	n.nextSpread = now
	n.nextRepair = now.Add(n.jitter(cfg.ProbeInterval))
	n.nextSeed = now
	n.nextDeadProbe = now.Add(n.jitter(cfg.DeadProbeInterval))
	return n
}

// Tick advances the node to now.
func (n *Node) Tick(now time.Time) Output {
	n.forgiveStall(now)
	n.lastTick = now
	n.budget.refill(now)
	n.checkProbes(now)
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(n.cfg.ProbeInterval)
		n.startProbe(now)
		n.probeZones(now)
		n.forget(now)
	}
	if !now.Before(n.nextDeadProbe) {
		n.nextDeadProbe = now.Add(n.jitter(n.cfg.DeadProbeInterval))
		n.probeDead()
	}
	if !now.Before(n.nextSeed) {
		n.contactSeeds(now)
	}
	if !now.Before(n.nextRepair) {
		n.nextRepair = now.Add(n.jitter(n.cfg.RepairInterval))
		n.startRepair()
	}
	if !now.Before(n.nextSpread) {
		n.nextSpread = now.Add(n.cfg.RumourInterval)
		n.checkSuspects(now)
		n.checkLinks(now)
		n.spread(now)
	}
	return n.flush()
}

// Receive handles a message from another member.
func (n *Node) Receive(now time.Time, m Message) Output {
	if m.From.Host == "" || m.From.Host == n.self.record.Host || m.From.Address == "" {
		return Output{}
	}
	known := n.table.hosts[m.From.Host] != nil
	n.links.heard[m.From.Zone] = now
	n.mergeAll(now, &m)
	n.noteRevision(&m)
	n.noteReachable(now, &m)
	n.handle(now, &m, known)
	return n.flush()
}

func (n *Node) handle(now time.Time, m *Message, known bool) {
	switch body := m.Body.(type) {
	case Probe:
		n.handleProbe(now, m, body)
		if !known && m.From.Zone == n.self.record.Zone {
			n.contact(m.From.Address)
		}
	case Ack:
		n.handleAck(body)
	case ProbeRequest:
		n.handleProbeRequest(now, m, body)
	case RootHashes:
		n.handleRoot(now, m, body, known)
	case BucketHashes:
		n.handleBuckets(now, m, body)
	case RecordHashes:
		n.handleListing(m, body)
	case RecordRequest:
		n.handleWanted(m, body)
	case SuspicionsRequest:
		n.handleDoubtsRequest(m)
	case Suspicions:
		n.handleDoubts(now, body)
	}
}

// SetTargets replaces the targets of this host.
func (n *Node) SetTargets(now time.Time, targets []Target) Output {
	if slices.Equal(targets, n.self.record.Targets) {
		return Output{}
	}
	n.self.record.Targets = slices.Clone(targets)
	n.raise(now)
	return n.flush()
}

// SetRevision sets the configuration revision in force at this host.
func (n *Node) SetRevision(revision uint64) {
	n.revision = revision
	n.self.revision = revision
}

// leaveFanout is the number of members that are told of the leaving at once.
const leaveFanout = 6

// Leave marks this host as leaving and tells several members at once.
func (n *Node) Leave(now time.Time) Output {
	n.self.record.Leaving = true
	n.raise(now)
	for _, e := range n.pick(n.self.record.Zone, leaveFanout, notEnded) {
		n.sendOwnRecord(e)
	}
	for _, zone := range n.otherZones() {
		for _, e := range n.pick(zone, 1, notEnded) {
			n.sendOwnRecord(e)
		}
	}
	return n.flush()
}

// SetSeeds replaces the gossip addresses through which the node finds members
// that it does not know.
func (n *Node) SetSeeds(addresses []string) {
	own := n.self.record.GossipAddress
	n.seeds = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == own })
}

// Publish spreads a notice within the zone.
func (n *Node) Publish(now time.Time, notice Update) Output {
	notice.Host = n.self.record.Host
	n.mergeNotice(notice, now)
	n.out.Updates = nil
	return n.flush()
}

// Updates returns the notices that hold.
func (n *Node) Updates(now time.Time) []Update { return n.notices.all(now) }

// Members returns all members in the order of their hosts, this host included.
func (n *Node) Members() []Member {
	all := n.table.all
	members := make([]Member, len(all))
	for i, e := range all {
		members[i] = n.member(e)
	}
	return members
}

// NewestRevision returns the newest revision that any member reported, this
// host included, and the other hosts that reported it.
func (n *Node) NewestRevision() (uint64, []string) {
	newest := n.revision
	var hosts []string
	for _, e := range n.table.all {
		if e == n.self || e.status == Dead || e.revision < newest {
			continue
		}
		if e.revision > newest {
			newest = e.revision
			hosts = nil
		}
		hosts = append(hosts, e.record.Host)
	}
	return newest, hosts
}

// member adds to a record what this host believes of it. The liveness of a
// host is decided in its own zone; elsewhere only the link to the zone counts.
func (n *Node) member(e *entry) Member {
	status := e.status
	if status == Alive && n.links.down[e.record.Zone] {
		status = Suspect
	}
	return Member{Record: e.record, Status: status, Revision: e.revision}
}

func (n *Node) noteRevision(m *Message) {
	e := n.table.hosts[m.From.Host]
	if e == nil {
		return
	}
	e.revision = m.Revision
	if m.Revision > n.revision {
		n.out.NewerRevision = &RevisionReport{Revision: m.Revision, Host: m.From.Host}
	}
}

// flush returns the output gathered since the last call.
func (n *Node) flush() Output {
	out := n.out
	n.out = Output{}
	for host := range n.changed {
		if e := n.table.hosts[host]; e != nil {
			out.Changed = append(out.Changed, n.member(e))
		}
	}
	clear(n.changed)
	slices.SortFunc(out.Changed, func(a, b Member) int {
		return strings.Compare(a.Host, b.Host)
	})
	return out
}

func (n *Node) message(body Body) Message {
	r := &n.self.record
	return Message{
		From:     Sender{Host: r.Host, Zone: r.Zone, Address: r.GossipAddress},
		Revision: n.revision,
		Body:     body,
	}
}

func (n *Node) send(to string, m Message) {
	n.out.Packets = append(n.out.Packets, Packet{To: to, Message: m})
}

func (n *Node) sendOwnRecord(to *entry) {
	m := n.message(nil)
	m.Records = []Record{n.self.record}
	n.send(to.record.GossipAddress, m)
}

// jitter returns a duration between half and one and a half times d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.random.Int64N(int64(d)))
}

func notEnded(e *entry) bool { return !e.ended() }

func notDead(e *entry) bool { return e.status != Dead }

func isDead(e *entry) bool { return e.status == Dead }

// pick returns up to count random members of a zone that satisfy the filter,
// never this host.
func (n *Node) pick(zone string, count int, filter func(*entry) bool) []*entry {
	var found []*entry
	for _, e := range n.table.zones[zone] {
		if e != n.self && filter(e) {
			found = append(found, e)
		}
	}
	n.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(count, len(found))]
}

// zoneSize returns the number of members of this zone that have not ended.
func (n *Node) zoneSize() int {
	size := 0
	for _, e := range n.table.zones[n.self.record.Zone] {
		if !e.ended() {
			size++
		}
	}
	return size
}

// otherZones returns the names of the other zones in order.
func (n *Node) otherZones() []string {
	own := n.self.record.Zone
	return slices.DeleteFunc(n.table.zoneNames(), func(zone string) bool { return zone == own })
}
