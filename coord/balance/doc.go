// Package balance chooses the version and the host that a request goes to. A version is
// drawn at random by its share of the traffic; a host is drawn by the power of two choices
// (Mitzenmacher, 2001) among the nearest hosts that are not saturated. Index, Group and Plan
// are immutable and rebuilt on change; only the load and the health of an endpoint change in
// place, through atomics. The caller passes randomness and time as arguments: now is a
// monotonic time since an origin that the caller selects.
//
// For each request, the caller calls Plan.Choose for the version and then, for each attempt,
// Search.Next, or Group.Pick to choose without offers, and Endpoint.Begin; Endpoint.Observe if
// the host reported its load; and Endpoint.End when the attempt has ended. Group.RecordSuccess counts a result that shows the
// endpoint as healthy, and Group.RecordFailure one that shows it as unhealthy, which leads to
// an ejection after ejectionThreshold in a row, or after one during a probation.
// Endpoint.Avoid, alone or in addition, applies if the host reported that it accepts no work or
// could not be reached: it takes effect at once, for avoidDuration.
package balance
