package source

import (
	"fmt"
	"time"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/ticket"
)

// rowState holds the newest known rows of the store. Rows may be added in any order and any number
// of times: the result is the latest state, and no row is replaced by an older one. A rowState
// performs no I/O and is not safe for concurrent use.
type rowState struct {
	configuration *Configuration
	orders        map[string]observedOrder // by service
	rollouts      map[string]RolloutRow    // by service, the newest of each
	// barred holds the versions that were rolled back, by service.
	barred map[string]map[string]bool
	settle time.Duration // Timing.Settle
	// changed is set if a row was added since the last published snapshot. The revision does not show
	// this, since a row may arrive after others that were written later.
	changed bool
}

// observedOrder is an order with the time at which a daemon first observed it.
type observedOrder struct {
	RolloutOrder
	observedAt time.Time // on the store's clock
}

// newRowState returns a state without rows.
func newRowState(settle time.Duration) *rowState {
	return &rowState{
		settle:   settle,
		orders:   make(map[string]observedOrder),
		rollouts: make(map[string]RolloutRow),
		barred:   make(map[string]map[string]bool),
	}
}

// addConfiguration replaces the configuration by a newer one. It ignores rows that are not newer in
// the store. If the version is not higher or any part is invalid, it returns an error and keeps
// the present configuration.
func (s *rowState) addConfiguration(next Configuration) error {
	present := s.configuration
	if present != nil && next.StoreVersion <= present.StoreVersion {
		return nil // not newer in the store
	}
	if present != nil && next.Number <= present.Number {
		return fmt.Errorf("version %d is not higher than the present version %d", next.Number, present.Number)
	}
	s.configuration = &next
	if _, err := s.snapshot(); err != nil {
		s.configuration = present
		return err
	}
	s.changed = true
	return nil
}

// addOrder adds an order that was observed at a time, and reports whether it is newer than the
// present one of its service.
func (s *rowState) addOrder(next RolloutOrder, observedAt time.Time) bool {
	if present, ok := s.orders[next.Service]; ok && present.StoreVersion >= next.StoreVersion {
		return false
	}
	s.orders[next.Service] = observedOrder{RolloutOrder: next, observedAt: observedAt}
	s.changed = true
	return true
}

// addRollout adds the row of a rollout if it is newer than the present one of its service. If the row is
// not valid, it returns an error and keeps the present one: no snapshot could be composed any more.
func (s *rowState) addRollout(row RolloutRow) error {
	if present, ok := s.rollouts[row.Service]; ok && present.StoreVersion >= row.StoreVersion {
		return nil
	}
	if err := row.Validate(); err != nil {
		return err
	}
	s.rollouts[row.Service] = row
	s.changed = true
	if row.Verdict == ticket.RolledBack {
		s.bar(row.Service, row.To)
	}
	return nil
}

// bar records that a version of a service was rolled back.
func (s *rowState) bar(service, version string) {
	if s.barred[service] == nil {
		s.barred[service] = make(map[string]bool)
	}
	s.barred[service][version] = true
}

// rolloutRunning reports whether the rollout of any order has no final verdict yet.
func (s *rowState) rolloutRunning() bool {
	for service, order := range s.orders {
		row, ok := s.rollouts[service]
		if !ok || row.Ticket < order.StoreVersion || row.Verdict == ticket.Running {
			return true
		}
	}
	return false
}

// snapshot composes a snapshot, or returns nil if there is no configuration. The revision of the
// snapshot is the newest store version of the rows that it is composed of.
func (s *rowState) snapshot() (*revision.Snapshot, error) {
	if s.configuration == nil {
		return nil, nil
	}
	newest := s.configuration.StoreVersion
	resources := []revision.Resource{{Limits: &s.configuration.Limits}}
	for i := range s.configuration.Services {
		service := &s.configuration.Services[i]
		split, version := s.split(service.Name)
		newest = max(newest, version)
		resources = append(resources, revision.Resource{Service: service}, revision.Resource{Split: split})
		if named := namedVersion(split); named != "" {
			resources = append(resources, revision.Resource{Version: &revision.Version{Service: service.Name, Name: named}})
		}
	}
	for i := range s.configuration.Routes {
		resources = append(resources, revision.Resource{Route: &s.configuration.Routes[i]})
	}
	return revision.NewSnapshot(newest, s.configuration.Number, resources)
}

// revisions returns the newest store versions of the rows of operators and of those of rollouts. The two
// are read separately, so that a host may have the newer ones of one kind and the older ones of the
// other. latest is the revision of the snapshot.
func (s *rowState) revisions(latest uint64) gossip.Revisions {
	revisions := gossip.Revisions{Latest: latest, Configuration: s.configuration.StoreVersion}
	for _, order := range s.orders {
		revisions.Configuration = max(revisions.Configuration, order.StoreVersion)
	}
	for _, row := range s.rollouts {
		revisions.Rollouts = max(revisions.Rollouts, row.StoreVersion)
	}
	return revisions
}

// namedVersion returns the version that a split names beside AnyVersion.
func namedVersion(split *revision.Split) string {
	if split.Rollout != nil {
		return split.Rollout.To
	}
	for _, share := range split.Shares {
		if share.Version != revision.AnyVersion {
			return share.Version
		}
	}
	return ""
}

// split returns the traffic split of a service with the store version of the newest row that it is
// derived from, 0 if there is none.
func (s *rowState) split(service string) (*revision.Split, uint64) {
	split := revision.Split{
		Service: service,
		Shares:  []revision.Share{{Version: revision.AnyVersion, Weight: revision.FullShare}},
	}
	row, hasRollout := s.rollouts[service]
	newest := row.StoreVersion
	if order, ok := s.orders[service]; ok {
		newest = max(newest, order.StoreVersion)
		if !hasRollout || row.Ticket < order.StoreVersion {
			row.State, hasRollout = order.initialState(s.settle), true
		}
	}
	if hasRollout && row.Verdict != ticket.RolledBack {
		split = row.Split()
	}
	for version := range s.barred[service] {
		if split.Rollout == nil || split.Rollout.To != version {
			split.Barred = append(split.Barred, version)
		}
	}
	return &split, newest
}

// initialState returns the state of a rollout that no controller has started yet. Each daemon
// computes its deadline from the time at which the order was observed; the deadline in the
// controller's row replaces it.
func (o *observedOrder) initialState(settle time.Duration) rollout.State {
	return rollout.NewState(o.Service, revision.Rollout{
		Ticket: o.StoreVersion, From: revision.AnyVersion, To: o.Version,
		Target: revision.FullShare, By: o.observedAt.Add(o.Within), Settle: revision.Duration(settle),
	}, revision.PreferBounded, o.observedAt)
}
