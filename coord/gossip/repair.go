package gossip

import "time"

// startRepair compares hashes with a random member of the local zone and, on a bridge, with one
// of each zone that it is a bridge to (anti-entropy; Demers et al., 1987).
func (n *Node) startRepair() {
	for _, e := range n.sample(n.self.record.Zone, 1, isActive) {
		n.sendRootHashes(e.record.GossipAddress)
	}
	for _, zone := range n.bridgedZones() {
		for _, e := range n.sample(zone, 1, isActive) {
			n.sendRootHashes(e.record.GossipAddress)
		}
	}
}

func (n *Node) sendRootHashes(to string) {
	n.send(to, n.newMessage(RootHashes{Records: n.table.root(), Updates: n.updates.root()}))
}

// maxSeedContacts is the number of seeds that a node without other members contacts at once.
const maxSeedContacts = 3

// joinProbes is the time after the start in which a node looks for the others at short intervals, in probe
// intervals. When many hosts restart at once, most that it meets know as little as itself.
const joinProbes = 2

// joining reports whether the node has just started and knows less than three quarters of the hosts that its
// seeds name. Beyond that the hashes of a repair would cost more than they bring.
func (n *Node) joining(now time.Time) bool {
	if now.Sub(n.started) >= joinProbes*n.cfg.ProbeInterval {
		return false
	}
	active := 0
	for _, e := range n.table.all {
		if !e.deadOrLeaving() {
			active++
		}
	}
	return 4*active < 3*len(n.seeds)
}

// recordHashInterval returns the shortest time between two replies to BucketHashes, each of which may cost as
// much as all records.
func (n *Node) recordHashInterval(now time.Time) time.Duration {
	if n.joining(now) {
		return n.cfg.RumourInterval / 2
	}
	return n.cfg.ProbeInterval / 2
}

// contactSeeds starts a repair with seeds that are not known members: several seeds at intervals of
// RumourInterval after the start, and of about ProbeInterval while the node knows no active member, else one
// at intervals of about SeedInterval.
func (n *Node) contactSeeds(now time.Time) {
	count, wait := 1, n.cfg.SeedInterval
	switch {
	case n.joining(now):
		count, wait = maxSeedContacts, n.cfg.RumourInterval
	case n.isAlone():
		count, wait = maxSeedContacts, n.cfg.ProbeInterval
	}
	n.nextSeed = now.Add(n.jitter(wait))
	for _, address := range n.unknownSeeds(count) {
		n.startRepairWith(address)
	}
}

// startRepairWith starts a repair with a host that is not in the table: a seed, or a member
// that has this host in its table from before a restart.
func (n *Node) startRepairWith(address string) {
	m := n.newMessage(RootHashes{Records: n.table.root(), Updates: n.updates.root()})
	m.Records = []Record{n.self.record}
	n.send(address, m)
}

// isAlone reports whether every other member is dead or leaving.
func (n *Node) isAlone() bool {
	for _, e := range n.table.all {
		if e != n.self && !e.deadOrLeaving() {
			return false
		}
	}
	return true
}

// unknownSeeds returns up to count random seeds that are not the address of an active member.
func (n *Node) unknownSeeds(count int) []string {
	known := make(map[string]struct{}, len(n.table.hosts))
	for _, e := range n.table.all {
		if !e.deadOrLeaving() {
			known[e.record.GossipAddress] = struct{}{}
		}
	}
	var unknown []string
	for _, address := range n.seeds {
		if _, ok := known[address]; !ok {
			unknown = append(unknown, address)
		}
	}
	n.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return unknown[:min(count, len(unknown))]
}

// handleRootHashes replies with the hash of each bucket if the records differ, and with the
// zone's updates if those differ. A host that is not in the table is also sent an introduction.
func (n *Node) handleRootHashes(now time.Time, m *Message, body RootHashes, known bool) {
	reply := n.newMessage(nil)
	if body.Records != n.table.root() && n.budget.available() {
		reply.Body = BucketHashes{Hashes: append([]uint32(nil), n.table.buckets[:]...)}
	}
	if !known {
		n.attachIntroduction(&reply, m.From.Zone)
	}
	if m.From.Zone == n.self.record.Zone && body.Updates != n.updates.root() {
		n.attachUpdates(&reply, now)
	}
	if reply.Body != nil || reply.hasRumours() {
		n.send(m.From.Address, reply)
	}
}

// maxIntroductions is the maximum number of members' records that a new host is sent at once, besides
// the sender's own record. It repairs with those members too, so that a start of many hosts does not
// load the seeds alone.
const maxIntroductions = 8

// attachIntroduction adds this host's record and those of a few members of the new host's zone.
func (n *Node) attachIntroduction(m *Message, zone string) {
	s := sizeOf(m)
	m.appendRumours(s, &Message{Records: []Record{n.self.record}}, n.cfg.MaxMessage)
	for _, e := range n.sample(zone, maxIntroductions, isActive) {
		m.appendRumours(s, &Message{Records: []Record{e.record}}, n.cfg.MaxMessage)
	}
}

// attachUpdates adds the updates that fit, starting from a random one.
func (n *Node) attachUpdates(m *Message, now time.Time) {
	all := n.updates.all(now)
	if len(all) == 0 {
		return
	}
	s := sizeOf(m)
	start := n.random.IntN(len(all))
	for i := range all {
		part := Message{Updates: []Update{all[(start+i)%len(all)]}}
		if !m.appendRumours(s, &part, n.cfg.MaxMessage) {
			return
		}
	}
}

// maxHashMessages limits the messages with record hashes in one repair.
const maxHashMessages = 4

// handleBucketHashes sends the record hashes of the differing buckets: those that fit into one
// message and, while the budget is above its reserve, a few more messages. It does so at most
// once in half a probe interval, for one member at a time: two members that received the hashes
// at once would send the same records.
func (n *Node) handleBucketHashes(now time.Time, m *Message, body BucketHashes) {
	if len(body.Hashes) != bucketCount || now.Before(n.nextRecordHashes) {
		return
	}
	n.nextRecordHashes = now.Add(n.recordHashInterval(now))
	differing := n.differingBuckets(body.Hashes)
	for i := 0; len(differing) > 0 && i < maxHashMessages; i++ {
		if i > 0 && !n.budget.aboveReserve() {
			break
		}
		var reply Message
		reply, differing = n.packRecordHashes(differing)
		n.budget.spend(reply.Size())
		n.send(m.From.Address, reply)
		n.advanceRepair(now)
	}
}

// differingBuckets returns the buckets whose hash differs, starting from a random one.
func (n *Node) differingBuckets(hashes []uint32) []uint32 {
	var found []uint32
	start := n.random.IntN(bucketCount)
	for i := range bucketCount {
		bucket := (start + i) % bucketCount
		if hashes[bucket] != n.table.buckets[bucket] {
			found = append(found, uint32(bucket))
		}
	}
	return found
}

// packRecordHashes fills a message with the record hashes of some buckets and returns the
// buckets that did not fit.
func (n *Node) packRecordHashes(buckets []uint32) (Message, []uint32) {
	var body RecordHashes
	m := n.newMessage(nil)
	room := n.cfg.MaxMessage - sizeOf(&m).total
	stored := n.hashesByBucket()
	for len(buckets) > 0 {
		hashes := stored[buckets[0]]
		room -= hashSize * (1 + len(hashes))
		if room < 0 && len(body.Buckets) > 0 {
			break
		}
		body.Buckets = append(body.Buckets, buckets[0])
		body.Hashes = append(body.Hashes, hashes...)
		buckets = buckets[1:]
	}
	m.Body = body
	return m, buckets
}

// hashesByBucket returns the hashes of the active members' records, by bucket.
func (n *Node) hashesByBucket() *[bucketCount][]uint32 {
	var stored [bucketCount][]uint32
	for _, e := range n.table.all {
		if !e.deadOrLeaving() {
			bucket := e.key % bucketCount
			stored[bucket] = append(stored[bucket], e.hash)
		}
	}
	return &stored
}

// advanceRepair brings the next repair forward while differences remain. The wait is longer if
// the budget would be spent on hashes rather than records.
func (n *Node) advanceRepair(now time.Time) {
	wait := n.cfg.ProbeInterval
	if !n.budget.aboveReserve() {
		wait = 5 * n.cfg.ProbeInterval / 2
	}
	soon := now.Add(n.jitter(wait))
	if soon.Before(n.nextRepair) {
		n.nextRepair = soon
	}
}

// handleRecordHashes sends the record versions that the sender lacks and requests those that
// are lacking here. The state of a member that is dead here is sent only if the sender lists
// that member as active.
func (n *Node) handleRecordHashes(m *Message, body RecordHashes) {
	var wanted [bucketCount]bool
	for _, bucket := range body.Buckets {
		wanted[bucket%bucketCount] = true
	}
	listed := make(map[uint32]bool, len(body.Hashes))
	for _, hash := range body.Hashes {
		listed[hash] = true
	}
	var parts []Message
	for _, e := range n.table.inBuckets(&wanted) {
		hash := e.versionHash()
		if part := e.missingState(listed[hash]); part.hasRumours() {
			parts = append(parts, part)
		}
		delete(listed, hash)
	}
	n.sendParts(m.From.Address, parts)
	var unknown []uint32
	for _, hash := range body.Hashes {
		if listed[hash] {
			unknown = append(unknown, hash)
		}
	}
	n.sendRecordRequest(m.From.Address, unknown)
}

// missingState returns what the other side lacks of an entry, given whether it listed the same
// version as active.
func (e *entry) missingState(listed bool) Message {
	switch {
	case listed && e.status == Dead:
		return Message{Claims: []Claim{e.claim()}}
	case listed || e.deadOrLeaving():
		return Message{}
	}
	return Message{Records: []Record{e.record}}
}

// maxRequestedRecords is the maximum number of records in a request.
const maxRequestedRecords = 128

func (n *Node) sendRecordRequest(to string, hashes []uint32) {
	if len(hashes) == 0 {
		return
	}
	n.send(to, n.newMessage(RecordRequest{Hashes: hashes[:min(len(hashes), maxRequestedRecords)]}))
}

func (n *Node) handleRecordRequest(m *Message, body RecordRequest) {
	wanted := make(map[uint32]bool, len(body.Hashes))
	for _, hash := range body.Hashes {
		wanted[hash] = true
	}
	var parts []Message
	for _, e := range n.table.all {
		if wanted[e.versionHash()] {
			parts = append(parts, Message{Records: []Record{e.record}})
		}
	}
	n.sendParts(m.From.Address, parts)
}

// sendParts packs rumours into as many messages as the budget allows. A later repair finds the
// remainder.
func (n *Node) sendParts(to string, parts []Message) {
	for len(parts) > 0 && n.budget.available() {
		var m Message
		m, parts = n.pack(Delta{}, parts)
		n.send(to, m)
	}
}
