package nested

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// Guards against requests of callers that are taken for nested ones, and the reverse.
func TestRouteIsNestedWhileItsRequestsComeFromOneService(t *testing.T) {
	tests := []struct {
		name    string
		origins map[string]int
		age     time.Duration
		want    bool
	}{
		{"one service", map[string]int{"desk": 30}, 0, true},
		{"too few samples", map[string]int{"desk": 29}, 0, false},
		{"another service too", map[string]int{"desk": 60, "shop": 2}, 0, false},
		{"a stray request", map[string]int{"desk": 60, "shop": 1}, 0, true},
		{"requests without an origin", map[string]int{"desk": 30, "": 10}, 0, false},
		{"forgotten with age", map[string]int{"desk": 40}, halfLife, false},
		{"nothing", nil, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			origins := NewOrigins()
			for origin, count := range test.origins {
				for range count {
					origins.Observe("quote", origin, start)
				}
			}
			is := is.New(t)
			is.Equal(origins.Nested("quote", "desk", after(test.age)), test.want)
			is.True(!origins.Nested("quote", "", after(test.age)))
			is.True(!origins.Nested("other", "desk", after(test.age)))
		})
	}
}

// A route that becomes open to callers must lose its rank within seconds, not with the half-life.
func TestNestedRouteThatCallersUseIsNestedNoMore(t *testing.T) {
	is := is.New(t)
	origins := NewOrigins()
	for i := range 100 {
		origins.Observe("quote", "desk", after(time.Duration(i)*time.Second))
	}
	is.True(origins.Nested("quote", "desk", after(100*time.Second)))
	for range 3 {
		origins.Observe("quote", "shop", after(101*time.Second))
	}
	is.True(!origins.Nested("quote", "desk", after(101*time.Second)))
}

// Guards against memory that grows with the routes of all configurations.
func TestOriginsForgetIdleRoutes(t *testing.T) {
	is := is.New(t)
	origins := NewOrigins()
	for i := range 2 * maxRoutes {
		origins.Observe(string(rune(i)), "desk", start)
	}
	is.Equal(len(origins.routes), maxRoutes)
	origins.Observe("new", "desk", after(10*halfLife))
	is.Equal(len(origins.routes), 1)
}

// An exit that has just started has too few samples; its report must not outvote the others.
func TestEntryBelievesMostReports(t *testing.T) {
	is := is.New(t)
	routes := NewRoutes()
	is.True(!routes.Nested("quote", start))
	routes.Observe("quote", true, 0, start)
	is.True(!routes.Nested("quote", start))
	routes.Observe("quote", true, 0, start)
	is.True(routes.Nested("quote", start))
	routes.Observe("quote", false, 0, start)
	is.True(routes.Nested("quote", start))
	for range 2 {
		routes.Observe("quote", false, 0, start)
	}
	is.True(!routes.Nested("quote", start))
}

// Two routes run at the same time at a target and only one of them makes nested requests: a wrong
// attribution would take retries from the other.
func TestParentsAreToldFromRoutesThatRunBesideThem(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	parents := NewParents()
	type run struct {
		route string
		begun time.Time
		ends  time.Time
	}
	var running []run
	now := start
	for range 20_000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(5*time.Millisecond)))
		for i := 0; i < len(running); i++ {
			if r := running[i]; !now.Before(r.ends) {
				parents.End(r.route, r.ends.Sub(r.begun), now)
				running = append(running[:i], running[i+1:]...)
				i--
			}
		}
		if len(running) < 6 {
			r := run{route: "plain", begun: now, ends: now.Add(20 * time.Millisecond)}
			if random.IntN(2) == 0 {
				r = run{route: "parent", begun: now, ends: now.Add(30 * time.Millisecond)}
			}
			running = append(running, r)
			parents.Begin(r.route)
			if r.route == "parent" {
				parents.Observe("quote", now)
				parents.Observe("stock", now)
			}
		}
	}
	is.True(parents.CallsPerRun("parent", now) > 1.6)
	is.True(parents.CallsPerRun("parent", now) < 2.1)
	is.True(parents.CallsPerRun("plain", now) < 0.3)
	t.Logf("parent %.2f, plain %.2f nested requests a run", parents.CallsPerRun("parent", now), parents.CallsPerRun("plain", now))
	is.Equal(parents.Running(), len(running))
}
