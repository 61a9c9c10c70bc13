package gossip

import "time"

// Sender identifies the origin of a message. Replies go to Address, never to the source address
// of the packet.
type Sender struct {
	Host    string
	Zone    string
	Address string // UDP
}

// Message is what one member sends to another. Besides its body it can carry rumours: records,
// claims and updates.
type Message struct {
	From Sender
	// Revisions are in force at the sender.
	Revisions Revisions
	// Body is nil in a message that only carries rumours.
	Body    Body
	Records []Record
	Claims  []Claim
	Updates []Update
}

// Body is one of Probe, Ack, ProbeRequest, RootHashes, BucketHashes, RecordHashes,
// RecordRequest, Delta, SuspicionsRequest and Suspicions.
type Body interface{ isBody() }

// Probe asks the host named Target for an Ack with the same number. Target here, and in Ack and
// ProbeRequest, is a host name; the type Target is a process.
type Probe struct {
	Number uint64
	Target string
}

// Ack states that the host named Target responded to the probe or probe request with this number.
type Ack struct {
	Number uint64
	Target string
}

// ProbeRequest asks a member to probe the host named Target, at its gossip address, on the sender's
// behalf and to relay the Ack.
type ProbeRequest struct {
	Number  uint64
	Target  string
	Address string // UDP
}

// RootHashes starts a repair: it holds one hash of all records and one of all updates. The
// receiver replies if its own hashes differ.
type RootHashes struct {
	Records uint64
	Updates uint64
}

// BucketHashes is the reply to RootHashes whose hash of the records differs. It holds one hash
// for each bucket of records.
type BucketHashes struct {
	Hashes []uint32
}

// RecordHashes holds the hashes of the records that the sender stores in the listed buckets, a part
// of the buckets that differ. Only records of active members (neither dead nor leaving) are listed.
// Hashes is a set: its elements don't correspond to those of Buckets.
type RecordHashes struct {
	Buckets []uint32
	Hashes  []uint32
}

// RecordRequest asks for the record versions with these hashes.
type RecordRequest struct {
	Hashes []uint32
}

// Delta has no content of its own: it marks the records and claims of a message as repair data, sent for RecordHashes, for a
// RecordRequest or to correct an older version. Members of a zone repair with each other, so a
// receiver does not spread what comes from its own zone as rumours.
type Delta struct{}

// SuspicionsRequest asks a member that is reachable again for its Suspicions.
type SuspicionsRequest struct{}

// Suspicions lists the members of the sender's zone that it records as suspect, and also those that
// it records as dead. A key is the lower 32 bits of the xxHash64 of the host name.
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

// Claim states that a host is suspect or, if Dead is set, dead. It applies to one version of the
// host's record; the host refutes it by raising its sequence.
type Claim struct {
	Host        string
	Incarnation uint64
	Sequence    uint64
	// Dead is set once the time to refute has passed.
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

// RevisionReport states that a host has revisions in force.
type RevisionReport struct {
	Revisions Revisions
	Host      string
}

// Output is what a Node asks its driver to do: packets to send and changes to report.
type Output struct {
	Packets []Packet
	// Changed lists the members whose record or status changed, sorted by host.
	Changed []Member
	// Removed lists the hosts that were removed from the table.
	Removed []string
	// Updates are those received for the first time, and this host's own new reports of unreachable
	// zones. Those passed to Publish are not included.
	Updates []Update
	// NewerRevision is set if a host reported revisions of which one is above the node's own.
	NewerRevision *RevisionReport
}

// Update is a short-lived statement of one host that is spread within its zone. It is of one of
// three kinds: exactly one of Crash, Halt and Unreachable is set.
type Update struct {
	// Host is the host that published the update.
	Host string
	// TTL is the remaining time for which the update is valid. It is sent as a duration, so
	// clocks need not be synchronized.
	TTL         time.Duration
	Crash       *Crash
	Halt        *Halt
	Unreachable *Unreachable
}

// Crash reports that a request, identified by its fingerprint, was in flight when a target crashed.
type Crash struct {
	Fingerprint uint64
	// Number distinguishes the crashes on the publishing host.
	Number uint64
}

// Halt stops the zone's traffic to the new version of a rollout. Ticket is the number of the
// rollout's ticket.
type Halt struct {
	Service string
	Version string
	Ticket  uint64
}

// Unreachable is a bridge's report that it receives no messages from a zone.
type Unreachable struct {
	Zone string
}
