package source

import (
	"fmt"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/ticket"
)

// view is what is known of the store's rows. It is pure: rows go in, in any
// order and any number of times, and the newest state comes out. No part of it
// goes back to an older row.
type view struct {
	configuration *Configuration
	orders        map[string]orderedMove // by service
	moves         map[string]RolloutRow  // by service, the newest of each
	// barred are the versions that were taken back, by service.
	barred map[string]map[string]bool
	settle time.Duration // of moves
	// changed is set when a row was taken in since the last snapshot. The
	// revision does not tell: rows may come behind others that were written later.
	changed bool
}

type orderedMove struct {
	RolloutOrder
	announced time.Time // on the store's clock
}

func newView(settle time.Duration) *view {
	return &view{
		settle: settle,
		orders: make(map[string]orderedMove),
		moves:  make(map[string]RolloutRow),
		barred: make(map[string]map[string]bool),
	}
}

// configure takes a configuration in. It returns an error, and keeps what is in
// force, if the configuration is older or not valid as a whole.
func (v *view) configure(next Configuration) error {
	present := v.configuration
	if present != nil && next.StoreVersion <= present.StoreVersion {
		return nil // read again
	}
	if present != nil && next.Number <= present.Number {
		return fmt.Errorf("version %d is not newer than version %d", next.Number, present.Number)
	}
	v.configuration = &next
	if _, err := v.snapshot(); err != nil {
		v.configuration = present
		return err
	}
	v.changed = true
	return nil
}

// order takes an order in and reports whether it is new.
func (v *view) order(next RolloutOrder, now time.Time) bool {
	if present, ok := v.orders[next.Service]; ok && present.StoreVersion >= next.StoreVersion {
		return false
	}
	v.orders[next.Service] = orderedMove{RolloutOrder: next, announced: now}
	v.changed = true
	return true
}

// move takes the row of a move in.
func (v *view) move(row RolloutRow) {
	if present, ok := v.moves[row.Service]; ok && present.StoreVersion >= row.StoreVersion {
		return
	}
	v.moves[row.Service] = row
	v.changed = true
	if row.Verdict == ticket.TakenBack {
		v.bar(row.Service, row.To)
	}
}

// bar notes that a version of a service was taken back.
func (v *view) bar(service, version string) {
	if v.barred[service] == nil {
		v.barred[service] = make(map[string]bool)
	}
	v.barred[service][version] = true
}

// moving reports whether an order has no verdict yet.
func (v *view) moving() bool {
	for service, order := range v.orders {
		row, ok := v.moves[service]
		if !ok || row.Ticket < order.StoreVersion || row.Verdict == ticket.Running {
			return true
		}
	}
	return false
}

// snapshot composes the state, or returns nil without a configuration. Its
// revision is the newest version of the rows that it was made from.
func (v *view) snapshot() (*revision.Snapshot, error) {
	if v.configuration == nil {
		return nil, nil
	}
	newest := v.configuration.StoreVersion
	resources := []revision.Resource{{Limits: &v.configuration.Limits}}
	for i := range v.configuration.Services {
		service := &v.configuration.Services[i]
		split, written := v.split(service.Name)
		newest = max(newest, written)
		resources = append(resources, revision.Resource{Service: service}, revision.Resource{Split: split})
		if version := namedVersion(split); version != "" {
			resources = append(resources, revision.Resource{Version: &revision.Version{Service: service.Name, Name: version}})
		}
	}
	for i := range v.configuration.Routes {
		resources = append(resources, revision.Resource{Route: &v.configuration.Routes[i]})
	}
	return revision.Compose(newest, v.configuration.Number, resources)
}

// namedVersion returns the version that a split names beside AnyVersion.
func namedVersion(split *revision.Split) string {
	if split.Move != nil {
		return split.Move.To
	}
	for _, share := range split.Shares {
		if share.Version != revision.AnyVersion {
			return share.Version
		}
	}
	return ""
}

// split returns the split of a service with the version of the newest row that
// it was made from.
func (v *view) split(service string) (*revision.Split, uint64) {
	split := revision.Split{
		Service: service,
		Shares:  []revision.Share{{Version: revision.AnyVersion, Weight: revision.FullShare}},
	}
	row, moved := v.moves[service]
	written := row.StoreVersion
	if order, ok := v.orders[service]; ok {
		written = max(written, order.StoreVersion)
		if !moved || row.Ticket < order.StoreVersion {
			row.State, moved = order.start(v.settle), true
		}
	}
	if moved && row.Verdict != ticket.TakenBack {
		split = row.Split()
	}
	for version := range v.barred[service] {
		if split.Move == nil || split.Move.To != version {
			split.Barred = append(split.Barred, version)
		}
	}
	return &split, written
}

// start returns the state of a move that no controller has taken up yet. Every
// daemon announces it when it learns of the order; the controller's row sets the
// time that holds.
func (o *orderedMove) start(settle time.Duration) rollout.State {
	return rollout.NewState(o.Service, revision.Move{
		Ticket: o.StoreVersion, From: revision.AnyVersion, To: o.Version,
		Target: revision.FullShare, By: o.announced.Add(o.Within), Settle: revision.Duration(settle),
	}, revision.PreferBounded, o.announced)
}
