// Package load is an open-loop load generator: it plays callers that send
// requests at a rate of their own and writes down every answer.
package load

import (
	"errors"
	"fmt"

	"sassafrasnotch.example/coord/revision"
)

// Config configures a run.
type Config struct {
	// Entries are the addresses of daemons; requests go to them in turn.
	Entries []string `json:"entries"`
	// Rate is the number of requests a second.
	Rate float64 `json:"rate"`
	// Concurrency bounds the requests in flight. A request that would exceed
	// it is skipped and counted.
	Concurrency int               `json:"concurrency"`
	Duration    revision.Duration `json:"duration"`
	// Timeout bounds one attempt.
	Timeout revision.Duration `json:"timeout"`
	Routes  []Route           `json:"routes"`
	// Seed fixes the sequence of routes.
	Seed uint64 `json:"seed"`
	// IDPrefix starts every request id, so that runs can be told apart.
	IDPrefix string `json:"idPrefix"`
}

// Route is one kind of request in the mixture.
type Route struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Weight is the part of the mixture, relative to the other weights.
	Weight int `json:"weight"`
	// Keyed requests carry an Idempotency-Key, equal to the request id.
	Keyed bool `json:"keyed,omitempty"`
	// MaxResends is how often the caller sends the request again after an answer
	// that is neither an answer of the target nor a refusal.
	MaxResends int      `json:"resends,omitempty"`
	BodyBytes  int      `json:"bodyBytes,omitempty"`
	Headers    []Header `json:"headers,omitempty"`
}

// Header is a further header of a request.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func (c Config) check() error {
	var problems []error
	if len(c.Entries) == 0 {
		problems = append(problems, errors.New("load: entries must not be empty"))
	}
	if c.Rate <= 0 {
		problems = append(problems, errors.New("load: rate must be above 0"))
	}
	if c.Concurrency <= 0 {
		problems = append(problems, errors.New("load: concurrency must be above 0"))
	}
	if c.Duration <= 0 || c.Timeout <= 0 {
		problems = append(problems, errors.New("load: duration and timeout must be above 0"))
	}
	if len(c.Routes) == 0 {
		problems = append(problems, errors.New("load: routes must not be empty"))
	}
	for i, r := range c.Routes {
		if r.Method == "" || r.Path == "" || r.Weight <= 0 {
			problems = append(problems, fmt.Errorf("load: routes[%d] needs a method, a path and a weight above 0", i))
		}
	}
	return errors.Join(problems...)
}

// mixture picks routes by weight.
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

// pick returns the route at a point from 0 to total-1.
func (m mixture) pick(point int) Route {
	for _, r := range m.routes {
		if point < r.Weight {
			return r
		}
		point -= r.Weight
	}
	return m.routes[len(m.routes)-1]
}
