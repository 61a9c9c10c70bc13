package balance

import (
	"cmp"
	"slices"
	"strings"

	"sassafrasnotch.example/coord/gossip"
)

// Locality is the location of the local daemon: its host, availability zone and region.
type Locality struct {
	Host   string
	Zone   string
	Region string
}

// tier returns the distance tier of the endpoint.
func (l Locality) tier(endpoint *Endpoint) int {
	switch {
	case endpoint.Zone == l.Zone:
		return tierZone
	case endpoint.Region == l.Region:
		return tierRegion
	}
	return tierElsewhere
}

// VersionKey identifies a version of a service.
type VersionKey struct {
	Service string
	Version string
}

// Index holds the endpoints of each version. It is immutable except for the states of its
// endpoints.
type Index struct {
	self    Locality
	groups  map[VersionKey]*Group
	pending []VersionKey // versions that GroupExcept leaves out
}

// NewIndex returns an index of the endpoints that the members announce. The states of
// endpoints carry over from the previous index, which may be nil, for hosts that did not
// restart.
func NewIndex(self Locality, members []gossip.Member, previous *Index) *Index {
	states := previous.states()
	endpoints := make(map[VersionKey][]*Endpoint)
	for i := range members {
		if acceptsWork(&members[i]) {
			addMember(endpoints, &members[i], states)
		}
	}
	index := &Index{self: self, groups: make(map[VersionKey]*Group, len(endpoints))}
	for key, list := range endpoints {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.Host, b.Host) })
		index.groups[key] = newGroup(list, self)
	}
	return index
}

// Group returns the endpoints of a version, or nil if there are none.
func (x *Index) Group(service, version string) *Group {
	return x.groups[VersionKey{service, version}]
}

// WithPending returns a copy of the index in which the given versions, and no others, are
// pending: they receive no requests from a share for revision.AnyVersion.
func (x *Index) WithPending(versions []VersionKey) *Index {
	return &Index{self: x.self, groups: x.groups, pending: versions}
}

// GroupExcept returns the endpoints of all versions of the service except those given and
// the pending ones, or nil if there are none.
func (x *Index) GroupExcept(service string, versions []string) *Group {
	var endpoints []*Endpoint
	for key, group := range x.groups {
		if key.Service == service && !slices.Contains(versions, key.Version) && !slices.Contains(x.pending, key) {
			endpoints = append(endpoints, group.Endpoints()...)
		}
	}
	if len(endpoints) == 0 {
		return nil
	}
	slices.SortFunc(endpoints, func(a, b *Endpoint) int {
		return cmp.Or(strings.Compare(a.Host, b.Host), strings.Compare(a.Version, b.Version))
	})
	return newGroup(endpoints, x.self)
}

// stateKey identifies an endpoint during one incarnation of its host.
type stateKey struct {
	VersionKey
	host        string
	incarnation uint64
}

// states returns the states of all endpoints; none if the index is nil.
func (x *Index) states() map[stateKey]*State {
	states := make(map[stateKey]*State)
	if x == nil {
		return states
	}
	for version, group := range x.groups {
		for _, endpoint := range group.Endpoints() {
			states[stateKey{version, endpoint.Host, endpoint.incarnation}] = endpoint.State
		}
	}
	return states
}

// addMember adds an endpoint for each version of which the member has targets that are not
// leaving.
func addMember(endpoints map[VersionKey][]*Endpoint, member *gossip.Member, states map[stateKey]*State) {
	slots := make(map[VersionKey]int)
	for _, target := range member.Targets {
		if target.State != gossip.TargetLeaving {
			slots[VersionKey{target.Service, target.Version}] += target.Slots
		}
	}
	for version, count := range slots {
		state := states[stateKey{version, member.Host, member.Incarnation}]
		if state == nil {
			state = &State{}
		}
		endpoints[version] = append(endpoints[version], &Endpoint{
			Host:        member.Host,
			Zone:        member.Zone,
			Region:      member.Region,
			Address:     member.PeerAddress,
			Version:     version.Version,
			Slots:       count,
			State:       state,
			suspect:     member.Status == gossip.Suspect,
			incarnation: member.Incarnation,
		})
	}
}
