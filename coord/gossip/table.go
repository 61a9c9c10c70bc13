package gossip

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets that a repair compares.
const bucketCount = 64

// entry is the state of one member in the table.
type entry struct {
	record Record
	status Status
	// since is when the status was entered, deadline when a suspect is declared dead.
	since    time.Time
	deadline time.Time
	revision uint64
	key      uint32
	// hash is the entry's part of its bucket's hash, 0 if the member is dead or leaving.
	hash uint32
}

// versionHash returns the hash of the record's version, also for a member that is dead or
// leaving.
func (e *entry) versionHash() uint32 {
	if e.deadOrLeaving() {
		return hashRecord(&e.record)
	}
	return e.hash
}

// deadOrLeaving reports whether the member is dead or leaving. Such an entry is not part of the
// hashes, so members may remove it at different times and still have equal hashes.
func (e *entry) deadOrLeaving() bool { return e.status == Dead || e.record.Leaving }

func (e *entry) claim() Claim {
	return Claim{
		Host:        e.record.Host,
		Incarnation: e.record.Incarnation,
		Sequence:    e.record.Sequence,
		Dead:        e.status == Dead,
	}
}

// table holds the entries sorted by host, and keeps the hash of each bucket up to date.
type table struct {
	hosts   map[string]*entry
	all     []*entry
	zones   map[string][]*entry
	buckets [bucketCount]uint32
}

func newTable() *table {
	return &table{hosts: make(map[string]*entry), zones: make(map[string][]*entry)}
}

// hostKey returns the key that assigns a host to its bucket.
func hostKey(host string) uint32 { return uint32(xxhash.Sum64String(host)) }

func byHost(e *entry, host string) int { return strings.Compare(e.record.Host, host) }

// put stores a record as that of a live member and returns its entry.
func (t *table) put(record Record, now time.Time) *entry {
	e := t.hosts[record.Host]
	if e != nil && e.record.Zone != record.Zone {
		t.remove(record.Host)
		e = nil
	}
	if e == nil {
		e = &entry{key: hostKey(record.Host)}
		t.hosts[record.Host] = e
		e.record = record
		t.all = insert(t.all, e)
		t.zones[record.Zone] = insert(t.zones[record.Zone], e)
	}
	e.record = record
	t.setStatus(e, Alive, now)
	return e
}

// setStatus changes the status of an entry and the hash of its bucket.
func (t *table) setStatus(e *entry, status Status, now time.Time) {
	e.status = status
	e.since = now
	t.rehash(e)
}

// rehash updates the hash of an entry and of its bucket.
func (t *table) rehash(e *entry) {
	bucket := &t.buckets[e.key%bucketCount]
	*bucket ^= e.hash
	e.hash = 0
	if !e.deadOrLeaving() {
		e.hash = hashRecord(&e.record)
	}
	*bucket ^= e.hash
}

// remove deletes a host from the table. An unknown host is ignored.
func (t *table) remove(host string) {
	e := t.hosts[host]
	if e == nil {
		return
	}
	t.buckets[e.key%bucketCount] ^= e.hash
	delete(t.hosts, host)
	t.all = removeEntry(t.all, e)
	zone := removeEntry(t.zones[e.record.Zone], e)
	if len(zone) == 0 {
		delete(t.zones, e.record.Zone)
		return
	}
	t.zones[e.record.Zone] = zone
}

// insert adds an entry to a list sorted by host.
func insert(list []*entry, e *entry) []*entry {
	at, _ := slices.BinarySearchFunc(list, e.record.Host, byHost)
	return slices.Insert(list, at, e)
}

// removeEntry removes an entry from a list sorted by host.
func removeEntry(list []*entry, e *entry) []*entry {
	at, _ := slices.BinarySearchFunc(list, e.record.Host, byHost)
	return slices.Delete(list, at, at+1)
}

// root returns the hash of all buckets.
func (t *table) root() uint64 {
	var data [4 * bucketCount]byte
	for i, hash := range t.buckets {
		binary.LittleEndian.PutUint32(data[4*i:], hash)
	}
	return xxhash.Sum64(data[:])
}

// zoneNames returns the sorted names of the zones.
func (t *table) zoneNames() []string {
	names := make([]string, 0, len(t.zones))
	for name := range t.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// inBuckets returns the entries of the wanted buckets, sorted by host.
func (t *table) inBuckets(wanted *[bucketCount]bool) []*entry {
	var found []*entry
	for _, e := range t.all {
		if wanted[e.key%bucketCount] {
			found = append(found, e)
		}
	}
	return found
}

// hashRecord returns the hash of a version of a host's record.
func hashRecord(r *Record) uint32 {
	data := make([]byte, 0, 64)
	data = append(data, r.Host...)
	data = binary.LittleEndian.AppendUint64(data, r.Incarnation)
	data = binary.LittleEndian.AppendUint64(data, r.Sequence)
	return uint32(xxhash.Sum64(data))
}
