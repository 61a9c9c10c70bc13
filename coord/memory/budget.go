// Package memory divides the memory that a process may use for what its clients send and receive among its
// connections and requests. It answers a load of many clients that each hold what is allowed to one: bodies
// and heads that stop before their end, very many short fields, responses that nobody reads. It has no clock
// and no I/O.
package memory

import (
	"sync"
	"time"
)

const (
	// SmallHolding is the memory, in bytes, up to which a holder counts as an ordinary one: a connection with a
	// request of a few kilobytes. The kept part of the budget is for these alone.
	SmallHolding = 64 << 10
	// keptDivisor sets the part of the budget that only small holders receive.
	keptDivisor = 4
	// stallTime is the time without progress after which a small holder that is idle or awaits its client can be
	// closed: a shorter silence is that of a slow link.
	stallTime = time.Second
	// progressHalfLife is the time in which the progress that counts for a holder halves.
	progressHalfLife = time.Second
)

// Phase is what a holder does.
type Phase int

const (
	// Idle holders wait for a request.
	Idle Phase = iota
	// AwaitingClient holders wait for the rest of a request, or for the client to take a response.
	AwaitingClient
	// Running holders have a complete request that is served.
	Running
)

// Budget counts the bytes that holders hold. It is safe for concurrent use.
//
// Invariant: the holders that were not closed hold at most total together, and those above SmallHolding
// receive nothing while these hold more than total less the kept part, or all together more than total.
type Budget struct {
	total, kept int64

	mu      sync.Mutex
	holders map[*Holder]struct{}
	held    int64 // by all holders
	closing int64 // part of held: by holders that were closed and have not released
	refused uint64
	closed  uint64
}

// Holder is a connection or a request that holds memory.
type Holder struct {
	budget *Budget
	// close ends what holds the memory. It is nil if that can't be ended.
	close func()

	// The fields below are guarded by Budget.mu.
	held       int64
	phase      Phase
	progress   float64       // bytes, aged
	progressAt time.Duration // when progress was last aged
	movedAt    time.Duration // of the last progress
	closing    bool
	released   bool
}

// NewBudget returns a budget of total bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total, kept: total / keptDivisor, holders: make(map[*Holder]struct{})}
}

// Open adds a holder of that many bytes at the time now. Close ends what holds the memory when others need
// it more; the function is called at most once, without locks, and may be nil. Open returns nil if the bytes
// can't be granted.
func (b *Budget) Open(now time.Duration, bytes int64, close func()) *Holder {
	h := &Holder{budget: b, close: close, progressAt: now, movedAt: now}
	b.mu.Lock()
	b.holders[h] = struct{}{}
	b.mu.Unlock()
	if !h.Grow(now, bytes) {
		h.Release()
		return nil
	}
	return h
}

// Grow grants the holder that many bytes more, for which it closes others if it must. It returns false,
// without a change of what the holder holds, if that is refused: the holder is the one that should end.
func (h *Holder) Grow(now time.Duration, bytes int64) bool {
	if h == nil {
		return true
	}
	victims, granted := h.budget.grow(h, now, bytes)
	for _, victim := range victims {
		victim.close()
	}
	return granted
}

func (b *Budget) grow(h *Holder, now time.Duration, bytes int64) (victims []*Holder, granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closing || h.released {
		return nil, false
	}
	limit := b.total
	if h.held+bytes > SmallHolding {
		limit -= b.kept
		if b.held+bytes > b.total {
			// Those that were closed still hold their memory until what they run has ended, which takes long on a
			// busy machine.
			b.refused++
			return nil, false
		}
	}
	for b.held-b.closing+bytes > limit {
		victim := b.victim(h, now, bytes)
		if victim == nil {
			b.refused++
			return victims, false
		}
		victim.closing = true
		b.closing += victim.held
		b.closed++
		victims = append(victims, victim)
	}
	h.held += bytes
	b.held += bytes
	return victims, true
}

// victim returns the holder to close for bytes more of h, or nil if none should end before h. Holders above
// SmallHolding come first, then idle ones, then those that await their client and have stalled.
func (b *Budget) victim(h *Holder, now time.Duration, bytes int64) *Holder {
	var worst *Holder
	worstClass, worstScore := 0, 0.0
	for other := range b.holders {
		if other == h || other.closing || other.close == nil || other.held == 0 {
			continue
		}
		class, score := other.rank(now)
		if class > worstClass || class == worstClass && class > 0 && score > worstScore {
			worst, worstClass, worstScore = other, class, score
		}
	}
	if h.held+bytes <= SmallHolding {
		return worst
	}
	if worstClass == classLarge && worstScore > score(h.held+bytes, h.aged(now)) {
		return worst
	}
	return nil
}

// Classes of holders, the first to close last.
const (
	classSpared = iota
	classStalled
	classIdle
	classLarge
)

// rank returns the class of the holder and its score within it; the highest score is closed first.
func (h *Holder) rank(now time.Duration) (class int, points float64) {
	still := (now - h.movedAt).Seconds()
	switch {
	case h.held > SmallHolding:
		return classLarge, score(h.held, h.aged(now))
	case h.phase == Idle && now-h.movedAt >= stallTime:
		return classIdle, still
	case h.phase == AwaitingClient && now-h.movedAt >= stallTime:
		return classStalled, still
	}
	return classSpared, 0
}

// score weighs the memory that a holder holds by the share of it that recent progress does not cover.
func score(held int64, progress float64) float64 {
	return float64(held) * float64(held) / (float64(held) + progress)
}

// Progress records that bytes of the holder's requests or responses have passed.
func (h *Holder) Progress(now time.Duration, bytes int64) {
	if h == nil || bytes <= 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progress = h.aged(now) + float64(bytes)
	h.progressAt, h.movedAt = now, now
}

// TryGrow is like Grow, but closes no other holder and leaves the kept part alone. It is for memory that the
// holder can do without.
func (h *Holder) TryGrow(bytes int64) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closing || h.released || b.held-b.closing+bytes > b.total-b.kept {
		return false
	}
	h.held += bytes
	b.held += bytes
	return true
}

// SetPhase records what the holder does.
func (h *Holder) SetPhase(now time.Duration, phase Phase) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.phase != phase {
		h.phase, h.movedAt = phase, now
	}
}

// Shrink releases a part of what the holder holds.
func (h *Holder) Shrink(bytes int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.shrink(min(bytes, h.held))
}

// Release releases all that the holder holds. It may be called again.
func (h *Holder) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.shrink(h.held)
	h.released = true
	delete(h.budget.holders, h)
}

// shrink is called with the lock held.
func (h *Holder) shrink(bytes int64) {
	h.held -= bytes
	h.budget.held -= bytes
	if h.closing {
		h.budget.closing -= bytes
	}
}

// Closing reports whether the holder was closed for others.
func (h *Holder) Closing() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.closing
}

// Usage is what the holders hold, and what happened since the start.
type Usage struct {
	Total, Held int64
	// Refused counts what was not granted, Closed the holders that were closed for others.
	Refused, Closed uint64
}

// Usage returns the present usage.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Total: b.total, Held: b.held, Refused: b.refused, Closed: b.closed}
}
