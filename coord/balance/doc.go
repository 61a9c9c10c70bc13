// Package balance chooses the version and the host that a request goes to. A version is
// drawn at random by its share of the traffic; a host is drawn by the power of two choices
// (Mitzenmacher, 2001) among the nearest hosts that are not saturated. Index, Group and Plan
// are immutable and rebuilt on change; only the load and the health of an endpoint change in
// place, through atomics. The caller passes randomness and time as arguments: now is a
// monotonic time since an origin of the caller's choice.
package balance
