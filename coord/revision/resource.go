// Package revision holds the accepted configuration: typed resources, the
// linear log of changes to them, and immutable snapshots of the whole state.
package revision

import (
	"encoding/json"
	"fmt"
	"time"
)

// FullShare is the whole traffic of a service in basis points.
const FullShare = 10000

// Duration is a time.Duration written in JSON as a string such as "250ms".
type Duration time.Duration

// Std returns the standard library's form.
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

// Kind names a type of resource.
type Kind string

// The kinds of resource.
const (
	KindService Kind = "service"
	KindVersion Kind = "version"
	KindRoute   Kind = "route"
	KindSplit   Kind = "split"
	KindLimits  Kind = "limits"
)

// Ref identifies a resource. The name of a version is "service/version".
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Preference weighs safety against finishing a move in time.
type Preference string

// The preferences of a service.
const (
	PreferSafety   Preference = "safety"
	PreferDeadline Preference = "deadline"
	// PreferBounded is for moves that are over within seconds: they are to be
	// finished in time unless the version shows to be bad, and the calls that a
	// bad version receives up to the deadline are bounded.
	PreferBounded Preference = "bounded"
)

// Objective is a service-level objective.
type Objective struct {
	// Success is the share of calls that must succeed, in basis points.
	Success int `json:"success,omitempty"`
	// Window is the period over which the objective holds.
	Window Duration `json:"window,omitempty"`
}

// Service is a named group of targets.
type Service struct {
	Name       string     `json:"name"`
	Preference Preference `json:"preference,omitempty"`
	// LatencyBound separates a slow answer from a good one; 0 means none.
	LatencyBound Duration  `json:"latencyBound,omitempty"`
	Objective    Objective `json:"objective,omitzero"`
}

// AnyVersion in a split stands for every version of the service that the split
// does not name otherwise. It serves sources that name versions only to move
// traffic to them.
const AnyVersion = "*"

// Version is one release of a service that targets run.
type Version struct {
	Service string `json:"service"`
	Name    string `json:"name"`
}

// Repeat states how often a request on a route may run.
type Repeat string

// The repeat modes of a route.
const (
	// RepeatIdempotent requests may be retried after an unknown outcome.
	RepeatIdempotent Repeat = "idempotent"
	// RepeatNever requests run at most once for each arrival.
	RepeatNever Repeat = "never"
	// RepeatKeyed requests carry an Idempotency-Key and run at most once for
	// each key, however often the caller sends them.
	RepeatKeyed Repeat = "keyed"
)

// Route sends requests whose path has Prefix to a service.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Host restricts the route to requests for that host name; empty means any.
	Host string `json:"host,omitempty"`
	// Prefix matches by whole path segments. One that ends with a slash does not
	// match the path without it.
	Prefix string `json:"prefix"`
	Repeat Repeat `json:"repeat,omitempty"`
	// Timeout bounds a call, whatever deadline its caller brings.
	Timeout Duration `json:"timeout,omitempty"`
	// Priority orders requests when load is shed; higher is kept longer.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the targets that one request is sent to; 0 means the
	// default of package retry.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Objective is the time within which an answer is of full use; 0 means none.
	Objective Duration `json:"objective,omitempty"`
	// Split divides the route's requests over services by weight. If it is set,
	// Service is empty.
	Split []ServiceShare `json:"split,omitempty"`
}

// ServiceShare is the part of a route's requests that a service receives.
type ServiceShare struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the sum over the route's split
}

// Services returns the services that the route sends requests to.
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

// Rollout is a running transfer of traffic between two versions.
type Rollout struct {
	Ticket uint64 `json:"ticket"`
	From   string `json:"from"`
	To     string `json:"to"`
	// Target is the share of To at which the move is done, in basis points.
	Target int       `json:"target"`
	By     time.Time `json:"by"`
	// Step is the state of the rollout chart.
	Step string `json:"step"`
	// Hosts bounds the number of hosts of To that receive its share;
	// 0 means all of them.
	Hosts int `json:"hosts,omitempty"`
	// Settle is the time between the last call to From and the verdict, at which
	// the targets of From may end.
	Settle Duration `json:"settle,omitempty"`
	// Controller is the host that decided the last step.
	Controller string `json:"controller,omitempty"`
}

// Split divides the traffic of a service over its versions.
type Split struct {
	Service string  `json:"service"`
	Shares  []Share `json:"shares"`
	// Barred versions receive nothing from AnyVersion.
	Barred []string `json:"barred,omitempty"`
	// Rollout is set while a move runs.
	Rollout *Rollout `json:"move,omitempty"`
}

// Weight returns the share of a version in basis points.
func (s *Split) Weight(version string) int {
	for _, share := range s.Shares {
		if share.Version == version {
			return share.Weight
		}
	}
	return 0
}

// callersName is the name of the only resource of KindLimits.
const callersName = "callers"

// CallerLimits bound what a caller may send, and how long it may take or stay idle.
// A limit of 0 leaves the bound to the daemon's own settings.
type CallerLimits struct {
	MaxHeaderBytes int      `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64    `json:"maxBodyBytes,omitempty"`
	HeaderTimeout  Duration `json:"headerTimeout,omitempty"`
	// IdleTimeout bounds the wait for the next request of a connection.
	IdleTimeout Duration `json:"idleTimeout,omitempty"`
}

// Resource is the whole state of one resource; exactly one field is set.
type Resource struct {
	Service *Service `json:"service,omitempty"`
	Version *Version `json:"version,omitempty"`
	Route   *Route   `json:"route,omitempty"`
	Split   *Split   `json:"split,omitempty"`
	// Limits bound all callers.
	Limits *CallerLimits `json:"limits,omitempty"`
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
		return Ref{KindLimits, callersName}
	}
	return Ref{}
}

// VersionName returns the resource name of a service's version.
func VersionName(service, version string) string { return service + "/" + version }
