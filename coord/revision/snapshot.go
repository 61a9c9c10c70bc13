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

// Entry is one resource of a snapshot with the change that last set it.
type Entry struct {
	Resource
	// Ticket is the number of the ticket that last set the resource.
	Ticket uint64 `json:"ticket"`
	// Revision is the revision that last set the resource.
	Revision uint64 `json:"revision"`
}

// Snapshot is the whole configuration at one revision. It is immutable: Apply returns a new
// snapshot. Revision 0 is the empty state.
type Snapshot struct {
	revision uint64
	hash     uint64
	entries  map[Ref]Entry
	prefixes map[prefixKey]*Route // index for Match
	rollouts []*Split             // splits with a running rollout, sorted by service
	tenants  []*Tenant            // sorted by name
	// keyHolders are the tenants by the hashes of their API keys.
	keyHolders map[string]*Tenant
	// topPriority is the highest priority of a tenant.
	topPriority int
}

// prefixKey is the host name and path prefix of a route; an empty host matches any host name.
type prefixKey struct{ host, prefix string }

// Empty returns the state before the first change.
func Empty() *Snapshot {
	return &Snapshot{entries: map[Ref]Entry{}, prefixes: map[prefixKey]*Route{}}
}

// Revision returns the revision of the snapshot.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Hash returns the hash of all entries. It does not depend on the order in which they were set.
func (s *Snapshot) Hash() uint64 { return s.hash }

// Entry returns a resource with the change that last set it, and whether it exists.
func (s *Snapshot) Entry(ref Ref) (Entry, bool) {
	entry, ok := s.entries[ref]
	return entry, ok
}

// Entries returns all resources, sorted by reference.
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

// Service returns a service by name, and whether it exists.
func (s *Snapshot) Service(name string) (*Service, bool) {
	entry, ok := s.entries[Ref{KindService, name}]
	return entry.Service, ok
}

// Route returns a route by name, and whether it exists.
func (s *Snapshot) Route(name string) (*Route, bool) {
	entry, ok := s.entries[Ref{KindRoute, name}]
	return entry.Route, ok
}

// Version returns a version of a service by name, and whether it exists.
func (s *Snapshot) Version(service, name string) (*Version, bool) {
	entry, ok := s.entries[Ref{KindVersion, VersionName(service, name)}]
	return entry.Version, ok
}

// Split returns the split of a service, and whether it exists.
func (s *Snapshot) Split(service string) (*Split, bool) {
	entry, ok := s.entries[Ref{KindSplit, service}]
	return entry.Split, ok
}

// CallerLimits returns the limits that apply to all callers; all are 0 if none are set.
func (s *Snapshot) CallerLimits() CallerLimits {
	if entry, ok := s.entries[Ref{KindLimits, callerLimitsName}]; ok {
		return *entry.Limits
	}
	return CallerLimits{}
}

// RunningRollouts returns the splits with a running rollout, sorted by service name.
func (s *Snapshot) RunningRollouts() []*Split { return s.rollouts }

// Match returns the route whose prefix is the longest that matches the path by whole path
// segments. Routes restricted to the host name take precedence over routes for any host.
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

// NewSnapshot returns a snapshot that holds exactly the resources, all set by the ticket at
// the revision. The error wraps ErrInvalid and lists every problem.
func NewSnapshot(revision, ticket uint64, resources []Resource) (*Snapshot, error) {
	snapshot := &Snapshot{revision: revision, entries: make(map[Ref]Entry, len(resources))}
	for _, resource := range resources {
		ref := resource.Ref()
		if _, duplicate := snapshot.entries[ref]; duplicate {
			return nil, fmt.Errorf("%w: %s is listed twice", ErrInvalid, ref)
		}
		if err := snapshot.put(Entry{Resource: resource, Ticket: ticket, Revision: revision}); err != nil {
			return nil, err
		}
	}
	if err := snapshot.checkAndIndex(); err != nil {
		return nil, err
	}
	return snapshot, nil
}

// Apply returns a new snapshot with the change applied. The change must have the next revision,
// leave no dangling reference and result in its state hash; otherwise the error wraps ErrGap,
// ErrInvalid or ErrHash.
func (s *Snapshot) Apply(change *Change) (*Snapshot, error) {
	next, err := s.Preview(change)
	if err != nil {
		return nil, err
	}
	if next.hash != change.StateHash {
		return nil, fmt.Errorf("%w: revision %d results in %x, the change states %x", ErrHash, change.Revision, next.hash, change.StateHash)
	}
	return next, nil
}

// Preview returns the snapshot that the change would result in. It checks all that Apply checks
// except the state hash, which the writer computes from the result.
func (s *Snapshot) Preview(change *Change) (*Snapshot, error) {
	if change.Revision != s.revision+1 {
		return nil, fmt.Errorf("%w: the snapshot is at revision %d, the change is revision %d", ErrGap, s.revision, change.Revision)
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
	if err := next.checkAndIndex(); err != nil {
		return nil, err
	}
	return next, nil
}

// remove deletes a resource if it exists and updates the hash.
func (s *Snapshot) remove(ref Ref) {
	if old, ok := s.entries[ref]; ok {
		s.hash ^= hashEntry(old)
		delete(s.entries, ref)
	}
}

// put adds or replaces a resource and updates the hash.
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

// checkAndIndex checks the state and builds the indexes of routes and rollouts.
func (s *Snapshot) checkAndIndex() error {
	if problems := s.check(); len(problems) > 0 {
		return fmt.Errorf("%w: %w", ErrInvalid, errors.Join(problems...))
	}
	s.prefixes = make(map[prefixKey]*Route)
	for _, entry := range s.entries {
		if entry.Tenant != nil {
			s.tenants = append(s.tenants, entry.Tenant)
		}
		if entry.Route != nil {
			s.prefixes[prefixKey{entry.Route.Host, entry.Route.Prefix}] = entry.Route
		}
		if entry.Split != nil && entry.Split.Rollout != nil {
			s.rollouts = append(s.rollouts, entry.Split)
		}
	}
	s.indexTenants()
	sort.Slice(s.rollouts, func(i, j int) bool { return s.rollouts[i].Service < s.rollouts[j].Service })
	return nil
}

// hashEntry returns the xxHash of an entry's encoding. The hash of a state is the exclusive or
// over its entries, so that the cost of a change depends only on the entries it changes.
func hashEntry(entry Entry) uint64 {
	data, err := json.Marshal(entry)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// encodedSnapshot is the stored form of a Snapshot.
type encodedSnapshot struct {
	Revision uint64  `json:"revision"`
	Hash     uint64  `json:"hash,string"`
	Entries  []Entry `json:"entries"`
}

// Encode returns the stored form of the snapshot. Equal snapshots have equal encodings.
func (s *Snapshot) Encode() ([]byte, error) {
	return json.Marshal(encodedSnapshot{Revision: s.revision, Hash: s.hash, Entries: s.Entries()})
}

// DecodeSnapshot decodes a stored snapshot and checks its hash and references. The error wraps
// ErrCorrupt, ErrInvalid or ErrHash.
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
		return nil, fmt.Errorf("%w: snapshot of revision %d", ErrHash, encoded.Revision)
	}
	if err := snapshot.checkAndIndex(); err != nil {
		return nil, err
	}
	return snapshot, nil
}
