// Package clientmemory counts the memory that connections and requests of clients hold in the budget of the
// process.
package clientmemory

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"sassafrasnotch.example/coord/memory"
)

// What parts of a connection and its requests hold, in bytes.
const (
	// ConnBytes is a connection without a request: the buffers of net/http and the stacks of its goroutines.
	ConnBytes = 20 << 10
	// fieldBytes is a header field besides its text: its entry of a map, and the slice of its values. A field of
	// 7 bytes took 120 to 160 bytes.
	fieldBytes = 160
	// copies is how often the text of a head is held while it is read: in the buffer of the connection and as
	// strings.
	copies = 2
	// opaqueFieldLength is the length that fields are taken to have where only their encrypted bytes are seen.
	opaqueFieldLength = 16
)

// Memory is the budget of the process with its clock. A nil Memory has no limit.
type Memory struct {
	budget  *memory.Budget
	started time.Time
}

// New returns a Memory of total bytes.
func New(total int64) *Memory { return &Memory{budget: memory.NewBudget(total), started: time.Now()} }

// Usage returns what is held.
func (m *Memory) Usage() memory.Usage {
	if m == nil {
		return memory.Usage{}
	}
	return m.budget.Usage()
}

func (m *Memory) now() time.Duration { return time.Since(m.started) }

// Account is what one connection holds. Its methods may be called on a nil Account, which has no limit. It is
// safe for concurrent use.
type Account struct {
	memory *Memory
	holder *memory.Holder
	opaque bool // the bytes that are read are encrypted

	mu      sync.Mutex
	inHead  bool  // the head of a request is being read, or awaited
	request int64 // held for the request in progress
	served  bool  // net/http no longer serves the connection
	closed  bool
}

// Open opens the account of a connection that holds bytes at first. The function closes the connection; it
// runs in a goroutine of its own, since the connection that needs the memory may hold locks. Open returns
// false if the connection must be refused.
func (m *Memory) Open(bytes int64, closeConn func()) (*Account, bool) {
	if m == nil {
		return nil, true
	}
	holder := m.budget.Open(m.now(), bytes, func() { go closeConn() })
	if holder == nil {
		return nil, false
	}
	return &Account{memory: m, holder: holder, inHead: true}, true
}

// Hold counts bytes until the returned function is called. They are never taken back. It returns false if they
// are not granted.
func (m *Memory) Hold(bytes int64) (release func(), granted bool) {
	if m == nil {
		return func() {}, true
	}
	holder := m.budget.Open(m.now(), bytes, nil)
	return holder.Release, holder != nil
}

// ReadBytes counts bytes that net/http reads of the connection. It returns false if the connection must be
// closed, because the head of its request needs more memory than is left.
func (a *Account) ReadBytes(p []byte) bool {
	if a == nil {
		return true
	}
	now := a.memory.now()
	a.holder.Progress(now, int64(len(p)))
	a.mu.Lock()
	inHead := a.inHead
	a.mu.Unlock()
	if !inHead {
		return true
	}
	a.holder.SetPhase(now, memory.AwaitingClient)
	fields := bytes.Count(p, []byte{'\n'})
	if a.opaque {
		fields = len(p) / opaqueFieldLength
	}
	return a.GrowRequest(int64(copies*len(p) + fieldBytes*fields))
}

// Write writes to the connection, and counts what the client has taken. Meanwhile the connection awaits its
// client.
func (a *Account) Write(conn io.Writer, p []byte) (int, error) {
	if a == nil {
		return conn.Write(p)
	}
	a.AwaitClient(true)
	n, err := conn.Write(p)
	a.holder.Progress(a.memory.now(), int64(n))
	a.AwaitClient(false)
	return n, err
}

// GrowRequest counts bytes more for the request in progress. It returns false if they are not granted, so
// that the request must be refused.
func (a *Account) GrowRequest(bytes int64) bool {
	if a == nil {
		return true
	}
	if !a.holder.Grow(a.memory.now(), bytes) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.request += bytes
	return true
}

// Spare counts bytes that the connection can do without, until the returned function is called, which may be
// called again. It returns nil if memory is short.
func (a *Account) Spare(bytes int64) (release func()) {
	if a == nil {
		return func() {}
	}
	if !a.holder.TryGrow(bytes) {
		return nil
	}
	return sync.OnceFunc(func() { a.holder.Shrink(bytes) })
}

// AwaitClient records whether the connection awaits a part of a request, or that its client takes a response.
func (a *Account) AwaitClient(awaits bool) {
	if a == nil {
		return
	}
	phase := memory.Running
	if awaits {
		phase = memory.AwaitingClient
	}
	a.holder.SetPhase(a.memory.now(), phase)
}

// Track follows the state that net/http reports for the connection.
func (a *Account) Track(state http.ConnState) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateActive:
		a.inHead = false
		a.holder.SetPhase(a.memory.now(), memory.Running)
	case http.StateIdle:
		a.inHead = true
		a.endRequest(memory.Idle)
	case http.StateClosed, http.StateHijacked:
		// The connection may still receive the rest of a body that nobody reads; see connclose.
		a.served = true
		a.endRequest(memory.AwaitingClient)
		a.releaseIfEnded()
	}
}

// endRequest releases what the request in progress held. It is called with the lock held.
func (a *Account) endRequest(next memory.Phase) {
	a.holder.Shrink(a.request)
	a.request = 0
	a.holder.SetPhase(a.memory.now(), next)
}

// ConnClosed records that the connection of a server of net/http is closed. What it holds is released once
// its last request has ended too, which may take longer.
func (a *Account) ConnClosed() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.releaseIfEnded()
}

// releaseIfEnded is called with the lock held.
func (a *Account) releaseIfEnded() {
	if a.served && a.closed {
		a.holder.Release()
	}
}

// Release ends the account of a connection that no server of net/http serves.
func (a *Account) Release() {
	if a != nil {
		a.holder.Release()
	}
}
