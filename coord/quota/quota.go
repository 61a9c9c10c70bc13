// Package quota enforces one rate limit for each tenant over all daemons, without a central service.
//
// Each availability zone has a coordinator, which holds a token bucket for each tenant. The daemons of
// the zone report to it and fetch tokens; one token admits one request to one target. Several daemons
// may act as coordinator at once, after a failure or while their member lists differ: each uses the part
// of the zone's limit that corresponds to the daemons that report to it, and a daemon is counted by one
// coordinator at a time. Between zones, the coordinators pledge their parts to one of them, the root,
// which divides the sum by demand. The parts never sum to more than the limit, whoever is reachable.
//
// The package is pure: messages and the time enter, messages leave. Times are durations on the
// monotonic clock of one daemon. No type is safe for concurrent use.
package quota

import "time"

const (
	// ReportInterval is the time between two reports of a daemon to its coordinator.
	ReportInterval = 250 * time.Millisecond
	// reportValid is how long a coordinator counts a daemon after a report.
	reportValid = 500 * time.Millisecond
	// holdMargin is added to reportValid before another coordinator counts a daemon. It covers the delay of
	// a report on its way to the former coordinator.
	holdMargin = 50 * time.Millisecond
	// ExchangeTimeout is the time in which a coordinator must reply.
	ExchangeTimeout = 300 * time.Millisecond
	// tokenTTL is the time in which a token may be used.
	tokenTTL = 300 * time.Millisecond
	// fetchAhead is the time for whose expected requests a daemon holds tokens.
	fetchAhead = 200 * time.Millisecond
	// minFetchInterval is the shortest time between two fetches of a daemon. Requests that arrive in between
	// share the next one.
	minFetchInterval = 5 * time.Millisecond
	// startupSilence is the time after its start in which a daemon does not act as coordinator: it may know
	// too few members, and would use too large a part.
	startupSilence = 2 * time.Second
	// maxRetryAfter bounds the time after which a refused request is worth another try.
	maxRetryAfter = 5 * time.Second
	// demandPeriod is the time constant of the averages of demand.
	demandPeriod = time.Second
)

// Limit is the limit of a tenant: a token bucket that holds Burst requests and is refilled at Rate
// requests per second, over all daemons.
type Limit struct{ Rate, Burst float64 }

// Limits are the limits of the tenants by name. A tenant without an entry has no limit.
type Limits map[string]Limit

// Report tells a coordinator that a daemon reports to it, and asks for tokens.
type Report struct {
	Host                  string
	Incarnation, Sequence uint64
	// Hold is the time from now in which another coordinator may still count the daemon.
	Hold time.Duration
	// Complete means that tenants that are not listed have no demand.
	Complete bool
	Demands  []Demand
}

// Demand is the demand of a daemon for one tenant.
type Demand struct {
	Tenant   string
	Wanted   int     // tokens
	Returned int     // tokens of earlier replies that were not used and have not expired
	Offered  float64 // requests per second
}

// Reply answers a Report.
type Reply struct {
	// NotCoordinator means that the host does not act as coordinator.
	NotCoordinator bool
	Grants         []Grant
}

// Grant is the reply to a Demand.
type Grant struct {
	Tenant string
	Tokens int
	// RetryAfter is set if fewer tokens were granted than wanted: the time until the tenant may have one.
	RetryAfter time.Duration
	// Soon means that the coordinator is about to borrow tokens: the requests wait and ask again.
	Soon bool
}

// ShareReport is the demand at a coordinator. The root may lend the coordinator's own part of each listed
// tenant's limit to others if it is pledged.
type ShareReport struct {
	Host, Zone            string
	Incarnation, Sequence uint64
	Part                  float64 // of the zone's limit
	Pledge                bool
	Demands               []TenantDemand
	// Wanted are the tokens to be lent at once, by tenant.
	Wanted []Wanted
}

// Wanted asks the root for tokens of its own bucket.
type Wanted struct {
	Tenant string
	Tokens int
}

// Loan answers Wanted. RetryAfter is set if there were fewer tokens: the time until the root may have one.
type Loan struct {
	Tenant     string
	Tokens     int
	RetryAfter time.Duration
}

// TenantDemand is the demand for one tenant, in requests per second.
type TenantDemand struct {
	Tenant  string
	Offered float64
}

// ShareReply lends parts of limits to the sender of a ShareReport that pledged its own.
type ShareReply struct {
	NotRoot bool
	Shares  []TenantShare
	Loans   []Loan
}

// TenantShare is a part of a tenant's limit.
type TenantShare struct {
	Tenant string
	Share  float64
}
