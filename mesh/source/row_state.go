package source

import (
	"fmt"
	"time"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
)

// rowState holds the newest known rows of the store. Rows may be added in any order and any number
// of times: the result is the latest state, and no row is replaced by an older one. What a store that
// comes back from an older copy no longer has stays in force until it is written again or superseded
// (see restored.go). A rowState performs no I/O and is not safe for concurrent use.
type rowState struct {
	configuration *Configuration
	// outdated is the configuration with a lower number that a later era has, nil if there is none.
	outdated *outdatedConfiguration
	orders   map[string]observedOrder // by service
	// formerOrders are the orders that later ones have replaced, by service, the latest last.
	formerOrders map[string][]RolloutOrder
	rollouts     map[string]RolloutRow // by service, the newest of each
	// barred holds the versions that were rolled back, by service.
	barred      map[string]map[string]bool
	evacuations evacuations
	settle      time.Duration // Timing.Settle
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
		settle:       settle,
		orders:       make(map[string]observedOrder),
		formerOrders: make(map[string][]RolloutOrder),
		rollouts:     make(map[string]RolloutRow),
		barred:       make(map[string]map[string]bool),
		evacuations:  newEvacuations(),
	}
}

// addConfiguration replaces the configuration by a newer one. It ignores rows that are not newer in
// the store. If the version is not higher or any part is invalid, it returns an error and keeps
// the present configuration.
func (s *rowState) addConfiguration(next Configuration, now time.Time) error {
	present := s.configuration
	if present != nil {
		switch {
		case next.Position <= present.Position:
			return nil // not newer in the store
		case next.Position.Era() > present.Position.Era():
			if !s.supersedes(&next, now) {
				return nil
			}
		case next.Number <= present.Number:
			return fmt.Errorf("version %d is not higher than the present version %d", next.Number, present.Number)
		}
	}
	s.configuration = &next
	if _, err := s.snapshot(); err != nil {
		s.configuration = present
		return err
	}
	s.outdated = nil
	s.changed = true
	return nil
}

// addOrder adds an order that was observed at a time, and reports whether it is newer than the
// present one of its service.
func (s *rowState) addOrder(next RolloutOrder, observedAt time.Time) bool {
	present, ok := s.orders[next.Service]
	if ok && present.Position >= next.Position {
		return false
	}
	if ok && next.Position.Era() > present.Position.Era() {
		if s.isFormerOrder(&next) {
			return false
		}
		if present.isSame(&next) {
			present.Position = next.Position
			s.orders[next.Service] = present
			s.recordWrittenAgain(next.Service)
			s.changed = true
			return false
		}
	}
	if ok {
		s.rememberOrder(present.RolloutOrder)
	}
	if next.Ticket == 0 {
		next.Ticket = uint64(next.Position)
	}
	s.orders[next.Service] = observedOrder{RolloutOrder: next, observedAt: observedAt}
	s.linkTicket(next.Service)
	s.changed = true
	return true
}

// addRollout adds the row of a rollout if it is newer than the present one of its service. If the row is
// not valid, it returns an error and keeps the present one: no snapshot could be composed any more.
func (s *rowState) addRollout(row RolloutRow) error {
	present, ok := s.rollouts[row.Service]
	if ok && present.Position >= row.Position {
		return nil
	}
	if err := row.Validate(); err != nil {
		return err
	}
	if ok && row.Position.Era() > present.Position.Era() && s.isOlderState(&row, &present) {
		return nil
	}
	s.rollouts[row.Service] = row
	s.linkTicket(row.Service)
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
		if !ok || row.Ticket < order.Ticket || row.Verdict == ticket.Running {
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
	newest := s.configuration.Position
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
	for i := range s.configuration.Tenants {
		resources = append(resources, revision.Resource{Tenant: &s.configuration.Tenants[i]})
	}
	for _, zone := range s.evacuations.zones() {
		resources = append(resources, revision.Resource{Evacuation: &revision.Evacuation{Zone: zone}})
	}
	newest = max(newest, s.evacuations.revision)
	return revision.NewSnapshot(uint64(newest), s.configuration.Number, resources)
}

// revisions returns the newest store versions of the rows of operators and of those of rollouts. The two
// are read separately, so that a host may have the newer ones of one kind and the older ones of the
// other. latest is the revision of the snapshot.
func (s *rowState) revisions(latest uint64) gossip.Revisions {
	configuration, rollouts := max(s.configuration.Position, s.evacuations.revision), store.Position(0)
	for _, order := range s.orders {
		configuration = max(configuration, order.Position)
	}
	for _, row := range s.rollouts {
		rollouts = max(rollouts, row.Position)
	}
	return gossip.Revisions{Latest: latest, Configuration: uint64(configuration), Rollouts: uint64(rollouts)}
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
func (s *rowState) split(service string) (*revision.Split, store.Position) {
	split := revision.Split{
		Service: service,
		Shares:  []revision.Share{{Version: revision.AnyVersion, Weight: revision.FullShare}},
	}
	row, hasRollout := s.rollouts[service]
	newest := row.Position
	if order, ok := s.orders[service]; ok {
		newest = max(newest, order.Position)
		if !hasRollout || row.Ticket < order.Ticket {
			row.State, hasRollout = order.initialState(s.settle), true
		}
	}
	if hasRollout && row.Verdict != ticket.RolledBack {
		split = row.Split()
		if order, ok := s.orders[service]; ok && split.Rollout != nil {
			split.Rollout.Order = order.writtenAgainAt()
		}
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
		Ticket: o.Ticket, From: revision.AnyVersion, To: o.Version,
		Target: revision.FullShare, By: o.observedAt.Add(o.Within), Settle: revision.Duration(settle),
	}, revision.PreferBounded, o.observedAt)
}
