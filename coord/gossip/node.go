package gossip

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Node is the membership state machine of one host. The driver calls Tick at least every
// Config.RumourInterval and Receive for each message, and carries out the returned Output. It
// is not safe for concurrent use.
type Node struct {
	cfg     Config
	self    *entry
	table   *table
	rumours rumours
	updates updates
	budget  budget
	random  *rand.Rand
	seeds   []string
	// revisions are in force at this host.
	revisions Revisions

	// probes are the unanswered probes of this host, relays those sent for other members; the
	// keys of both are probe numbers.
	probes map[uint64]*probe
	relays map[uint64]relay
	// probeNumber is the number of the last probe sent.
	probeNumber uint64
	// probeOrder holds the hosts still to be probed in the current round.
	probeOrder []string
	health     health
	links      links
	// holding is set while suspects are not declared dead.
	holding bool

	started time.Time
	// lastTick is the time of the last Tick; the fields behind lastHeard are the times from which a
	// step is due. nextRecordHashes is the time before which no record hashes are sent.
	lastTick         time.Time
	lastHeard        time.Time // when a message last arrived
	nextProbe        time.Time
	nextRumours      time.Time
	nextRepair       time.Time
	nextSeed         time.Time
	nextDeadProbe    time.Time
	nextRecordHashes time.Time
	nextRemoval      time.Time

	// crossZone are the rumours about the local zone that its bridges send to the remote zones.
	crossZone []rumourKey
	changed   map[string]struct{}
	out       Output
}

// New returns a node whose table holds only self. The random seed initializes its random number
// generator (for seed addresses see SetSeeds); now is the start of its clock.
func New(cfg Config, self Record, randomSeed uint64, now time.Time) *Node {
	random := rand.New(rand.NewPCG(randomSeed, uint64(hostKey(self.Host))))
	n := &Node{
		cfg:       cfg,
		table:     newTable(),
		updates:   updates{limit: cfg.MaxUpdates},
		budget:    newBudget(&cfg, now),
		random:    random,
		probes:    make(map[uint64]*probe),
		relays:    make(map[uint64]relay),
		links:     newLinks(),
		changed:   make(map[string]struct{}),
		started:   now,
		lastTick:  now,
		lastHeard: now,
	}
	n.self = n.table.put(self, now)
	n.nextProbe = now.Add(n.jitter(cfg.ProbeInterval / 2))
	n.nextRumours = now
	n.nextRepair = now.Add(n.jitter(cfg.ProbeInterval))
	n.nextSeed = now
	n.nextDeadProbe = now.Add(n.jitter(cfg.DeadProbeInterval))
	return n
}

// Tick advances the node to now: it sends what is due and evaluates the timeouts that have
// passed.
func (n *Node) Tick(now time.Time) Output {
	n.compensateStall(now)
	n.lastTick = now
	n.budget.refill(now)
	n.checkProbes(now)
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(n.cfg.ProbeInterval)
		n.startProbe(now)
		n.probeRemoteZones(now)
		n.removeExpired(now)
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
	if !now.Before(n.nextRumours) {
		n.nextRumours = now.Add(n.cfg.RumourInterval)
		n.checkSuspects(now)
		n.checkLinks(now)
		n.sendRumours(now)
	}
	return n.flush()
}

// Receive handles a message from another member. A message that has no sender, or that names
// this host as the sender, is ignored.
func (n *Node) Receive(now time.Time, m Message) Output {
	if m.From.Host == "" || m.From.Host == n.self.record.Host || m.From.Address == "" {
		return Output{}
	}
	known, alone := n.table.hosts[m.From.Host] != nil, n.isAlone()
	n.lastHeard = now
	n.links.lastReceived[m.From.Zone] = now
	n.mergeRumours(now, &m)
	n.recordRevision(&m)
	n.clearReachable(now, &m)
	n.handle(now, &m, known)
	if !known && n.rejoinsThrough(&m, alone) {
		n.startRepairWith(m.From.Address)
	}
	return n.flush()
}

// rejoinsThrough reports whether this host starts a repair with the sender of a message, which is not
// in its table: the sender has this host in its table from before a restart. A host that knew no
// active member does so in any zone, since nobody else may contact it for long.
func (n *Node) rejoinsThrough(m *Message, alone bool) bool {
	switch m.Body.(type) {
	case Probe:
		return alone || m.From.Zone == n.self.record.Zone
	case nil:
		return alone
	}
	return false
}

func (n *Node) handle(now time.Time, m *Message, known bool) {
	switch body := m.Body.(type) {
	case Probe:
		n.handleProbe(now, m, body)
	case Ack:
		n.handleAck(body)
	case ProbeRequest:
		n.handleProbeRequest(now, m, body)
	case RootHashes:
		n.handleRootHashes(now, m, body, known)
	case BucketHashes:
		n.handleBucketHashes(now, m, body)
	case RecordHashes:
		n.handleRecordHashes(m, body)
	case RecordRequest:
		n.handleRecordRequest(m, body)
	case SuspicionsRequest:
		n.handleSuspicionsRequest(m)
	case Suspicions:
		n.handleSuspicions(now, body)
	}
}

// SetTargets replaces the targets of this host and spreads the change. Equal targets have no
// effect.
func (n *Node) SetTargets(now time.Time, targets []Target) Output {
	if slices.Equal(targets, n.self.record.Targets) {
		return Output{}
	}
	n.self.record.Targets = slices.Clone(targets)
	n.bumpSequence(now)
	return n.flush()
}

// SetRevisions sets the configuration revisions in force at this host.
func (n *Node) SetRevisions(revisions Revisions) {
	n.revisions = revisions
	n.self.revision = revisions.Latest
}

// leaveFanout is the number of members of the local zone that are sent a leave notice at once.
const leaveFanout = 6

// Leave marks this host as leaving. It sends the record at once to several members of the local
// zone and to one of each remote zone.
func (n *Node) Leave(now time.Time) Output {
	n.self.record.Leaving = true
	n.bumpSequence(now)
	for _, e := range n.sample(n.self.record.Zone, leaveFanout, isActive) {
		n.sendOwnRecord(e)
	}
	for _, zone := range n.remoteZones() {
		for _, e := range n.sample(zone, 1, isActive) {
			n.sendOwnRecord(e)
		}
	}
	return n.flush()
}

// SetSeeds replaces the seeds: the gossip addresses through which the node finds members that
// it does not know. The node's own address is left out.
func (n *Node) SetSeeds(addresses []string) {
	own := n.self.record.GossipAddress
	n.seeds = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == own })
}

// Publish spreads an update of this host within the local zone.
func (n *Node) Publish(now time.Time, update Update) Output {
	update.Host = n.self.record.Host
	n.mergeUpdate(update, now)
	n.out.Updates = nil
	return n.flush()
}

// Updates returns the stored updates that have not expired, with their remaining TTL.
func (n *Node) Updates(now time.Time) []Update { return n.updates.all(now) }

// Members returns all members, this host included, sorted by host. Dead and leaving members are
// included until they are removed after Config.RemoveAfter.
func (n *Node) Members() []Member {
	all := n.table.all
	members := make([]Member, len(all))
	for i, e := range all {
		members[i] = n.member(e)
	}
	return members
}

// LatestRevision returns the latest revision that this host or any member that is not dead has
// in force, and the other hosts that reported it.
func (n *Node) LatestRevision() (uint64, []string) {
	latest := n.revisions.Latest
	var hosts []string
	for _, e := range n.table.all {
		if e == n.self || e.status == Dead || e.revision < latest {
			continue
		}
		if e.revision > latest {
			latest = e.revision
			hosts = nil
		}
		hosts = append(hosts, e.record.Host)
	}
	return latest, hosts
}

// member combines a record with the liveness recorded at this host. The liveness of a host is
// decided within its own zone; for a remote zone only the reachability of the zone is added.
func (n *Node) member(e *entry) Member {
	status := e.status
	if status == Alive && n.links.unreachable[e.record.Zone] {
		status = Suspect
	}
	return Member{Record: e.record, Status: status, Revision: e.revision}
}

// recordRevision records the sender's latest revision, and reports its revisions if any of them is above
// the node's own.
func (n *Node) recordRevision(m *Message) {
	e := n.table.hosts[m.From.Host]
	if e == nil {
		return
	}
	e.revision = m.Revisions.Latest
	if m.Revisions.NewerThan(n.revisions) {
		n.out.NewerRevision = &RevisionReport{Revisions: m.Revisions, Host: m.From.Host}
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

func (n *Node) newMessage(body Body) Message {
	r := &n.self.record
	return Message{
		From:      Sender{Host: r.Host, Zone: r.Zone, Address: r.GossipAddress},
		Revisions: n.revisions,
		Body:      body,
	}
}

func (n *Node) send(to string, m Message) {
	n.out.Packets = append(n.out.Packets, Packet{To: to, Message: m})
}

func (n *Node) sendOwnRecord(to *entry) {
	m := n.newMessage(nil)
	m.Records = []Record{n.self.record}
	n.send(to.record.GossipAddress, m)
}

// jitter returns a random duration between half and one and a half times d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.random.Int64N(int64(d)))
}

func isActive(e *entry) bool { return !e.deadOrLeaving() }

func notDead(e *entry) bool { return e.status != Dead }

func isDead(e *entry) bool { return e.status == Dead }

// sample returns up to count random members of a zone that satisfy the filter, never this host.
func (n *Node) sample(zone string, count int, filter func(*entry) bool) []*entry {
	var found []*entry
	for _, e := range n.table.zones[zone] {
		if e != n.self && filter(e) {
			found = append(found, e)
		}
	}
	n.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(count, len(found))]
}

// zoneSize returns the number of members of the local zone that are neither dead nor leaving.
func (n *Node) zoneSize() int {
	size := 0
	for _, e := range n.table.zones[n.self.record.Zone] {
		if !e.deadOrLeaving() {
			size++
		}
	}
	return size
}

// remoteZones returns the sorted names of the remote zones.
func (n *Node) remoteZones() []string {
	own := n.self.record.Zone
	return slices.DeleteFunc(n.table.zoneNames(), func(zone string) bool { return zone == own })
}
