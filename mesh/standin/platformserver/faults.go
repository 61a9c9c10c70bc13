package platformserver

import (
	"sync"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/platform/wire"
)

// Faults are the faults that the service injects at present.
type Faults struct {
	// OnlyClients limits the faults to clients with these IP addresses; empty means all
	// clients.
	OnlyClients []string `json:"only,omitempty"`
	// Outage rejects every operation with status 503.
	Outage bool `json:"outage,omitempty"`
	// RateLimited rejects every operation with status 429.
	RateLimited bool `json:"busy,omitempty"`
	// DropHistory makes SetFaults drop the history of the changes so far, once.
	DropHistory bool `json:"dropHistory,omitempty"`
	// Restore makes SetFaults replace the rows by those of that long ago and begin a new era, once. The
	// rows of operators are written again as they were last.
	Restore revision.Duration `json:"restore,omitempty"`
	// Unresponsive accepts every operation, does not carry it out and sends no response.
	Unresponsive bool `json:"silent,omitempty"`
	// Delay is added before each operation. A write takes effect after the delay even if its
	// client has disconnected.
	Delay revision.Duration `json:"delay,omitempty"`
	// DropWriteResponses is the number of following responses to writes that are dropped: the
	// write takes effect, then the connection is closed without a response.
	DropWriteResponses int `json:"loseWriteAnswers,omitempty"`
}

// Counters count the operations that reached the service, by kind.
type Counters struct {
	Ranges        uint64 `json:"ranges"`
	Feeds         uint64 `json:"feeds"`
	ObjectReads   uint64 `json:"objectReads"`
	Txns          uint64 `json:"txns"`
	Conflicts     uint64 `json:"conflicts"`
	ObjectWrites  uint64 `json:"objectWrites"`
	ObjectDeletes uint64 `json:"objectDeletes"`
	// NotPerformed counts the operations that were rejected by an outage or a rate limit, or
	// left without a response.
	NotPerformed uint64 `json:"turned"`
	// DroppedResponses counts the writes whose response was dropped.
	DroppedResponses uint64 `json:"lostAnswers"`
}

// Reads returns the number of reads that were carried out.
func (c Counters) Reads() uint64 { return c.Ranges + c.Feeds + c.ObjectReads }

// Writes returns the number of writes that were carried out, including transactions that ended
// in a conflict.
func (c Counters) Writes() uint64 { return c.Txns + c.ObjectWrites + c.ObjectDeletes }

// sharedState is the state that the handlers share.
type sharedState struct {
	mu       sync.Mutex
	faults   Faults
	counters Counters
}

func (s *sharedState) count(increment func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	increment(&s.counters)
}

// dropNextResponse reports whether this response to a write is to be dropped, and counts it.
func (s *sharedState) dropNextResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropWriteResponses <= 0 {
		return false
	}
	s.faults.DropWriteResponses--
	s.counters.DroppedResponses++
	return true
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if f.DropHistory {
		f.DropHistory = false
		s.tables.dropHistory()
	}
	if age := f.Restore.Std(); age > 0 {
		f.Restore = 0
		s.tables.restore(time.Now().Add(-age), wire.TableOperator)
	}
	s.state.faults = f
}

// Restore replaces the rows by those of an earlier time and begins a new era. Nothing is written again.
func (s *Server) Restore(to time.Time) { s.tables.restore(to, "") }

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.faults
}

// Counters returns the operations counted so far.
func (s *Server) Counters() Counters {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.counters
}
