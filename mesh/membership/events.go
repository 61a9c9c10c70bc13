package membership

import (
	"sync"

	"sassafrasnotch.example/coord/gossip"
)

// events queues events for the callbacks and delivers them in order, one callback at a time, without
// holding a lock that a callback could need.
type events struct {
	mu sync.Mutex
	callbacks
	pending
	delivering bool
}

// callbacks are the registered callbacks, by kind of event.
type callbacks struct {
	onChange        []func([]gossip.Member)
	onNewerRevision []func(gossip.RevisionReport)
	onUpdate        []func(gossip.Update)
}

// pending holds the events that are not yet delivered.
type pending struct {
	changed        bool
	newerRevisions []gossip.RevisionReport
	updates        []gossip.Update
}

func (p *pending) empty() bool {
	return !p.changed && len(p.newerRevisions) == 0 && len(p.updates) == 0
}

// OnChange registers f, which is called with the new member list after members changed. Changes
// that follow each other closely may lead to one call. f must not block.
func (m *Membership) OnChange(f func([]gossip.Member)) {
	m.events.mu.Lock()
	defer m.events.mu.Unlock()
	m.events.onChange = append(m.events.onChange, f)
}

// OnNewerRevision registers f, which is called when a host reports revisions of which one is above this
// host's, and again with each further message of such a host. f must not block.
func (m *Membership) OnNewerRevision(f func(gossip.RevisionReport)) {
	m.events.mu.Lock()
	defer m.events.mu.Unlock()
	m.events.onNewerRevision = append(m.events.onNewerRevision, f)
}

// OnUpdate registers f, which is called with each update of another host that is received for the
// first time. Updates that report an unreachable zone are left out. f must not block.
func (m *Membership) OnUpdate(f func(gossip.Update)) {
	m.events.mu.Lock()
	defer m.events.mu.Unlock()
	m.events.onUpdate = append(m.events.onUpdate, f)
}

// membersChanged queues a change of the member list.
func (e *events) membersChanged() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed = true
}

// enqueue queues the revision report and the updates of an output.
func (e *events) enqueue(out *gossip.Output) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if out.NewerRevision != nil {
		e.newerRevisions = append(e.newerRevisions, *out.NewerRevision)
	}
	for _, update := range out.Updates {
		if update.Unreachable == nil {
			e.updates = append(e.updates, update)
		}
	}
}

// deliver calls the callbacks until nothing is queued. If another goroutine is already delivering,
// that goroutine delivers these events too.
func (e *events) deliver(members func() []gossip.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.delivering {
		return
	}
	e.delivering = true
	for !e.empty() {
		batch, registered := e.pending, e.callbacks
		e.pending = pending{}
		e.mu.Unlock()
		registered.call(&batch, members)
		e.mu.Lock()
	}
	e.delivering = false
}

// call calls the callbacks for a batch of events; members returns the current member list.
func (c *callbacks) call(batch *pending, members func() []gossip.Member) {
	if batch.changed {
		for _, f := range c.onChange {
			f(members())
		}
	}
	for _, report := range batch.newerRevisions {
		for _, f := range c.onNewerRevision {
			f(report)
		}
	}
	for _, update := range batch.updates {
		for _, f := range c.onUpdate {
			f(update)
		}
	}
}
