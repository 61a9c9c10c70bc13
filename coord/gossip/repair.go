package gossip

import "time"

// startRepair compares hashes with a random member of the zone and, on a
// bridge, with one of each zone that it bridges to (anti-entropy; Demers et
// al., 1987).
func (n *Node) startRepair() {
	for _, e := range n.pick(n.self.record.Zone, 1, notEnded) {
		n.sendRoot(e.record.GossipAddress)
	}
	for _, zone := range n.bridgedZones() {
		for _, e := range n.pick(zone, 1, notEnded) {
			n.sendRoot(e.record.GossipAddress)
		}
	}
}

func (n *Node) sendRoot(to string) {
	n.send(to, n.message(RootHashes{Records: n.table.root(), Updates: n.notices.root()}))
}

// seedsAtOnce is the number of seeds that a lone node contacts at once.
const seedsAtOnce = 3

// contactSeeds opens a repair with seeds: several and often while the node
// knows nobody, else now and then with one that is no known member.
func (n *Node) contactSeeds(now time.Time) {
	count, wait := 1, n.cfg.SeedInterval
	if n.alone() {
		count, wait = seedsAtOnce, n.cfg.ProbeInterval
	}
	n.nextSeed = now.Add(n.jitter(wait))
	for _, address := range n.unknownSeeds(count) {
		n.contact(address)
	}
}

// contact opens a repair with a host that this one does not know: a seed, or a
// member that knows this host from before its restart.
func (n *Node) contact(address string) {
	m := n.message(RootHashes{Records: n.table.root(), Updates: n.notices.root()})
	m.Records = []Record{n.self.record}
	n.send(address, m)
}

func (n *Node) alone() bool {
	for _, e := range n.table.all {
		if e != n.self && !e.ended() {
			return false
		}
	}
	return true
}

func (n *Node) unknownSeeds(count int) []string {
	known := make(map[string]struct{}, len(n.table.hosts))
	for _, e := range n.table.all {
		if !e.ended() {
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

// handleRoot answers with the hash of each bucket if the records differ, and
// with the zone's notices if those differ.
func (n *Node) handleRoot(now time.Time, m *Message, body RootHashes, known bool) {
	reply := n.message(nil)
	if body.Records != n.table.root() && n.budget.open() {
		reply.Body = BucketHashes{Hashes: append([]uint32(nil), n.table.buckets[:]...)}
	}
	if !known {
		n.introduce(&reply, m.From.Zone)
	}
	if m.From.Zone == n.self.record.Zone && body.Updates != n.notices.root() {
		n.attachNotices(&reply, now)
	}
	if reply.Body != nil || reply.carries() {
		n.send(m.From.Address, reply)
	}
}

// introductions is the number of members that a newcomer is told of at once.
// It repairs from those too, so that the seeds do not carry a mass start alone.
const introductions = 8

// introduce adds this host's record and those of a few members of the
// newcomer's zone.
func (n *Node) introduce(m *Message, zone string) {
	s := sizeOf(m)
	m.join(s, &Message{Records: []Record{n.self.record}}, n.cfg.MaxMessage)
	for _, e := range n.pick(zone, introductions, notEnded) {
		m.join(s, &Message{Records: []Record{e.record}}, n.cfg.MaxMessage)
	}
}

// attachNotices adds the notices that fit, from a random one onwards.
func (n *Node) attachNotices(m *Message, now time.Time) {
	all := n.notices.all(now)
	if len(all) == 0 {
		return
	}
	s := sizeOf(m)
	start := n.random.IntN(len(all))
	for i := range all {
		part := Message{Updates: []Update{all[(start+i)%len(all)]}}
		if !m.join(s, &part, n.cfg.MaxMessage) {
			return
		}
	}
}

// maxListings bounds the messages that list record versions in one repair.
const maxListings = 4

// handleBuckets lists the record versions in the differing buckets: those that
// fit into one message and, if the budget is ample, into a few more. Two sides
// asked at once would supply the same, so one is asked at a time.
func (n *Node) handleBuckets(now time.Time, m *Message, body BucketHashes) {
	if len(body.Hashes) != bucketCount || now.Before(n.nextListing) {
		return
	}
	n.nextListing = now.Add(n.cfg.ProbeInterval / 2)
	differing := n.differing(body.Hashes)
	for i := 0; len(differing) > 0 && i < maxListings; i++ {
		if i > 0 && !n.budget.ample() {
			break
		}
		var reply Message
		reply, differing = n.list(differing)
		n.budget.spend(reply.Size())
		n.send(m.From.Address, reply)
		n.hurryRepair(now)
	}
}

// differing returns the buckets whose hash is another, from a random one
// onwards.
func (n *Node) differing(hashes []uint32) []uint32 {
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

// list fills a message with the record versions in some buckets and returns
// the buckets left over.
func (n *Node) list(buckets []uint32) (Message, []uint32) {
	var body RecordHashes
	m := n.message(nil)
	room := n.cfg.MaxMessage - sizeOf(&m).total
	held := n.hashesByBucket()
	for len(buckets) > 0 {
		hashes := held[buckets[0]]
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

func (n *Node) hashesByBucket() *[bucketCount][]uint32 {
	var held [bucketCount][]uint32
	for _, e := range n.table.all {
		if !e.ended() {
			bucket := e.key % bucketCount
			held[bucket] = append(held[bucket], e.hash)
		}
	}
	return &held
}

// hurryRepair brings the next repair forward while differences remain, less so
// if the budget would go into listings rather than records.
func (n *Node) hurryRepair(now time.Time) {
	wait := n.cfg.ProbeInterval
	if !n.budget.ample() {
		wait = 5 * n.cfg.ProbeInterval / 2
	}
	soon := now.Add(n.jitter(wait))
	if soon.Before(n.nextRepair) {
		n.nextRepair = soon
	}
}

// handleListing sends the record versions that the other side lacks and asks
// for those that are lacking here. A member that ended here is told only to a
// side that holds it live.
func (n *Node) handleListing(m *Message, body RecordHashes) {
	var wanted [bucketCount]bool
	for _, bucket := range body.Buckets {
		wanted[bucket%bucketCount] = true
	}
	theirs := make(map[uint32]bool, len(body.Hashes))
	for _, hash := range body.Hashes {
		theirs[hash] = true
	}
	var parts []Message
	for _, e := range n.table.inBuckets(&wanted) {
		hash := e.versionHash()
		if part := e.answer(theirs[hash]); part.carries() {
			parts = append(parts, part)
		}
		delete(theirs, hash)
	}
	n.sendParts(m.From.Address, parts)
	var unknown []uint32
	for _, hash := range body.Hashes {
		if theirs[hash] {
			unknown = append(unknown, hash)
		}
	}
	n.sendWanted(m.From.Address, unknown)
}

// answer returns what the other side lacks of an entry, given whether it holds
// the same version as live.
func (e *entry) answer(listed bool) Message {
	switch {
	case listed && e.status == Dead:
		return Message{Claims: []Claim{e.claim()}}
	case listed || e.ended():
		return Message{}
	}
	return Message{Records: []Record{e.record}}
}

// maxWanted bounds the records asked for at once.
const maxWanted = 128

func (n *Node) sendWanted(to string, hashes []uint32) {
	if len(hashes) == 0 {
		return
	}
	n.send(to, n.message(RecordRequest{Hashes: hashes[:min(len(hashes), maxWanted)]}))
}

func (n *Node) handleWanted(m *Message, body RecordRequest) {
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

// sendParts packs rumours into as many messages as the budget allows. What is
// left over is found by a later repair.
func (n *Node) sendParts(to string, parts []Message) {
	for len(parts) > 0 && n.budget.open() {
		var m Message
		m, parts = n.pack(Delta{}, parts)
		n.send(to, m)
	}
}
