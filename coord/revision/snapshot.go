package revision

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Entry is one resource of a snapshot with its origin.
type Entry struct {
	Resource
	// Ticket is the number of the ticket that last set the resource.
	Ticket uint64 `json:"ticket"`
	// Revision is the revision that last set the resource.
	Revision uint64 `json:"revision"`
}

// Snapshot is the whole state at one revision. It is immutable: Apply returns
// a new one. The zero revision is the empty state.
type Snapshot struct {
	revision uint64
	hash     uint64
	entries  map[Ref]Entry
	prefixes map[prefixKey]*Route
	moving   []*Split
}

// prefixKey is what routes are matched by; an empty host stands for any.
type prefixKey struct{ host, prefix string }

// Empty returns the state before the first change.
func Empty() *Snapshot {
	return &Snapshot{entries: map[Ref]Entry{}, prefixes: map[prefixKey]*Route{}}
}

// Revision returns the number of the newest change in the snapshot.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Hash returns the hash of the whole state.
func (s *Snapshot) Hash() uint64 { return s.hash }

// Entry returns a resource with its origin.
func (s *Snapshot) Entry(ref Ref) (Entry, bool) {
	entry, ok := s.entries[ref]
	return entry, ok
}

// Entries returns all resources in the order of their references.
func (s *Snapshot) Entries() []Entry {
	entries := make([]Entry, 0, len(s.entries))
	for _, entry := range s.entries {
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(i, j int) bool {
		return entries[i].Ref().String() < entries[j].Ref().String()
	})
	return entries
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	entry, ok := s.entries[Ref{KindService, name}]
	return entry.Service, ok
}

// Route returns a route by name.
func (s *Snapshot) Route(name string) (*Route, bool) {
	entry, ok := s.entries[Ref{KindRoute, name}]
	return entry.Route, ok
}

// Version returns a version of a service.
func (s *Snapshot) Version(service, name string) (*Version, bool) {
	entry, ok := s.entries[Ref{KindVersion, VersionName(service, name)}]
	return entry.Version, ok
}

// Split returns the split of a service.
func (s *Snapshot) Split(service string) (*Split, bool) {
	entry, ok := s.entries[Ref{KindSplit, service}]
	return entry.Split, ok
}

// CallerLimits returns the limits of callers; they are 0 if none are set.
func (s *Snapshot) CallerLimits() CallerLimits {
	if entry, ok := s.entries[Ref{KindLimits, callersName}]; ok {
		return *entry.Limits
	}
	return CallerLimits{}
}

// RunningRollouts returns the splits of the services with a running move, by name.
func (s *Snapshot) RunningRollouts() []*Split { return s.moving }

// Match returns the route with the longest prefix of the path, by whole path
// segments, among those of the host name, or else among those of any host.
func (s *Snapshot) Match(host, path string) (*Route, bool) {
	if host != "" {
		if route, ok := s.match(host, path); ok {
			return route, true
		}
	}
	return s.match("", path)
}

func (s *Snapshot) match(host, path string) (*Route, bool) {
	for {
		if route, ok := s.prefixes[prefixKey{host, path}]; ok {
			return route, true
		}
		if path == "" {
			return nil, false
		}
		if strings.HasSuffix(path, "/") {
			path = path[:len(path)-1]
			continue
		}
		path = path[:strings.LastIndexByte(path, '/')+1]
	}
}

// NewSnapshot returns the state made of the resources alone, as one that was set
// whole by the ticket. The error wraps ErrInvalid and names every problem.
func NewSnapshot(revision, ticket uint64, resources []Resource) (*Snapshot, error) {
	composed := &Snapshot{revision: revision, entries: make(map[Ref]Entry, len(resources))}
	for _, resource := range resources {
		ref := resource.Ref()
		if _, twice := composed.entries[ref]; twice {
			return nil, fmt.Errorf("%w: %s is set twice", ErrInvalid, ref)
		}
		if err := composed.put(Entry{Resource: resource, Ticket: ticket, Revision: revision}); err != nil {
			return nil, err
		}
	}
	if err := composed.finish(); err != nil {
		return nil, err
	}
	return composed, nil
}

// Apply returns the snapshot with the change applied. The change must carry the
// next revision, leave no dangling reference and reproduce the writer's hash;
// otherwise the error wraps ErrGap, ErrInvalid or ErrHash and nothing is
// applied.
func (s *Snapshot) Apply(change *Change) (*Snapshot, error) {
	next, err := s.Preview(change)
	if err != nil {
		return nil, err
	}
	if next.hash != change.StateHash {
		return nil, fmt.Errorf("%w: revision %d has %x, expected %x", ErrHash, change.Revision, next.hash, change.StateHash)
	}
	return next, nil
}

// Preview returns the state that the change would result in. It checks all that
// Apply checks but the hash, which the writer does not know yet.
func (s *Snapshot) Preview(change *Change) (*Snapshot, error) {
	if change.Revision != s.revision+1 {
		return nil, fmt.Errorf("%w: have revision %d, got %d", ErrGap, s.revision, change.Revision)
	}
	next := &Snapshot{revision: change.Revision, hash: s.hash, entries: maps.Clone(s.entries)}
	for _, ref := range change.Delete {
		next.remove(ref)
	}
	for _, resource := range change.Put {
		if err := next.put(Entry{Resource: resource, Ticket: change.Ticket, Revision: change.Revision}); err != nil {
			return nil, err
		}
	}
	if err := next.finish(); err != nil {
		return nil, err
	}
	return next, nil
}

// remove deletes a resource if it is there.
func (s *Snapshot) remove(ref Ref) {
	if old, ok := s.entries[ref]; ok {
		s.hash ^= hashEntry(old)
		delete(s.entries, ref)
	}
}

// put replaces a resource and keeps the hash in step.
func (s *Snapshot) put(entry Entry) error {
	ref := entry.Ref()
	if ref.Name == "" {
		return fmt.Errorf("%w: resource without a kind or name", ErrInvalid)
	}
	s.remove(ref)
	s.entries[ref] = entry
	s.hash ^= hashEntry(entry)
	return nil
}

// finish checks the references and builds the indexes.
func (s *Snapshot) finish() error {
	if problems := s.check(); len(problems) > 0 {
		return fmt.Errorf("%w: %w", ErrInvalid, errors.Join(problems...))
	}
	s.prefixes = make(map[prefixKey]*Route)
	for _, entry := range s.entries {
		if entry.Route != nil {
			s.prefixes[prefixKey{entry.Route.Host, entry.Route.Prefix}] = entry.Route
		}
		if entry.Split != nil && entry.Split.Rollout != nil {
			s.moving = append(s.moving, entry.Split)
		}
	}
	sort.Slice(s.moving, func(i, j int) bool { return s.moving[i].Service < s.moving[j].Service })
	return nil
}

// hashEntry hashes a resource with its origin. The state's hash is the
// exclusive or over its entries, so a change costs only what it touches.
func hashEntry(entry Entry) uint64 {
	data, err := json.Marshal(entry)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// encodedSnapshot is the stored form of a snapshot.
type encodedSnapshot struct {
	Revision uint64  `json:"revision"`
	Hash     uint64  `json:"hash,string"`
	Entries  []Entry `json:"entries"`
}

// Encode returns the snapshot as stored; equal states encode equally.
func (s *Snapshot) Encode() ([]byte, error) {
	return json.Marshal(encodedSnapshot{Revision: s.revision, Hash: s.hash, Entries: s.Entries()})
}

// DecodeSnapshot reads an encoded snapshot and verifies its hash and
// references. It returns ErrCorrupt, ErrInvalid or ErrHash.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	var encoded encodedSnapshot
	if err := json.Unmarshal(data, &encoded); err != nil {
		return nil, fmt.Errorf("%w: snapshot: %w", ErrCorrupt, err)
	}
	snapshot := Empty()
	snapshot.revision = encoded.Revision
	for _, entry := range encoded.Entries {
		if err := snapshot.put(entry); err != nil {
			return nil, err
		}
	}
	if snapshot.hash != encoded.Hash {
		return nil, fmt.Errorf("%w: snapshot %d", ErrHash, encoded.Revision)
	}
	if err := snapshot.finish(); err != nil {
		return nil, err
	}
	return snapshot, nil
}
