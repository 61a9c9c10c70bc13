package admission

// shareFactor is the number of units that a flow may hold for each free one.
const shareFactor = 2

// Share divides a pool of units, such as connections, among flows that come and go: a flow may hold
// shareFactor units for each one that is free (dynamic thresholds, Choudhury and Hahne, 1998). A single flow
// gets two thirds of the pool and several get equal parts, while some units always remain for a flow that has
// none. It answers the load of one tenant that would take all units, without knowledge of the others. It is
// not safe for concurrent use.
type Share struct{ held map[string]int }

// Acquire counts a unit for the flow, and reports whether the flow may hold it. free is the number of units
// that nobody holds, without this one.
func (s *Share) Acquire(flow string, free int) bool {
	if s.held[flow] >= shareFactor*max(free, 0) {
		return false
	}
	if s.held == nil {
		s.held = make(map[string]int)
	}
	s.held[flow]++
	return true
}

// Release counts a unit that the flow no longer holds.
func (s *Share) Release(flow string) {
	if s.held[flow]--; s.held[flow] <= 0 {
		delete(s.held, flow)
	}
}

// Held returns the number of units that the flow holds.
func (s *Share) Held(flow string) int { return s.held[flow] }
