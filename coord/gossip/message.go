package gossip

import "time"

// Sender names the origin of a message. Replies go to Address, never to the
// source address of the packet.
type Sender struct {
	Host    string
	Zone    string
	Address string // UDP
}

// Message is what one member sends to another. Besides its body it carries
// rumours: records, claims and notices.
type Message struct {
	From Sender
	// Revision is the configuration revision in force at the sender.
	Revision uint64
	// Body is nil in a message that only carries rumours.
	Body    Body
	Records []Record
	Claims  []Claim
	Updates []Update
}

// Body is one of Probe, Ack, ProbeRequest, Root, Buckets, Listing, Wanted,
// Supply, DoubtsRequest and Doubts.
type Body interface{ isBody() }

// Probe asks a host to answer with an Ack.
type Probe struct {
	Number uint64
	Target string
}

// Ack states that Target answered a probe or a probe request.
type Ack struct {
	Number uint64
	Target string
}

// ProbeRequest asks a member to probe Target on the sender's behalf.
type ProbeRequest struct {
	Number  uint64
	Target  string
	Address string // UDP
}

// RootHashes opens a repair. The receiver answers if its own hashes differ.
type RootHashes struct {
	Records uint64
	Updates uint64
}

// BucketHashes answers a Root whose hash differs, one hash for each bucket.
type BucketHashes struct {
	Hashes []uint32
}

// RecordHashes holds the hash of each record version that the sender holds in some
// of the differing buckets.
type RecordHashes struct {
	Buckets []uint32
	Hashes  []uint32
}

// RecordRequest asks for the record versions with these hashes.
type RecordRequest struct {
	Hashes []uint32
}

// Delta marks records and claims that answer a Listing or Wanted. The other
// members of the zone repair for themselves, so they are not spread as rumours.
type Delta struct{}

// SuspicionsRequest asks a member that turned out to be reachable for its Doubts.
type SuspicionsRequest struct{}

// Suspicions names the members of the sender's zone that it holds suspect or dead.
type Suspicions struct {
	Keys []uint32
}

func (Probe) isBody()             {}
func (Ack) isBody()               {}
func (ProbeRequest) isBody()      {}
func (RootHashes) isBody()        {}
func (BucketHashes) isBody()      {}
func (RecordHashes) isBody()      {}
func (RecordRequest) isBody()     {}
func (Delta) isBody()             {}
func (SuspicionsRequest) isBody() {}
func (Suspicions) isBody()        {}

// Claim states that one version of a host's record looks unreachable. The host
// refutes it by raising its sequence.
type Claim struct {
	Host        string
	Incarnation uint64
	Sequence    uint64
	// Dead is set when the time to refute has passed.
	Dead bool
}

// matches reports whether the claim is about this version of the record.
func (c *Claim) matches(r *Record) bool {
	return c.Incarnation == r.Incarnation && c.Sequence == r.Sequence
}

// Packet is a message with its destination.
type Packet struct {
	To      string // UDP address
	Message Message
}

// RevisionReport states that a host reported a revision.
type RevisionReport struct {
	Revision uint64
	Host     string
}

// Output is what a Node asks its driver to do.
type Output struct {
	Packets []Packet
	// Changed lists the members whose record or status changed.
	Changed []Member
	// Removed lists the hosts that were removed.
	Removed []string
	// Updates are those heard for the first time.
	Updates []Update
	// NewerRevision is set when a host reported a revision above the node's own.
	NewerRevision *RevisionReport
}

// Update is a short-lived statement spread within the zone. Exactly one of
// Crash, Trip and Unreachable is set.
type Update struct {
	// Host published the notice.
	Host string
	// TTL is the time for which it still holds. It travels as a duration, so
	// clocks need not agree.
	TTL         time.Duration
	Crash       *Crash
	Halt        *Halt
	Unreachable *Unreachable
}

// Crash names a request that was in flight when a target crashed.
type Crash struct {
	Fingerprint uint64
	// Number tells the crashes on the publishing host apart.
	Number uint64
}

// Halt stops the zone's traffic to a version under test.
type Halt struct {
	Service string
	Version string
	Ticket  uint64
}

// Unreachable is a bridge's report that it hears nothing from a zone.
type Unreachable struct {
	Zone string
}
