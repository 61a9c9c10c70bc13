package membership

import (
	"sync"

	"sassafrasnotch.example/coord/gossip"
)

// events queues what the callbacks are to hear and delivers it in order, one
// callback at a time, without a lock that a callback could need.
type events struct {
	mu sync.Mutex
	callbacks
	pending
	delivering bool
}

// callbacks are what hears the events.
type callbacks struct {
	onChange []func([]gossip.Member)
	onNewer  []func(revision uint64, host string)
	onNotice []func(gossip.Update)
}

// pending are events that were not delivered yet.
type pending struct {
	changed bool
	newer   []gossip.RevisionReport
	notices []gossip.Update
}

func (p *pending) empty() bool {
	return !p.changed && len(p.newer) == 0 && len(p.notices) == 0
}

// OnChange calls f with the new view after members changed. Changes that come
// close together are told once. f must not block.
func (m *Membership) OnChange(f func([]gossip.Member)) {
	m.events.mu.Lock()
	defer m.events.mu.Unlock()
	m.events.onChange = append(m.events.onChange, f)
}

// OnNewerRevision calls f when a host reports a revision above this host's. It
// is told again with each message of such a host. f must not block.
func (m *Membership) OnNewerRevision(f func(revision uint64, host string)) {
	m.events.mu.Lock()
	defer m.events.mu.Unlock()
	m.events.onNewer = append(m.events.onNewer, f)
}

// OnUpdate calls f with each notice of another host that is heard for the
// first time. f must not block.
func (m *Membership) OnUpdate(f func(gossip.Update)) {
	m.events.mu.Lock()
	defer m.events.mu.Unlock()
	m.events.onNotice = append(m.events.onNotice, f)
}

func (e *events) viewChanged() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed = true
}

// gather queues the events of an output.
func (e *events) gather(out *gossip.Output) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if out.NewerRevision != nil {
		e.newer = append(e.newer, *out.NewerRevision)
	}
	for _, notice := range out.Updates {
		if notice.Unreachable == nil {
			e.notices = append(e.notices, notice)
		}
	}
}

// deliver calls the callbacks until nothing is queued. If another goroutine is
// delivering already, it takes over what was queued here.
func (e *events) deliver(view func() []gossip.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.delivering {
		return
	}
	e.delivering = true
	for !e.empty() {
		batch, listeners := e.pending, e.callbacks
		e.pending = pending{}
		e.mu.Unlock()
		listeners.call(&batch, view)
		e.mu.Lock()
	}
	e.delivering = false
}

func (c *callbacks) call(batch *pending, view func() []gossip.Member) {
	if batch.changed {
		for _, f := range c.onChange {
			f(view())
		}
	}
	for _, report := range batch.newer {
		for _, f := range c.onNewer {
			f(report.Revision, report.Host)
		}
	}
	for _, notice := range batch.notices {
		for _, f := range c.onNotice {
			f(notice)
		}
	}
}
