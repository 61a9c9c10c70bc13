package platformserver

import (
	"sync"

	"sassafrasnotch.example/coord/revision"
)

// Faults are the present misbehaviours of the service.
type Faults struct {
	// OnlyClients limits the faults to callers with these IP addresses; empty means all.
	OnlyClients []string `json:"only,omitempty"`
	// Outage answers every operation with 503 and does nothing.
	Outage bool `json:"outage,omitempty"`
	// RateLimited answers every operation with 429 and does nothing.
	RateLimited bool `json:"busy,omitempty"`
	// DropHistory forgets the changes so far, once.
	DropHistory bool `json:"dropHistory,omitempty"`
	// Unresponsive accepts every operation, does nothing and never answers.
	Unresponsive bool `json:"silent,omitempty"`
	// Delay is added before each operation. A write takes effect after it
	// even if its caller has given up.
	Delay revision.Duration `json:"delay,omitempty"`
	// DropWriteResponses closes the connection in place of the next that many
	// answers to writes, after the write took effect.
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
	// NotPerformed counts the operations refused by an outage or left unanswered.
	NotPerformed uint64 `json:"turned"`
	// DroppedResponses counts the writes whose answer was dropped.
	DroppedResponses uint64 `json:"lostAnswers"`
}

// Reads returns the sum of all reads that were carried out.
func (c Counters) Reads() uint64 { return c.Ranges + c.Feeds + c.ObjectReads }

// Writes returns the sum of all writes that were carried out.
func (c Counters) Writes() uint64 { return c.Txns + c.ObjectWrites + c.ObjectDeletes }

// state is what handlers share.
type state struct {
	mu       sync.Mutex
	faults   Faults
	counters Counters
}

func (s *state) count(add func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counters)
}

// loseAnswer reports whether this answer to a write is to be dropped.
func (s *state) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropWriteResponses <= 0 {
		return false
	}
	s.faults.DropWriteResponses--
	s.counters.DroppedResponses++
	return true
}

// SetFaults replaces the present faults.
func (s *Server) SetFaults(f Faults) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if f.DropHistory {
		f.DropHistory = false
		s.tables.dropHistory()
	}
	s.state.faults = f
}

// Faults returns the present faults.
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
