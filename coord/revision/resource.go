// Package revision implements the versioned configuration: typed resources, the linear log of
// changes to them, immutable snapshots of the whole state at one revision, and the replica that
// each host keeps.
package revision

import (
	"encoding/json"
	"fmt"
	"time"
)

// FullShare is the whole traffic of a service, in basis points.
const FullShare = 10000

// Duration is a time.Duration that is encoded in JSON as a string such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration is a string such as \"250ms\": %w", err)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Kind is a type of resource.
type Kind string

// The kinds of resource.
const (
	KindService Kind = "service"
	KindVersion Kind = "version"
	KindRoute   Kind = "route"
	KindSplit   Kind = "split"
	KindLimits  Kind = "limits"
	KindTenant  Kind = "tenant"
	// KindEvacuation is that of a zone that is to receive no requests.
	KindEvacuation Kind = "evacuation"
)

// Ref identifies a resource. The name of a version is "service/version".
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Preference states whether a rollout favours safety or its deadline.
type Preference string

// The preferences of a service. The empty preference means PreferSafety.
const (
	// PreferSafety favours safety over the deadline.
	PreferSafety Preference = "safety"
	// PreferDeadline favours the deadline over safety.
	PreferDeadline Preference = "deadline"
	// PreferBounded is for rollouts that last seconds: they complete in time unless the new
	// version proves to be bad, and the number of requests that a bad version receives up to
	// the deadline is bounded.
	PreferBounded Preference = "bounded"
)

// Objective is a service-level objective.
type Objective struct {
	// Success is the share of requests that must succeed, in basis points.
	Success int `json:"success,omitempty"`
	// Window is the period over which the objective holds.
	Window Duration `json:"window,omitempty"`
}

// Service is a named group of targets.
type Service struct {
	Name       string     `json:"name"`
	Preference Preference `json:"preference,omitempty"`
	// LatencyBound is the latency above which a response counts as slow; 0 means no bound.
	LatencyBound Duration  `json:"latencyBound,omitempty"`
	Objective    Objective `json:"objective,omitzero"`
	// HealthPath is the path under which a target responds with status 200 for as long as it stays; empty
	// if targets have none.
	HealthPath string `json:"healthPath,omitempty"`
	// ColdRate is the number of requests per second that a cold target tolerates; 0 means no bound.
	ColdRate float64 `json:"coldRate,omitempty"`
	// ColdDuration is how long a target is cold after its start, where the target does not state it.
	ColdDuration Duration `json:"coldDuration,omitempty"`
}

// AnyVersion in a split stands for every version of the service that the split does not list
// itself. It is for configuration sources that name a version only to roll traffic out to it.
const AnyVersion = "*"

// Version is one release of a service that targets run.
type Version struct {
	Service string `json:"service"`
	Name    string `json:"name"`
}

// Repeat states how often a request on a route may be executed.
type Repeat string

// The repeat modes of a route.
const (
	// RepeatIdempotent means that a request may be retried after an unknown outcome.
	RepeatIdempotent Repeat = "idempotent"
	// RepeatNever means that each received request is executed at most once.
	RepeatNever Repeat = "never"
	// RepeatKeyed means that requests carry an Idempotency-Key and are executed at most once
	// for each key, however often the caller sends them.
	RepeatKeyed Repeat = "keyed"
)

// Route directs requests whose path has a prefix to a service, or to several by weight.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Host restricts the route to requests for that host name; empty means any.
	Host string `json:"host,omitempty"`
	// Prefix matches by whole path segments. A prefix that ends with a slash does not match the
	// path without the slash.
	Prefix string `json:"prefix"`
	Repeat Repeat `json:"repeat,omitempty"`
	// Timeout bounds the duration of a request, even if the caller sets a later deadline.
	Timeout Duration `json:"timeout,omitempty"`
	// Priority orders requests for load shedding; those of lower priority are shed first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the attempts of one request; 0 means the default of package retry.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Objective is the latency within which a response is of full use to the caller; 0 means
	// none.
	Objective Duration `json:"objective,omitempty"`
	// Split divides the route's requests over services by weight. If it is set, Service is
	// empty.
	Split []ServiceShare `json:"split,omitempty"`
	// Public means that requests need no API key, where the configuration has tenants.
	Public bool `json:"public,omitempty"`
	// Regions lists the regions to which requests and their bodies may be sent; empty means any.
	Regions []string `json:"regions,omitempty"`
}

// Tenant is a customer of the operator, whose requests carry one of its API keys.
type Tenant struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 hashes of the tenant's API keys, in lower-case hexadecimal digits. The keys
	// themselves are not kept.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Rate and Burst limit the requests of the tenant at all daemons together: a token bucket that holds
	// Burst requests and is refilled at Rate requests per second. Rate 0 means no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// Priority orders requests for load shedding before Route.Priority does; those of lower priority are
	// shed first.
	Priority int `json:"priority,omitempty"`
	// Regions lists the regions to which the tenant's requests and their bodies may be sent; empty means
	// any.
	Regions []string `json:"regions,omitempty"`
}

// Evacuation states that the targets of an availability zone are to receive no requests.
type Evacuation struct {
	Zone string `json:"zone"`
}

// ServiceShare is the part of a route's requests that a service receives.
type ServiceShare struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the sum over the route's split
}

// Services returns the names of the services that the route sends requests to.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	services := make([]string, len(r.Split))
	for i, share := range r.Split {
		services[i] = share.Service
	}
	return services
}

// Share is the part of a service's traffic that a version receives.
type Share struct {
	Version string `json:"version"`
	// Weight is in basis points; the weights of a split sum to FullShare.
	Weight int `json:"weight"`
}

// Rollout is a running transfer of traffic from one version of a service to another.
type Rollout struct {
	// Ticket is the number of the ticket that started the rollout.
	Ticket uint64 `json:"ticket"`
	// Order is the position in the store of the order that the rollout carries out, if it is not the one
	// that gave the ticket its number: the store came back from an older copy. Otherwise it is 0.
	Order uint64 `json:"order,omitempty"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Target is the final share of To, in basis points: the one in force once the rollout is
	// completed.
	Target int `json:"target"`
	// By is the deadline.
	By time.Time `json:"by"`
	// Step is the current state of the rollout's state chart.
	Step string `json:"step"`
	// Hosts bounds the number of hosts with targets of To that receive its share; 0 means all.
	Hosts int `json:"hosts,omitempty"`
	// Settle is the time between the last request to From and the verdict; after the verdict
	// the targets of From may stop.
	Settle Duration `json:"settle,omitempty"`
	// Controller is the host that decided the last step; empty before the first step.
	Controller string `json:"controller,omitempty"`
}

// Split divides the traffic of a service over its versions.
type Split struct {
	Service string  `json:"service"`
	Shares  []Share `json:"shares"`
	// Barred lists the versions that receive no traffic through AnyVersion.
	Barred []string `json:"barred,omitempty"`
	// Rollout is set while a rollout is running.
	Rollout *Rollout `json:"move,omitempty"`
}

// Weight returns the share of a version in basis points, or 0 if the split does not list it.
func (s *Split) Weight(version string) int {
	for _, share := range s.Shares {
		if share.Version == version {
			return share.Weight
		}
	}
	return 0
}

// callerLimitsName is the name of the only resource of KindLimits.
const callerLimitsName = "callers"

// CallerLimits bound the size of a caller's requests, the time to receive their headers and the
// time that a connection may be idle. With 0 the daemon's own settings apply.
type CallerLimits struct {
	MaxHeaderBytes int      `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64    `json:"maxBodyBytes,omitempty"`
	HeaderTimeout  Duration `json:"headerTimeout,omitempty"`
	// IdleTimeout bounds the wait for the next request on a connection.
	IdleTimeout Duration `json:"idleTimeout,omitempty"`
}

// Resource is the complete state of one resource; exactly one field is set.
type Resource struct {
	Service *Service `json:"service,omitempty"`
	Version *Version `json:"version,omitempty"`
	Route   *Route   `json:"route,omitempty"`
	Split   *Split   `json:"split,omitempty"`
	// Limits apply to all callers.
	Limits     *CallerLimits `json:"limits,omitempty"`
	Tenant     *Tenant       `json:"tenant,omitempty"`
	Evacuation *Evacuation   `json:"evacuation,omitempty"`
}

// Ref returns the identity of the resource, or the zero Ref if none is set.
func (r Resource) Ref() Ref {
	switch {
	case r.Service != nil:
		return Ref{KindService, r.Service.Name}
	case r.Version != nil:
		return Ref{KindVersion, VersionName(r.Version.Service, r.Version.Name)}
	case r.Route != nil:
		return Ref{KindRoute, r.Route.Name}
	case r.Split != nil:
		return Ref{KindSplit, r.Split.Service}
	case r.Limits != nil:
		return Ref{KindLimits, callerLimitsName}
	case r.Tenant != nil:
		return Ref{KindTenant, r.Tenant.Name}
	case r.Evacuation != nil:
		return Ref{KindEvacuation, r.Evacuation.Zone}
	}
	return Ref{}
}

// VersionName returns the name in the Ref of a service's version.
func VersionName(service, version string) string { return service + "/" + version }
