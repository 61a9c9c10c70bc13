package retry

import "math"

// Kind is what is known about the place of a request in a chain of requests. The zero value is a
// request from outside whose run makes no other requests.
type Kind struct {
	// Nested means that a target makes the request while it runs another one, whose work is thrown
	// away if this request fails.
	Nested bool
	// CallsPerRun is the number of nested requests that a run of the request makes. A repeated run
	// repeats them, which are then arrivals beyond the first at another service.
	CallsPerRun float64
}

// Shares are the parts of a retry that requests of each kind deposit.
type Shares struct {
	// Plain is that of requests from outside that make no nested ones.
	Plain float64
	// Nested is that of nested requests.
	Nested float64
	// Parent is that of requests from outside that make nested ones.
	Parent float64
}

const (
	// nestedPerPlain and parentPerPlain are the shares that follow from that of plain requests. With
	// 0.1, a service with nested requests only has 1.05 × 1.14 - 1 = 0.197 arrivals beyond the first
	// of each, which keeps a fleet's ratio of 0.2.
	nestedPerPlain = 1.4
	parentPerPlain = 0.5
)

// SharesOf returns the shares that follow from the share of plain requests and, unless it is 0, that
// of nested ones. Repeated runs and repeated nested requests together stay within twice the share of
// plain requests if nested is 0.
func SharesOf(plain, nested float64) Shares {
	shares := Shares{Plain: plain, Nested: nested, Parent: parentPerPlain * plain}
	if nested == 0 {
		most := (1+2*plain)/(1+shares.Parent) - 1
		shares.Nested = math.Min(nestedPerPlain*plain, most)
	}
	return shares
}

// of returns the share of a kind. A nested request whose run makes nested ones deposits nothing: its
// repeated run multiplies with those before and behind it.
func (s *Shares) of(kind Kind) float64 {
	switch {
	case kind.Nested && kind.CallsPerRun > 0:
		return 0
	case kind.Nested:
		return s.Nested
	case kind.CallsPerRun > 0:
		return s.Parent
	}
	return s.Plain
}
