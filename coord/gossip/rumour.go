package gossip

import (
	"slices"
	"time"
)

// rumourKind is the kind of state that a rumour carries.
type rumourKind uint8

const (
	rumourRecord rumourKind = iota
	rumourClaim
	rumourUpdate
)

// rumourKey identifies the subject of a rumour: a host or an update.
type rumourKey struct {
	kind   rumourKind
	host   string
	update updateID
}

// rumour is a change that is sent a bounded number of times.
type rumour struct {
	key    rumourKey
	sent   int
	queued time.Time
}

// rumours is the queue of changes, those sent least often first (the dissemination component of
// SWIM, section 4.1).
type rumours struct {
	queue []*rumour
}

// add queues a rumour that has not been sent yet, in place of one with the same key.
func (q *rumours) add(key rumourKey, now time.Time) {
	q.drop(key)
	q.queue = append(q.queue, &rumour{key: key, queued: now})
}

// drop removes a rumour.
func (q *rumours) drop(key rumourKey) {
	q.queue = slices.DeleteFunc(q.queue, func(r *rumour) bool { return r.key == key })
}

// expire removes the rumours sent at least limit times, and those queued before a time, which
// the repair has delivered by now.
func (q *rumours) expire(limit int, before time.Time) {
	q.queue = slices.DeleteFunc(q.queue, func(r *rumour) bool {
		return r.sent >= limit || r.queued.Before(before)
	})
}

// sortBySent puts the rumours that were sent least often first.
func (q *rumours) sortBySent() {
	slices.SortStableFunc(q.queue, func(a, b *rumour) int { return a.sent - b.sent })
}
