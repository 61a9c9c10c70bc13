// Package load is an open-loop load generator: it plays callers that send requests at a fixed
// rate, whether or not earlier ones have a response, and records the result of every attempt.
package load

import (
	"errors"
	"fmt"

	"sassafrasnotch.example/coord/revision"
)

// Config configures a run of the generator.
type Config struct {
	// Entries are the addresses of daemons; requests are distributed over them in turn.
	Entries []string `json:"entries"`
	// Rate is the number of requests per second.
	Rate float64 `json:"rate"`
	// Concurrency bounds the requests in flight. A request beyond it is skipped and counted.
	Concurrency int `json:"concurrency"`
	// Duration is the time for which requests are sent.
	Duration revision.Duration `json:"duration"`
	// Timeout bounds one attempt.
	Timeout revision.Duration `json:"timeout"`
	Routes  []Route           `json:"routes"`
	// Seed determines the sequence of routes.
	Seed uint64 `json:"seed"`
	// IDPrefix is the prefix of every request id; it distinguishes the requests of several
	// runs.
	IDPrefix string `json:"idPrefix"`
}

// Route is one kind of request in the mixture.
type Route struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Weight is the share of the mixture, relative to the other weights.
	Weight int `json:"weight"`
	// Keyed requests carry an Idempotency-Key that equals the request id.
	Keyed bool `json:"keyed,omitempty"`
	// MaxResends is how often the caller sends the request again while its outcome is neither a
	// response of the target nor a refusal.
	MaxResends int      `json:"resends,omitempty"`
	BodyBytes  int      `json:"bodyBytes,omitempty"`
	Headers    []Header `json:"headers,omitempty"`
}

// Header is an additional header field of a request.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func (c Config) validate() error {
	var errs []error
	if len(c.Entries) == 0 {
		errs = append(errs, errors.New("load: entries must contain at least one address"))
	}
	if c.Rate <= 0 {
		errs = append(errs, errors.New("load: rate must be above 0"))
	}
	if c.Concurrency <= 0 {
		errs = append(errs, errors.New("load: concurrency must be above 0"))
	}
	if c.Duration <= 0 || c.Timeout <= 0 {
		errs = append(errs, errors.New("load: duration and timeout must be above 0"))
	}
	if len(c.Routes) == 0 {
		errs = append(errs, errors.New("load: routes must contain at least one route"))
	}
	for i, r := range c.Routes {
		if r.Method == "" || r.Path == "" || r.Weight <= 0 {
			errs = append(errs, fmt.Errorf("load: routes[%d] needs a method, a path and a weight above 0", i))
		}
	}
	return errors.Join(errs...)
}

// mixture selects routes by weight.
type mixture struct {
	routes []Route
	total  int
}

func newMixture(routes []Route) mixture {
	m := mixture{routes: routes}
	for _, r := range routes {
		m.total += r.Weight
	}
	return m
}

// pick returns the route at a point from 0 to total-1; each route covers as many points as its
// weight.
func (m mixture) pick(point int) Route {
	for _, r := range m.routes {
		if point < r.Weight {
			return r
		}
		point -= r.Weight
	}
	return m.routes[len(m.routes)-1]
}
