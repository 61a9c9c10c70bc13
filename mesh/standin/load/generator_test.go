package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

const testTimeout = revision.Duration(30 * time.Second)

func configFor(entries ...string) Config {
	return Config{
		Entries:     entries,
		Rate:        1000,
		Concurrency: 100,
		Duration:    revision.Duration(10 * time.Millisecond),
		Timeout:     testTimeout,
		Routes:      []Route{{Method: http.MethodGet, Path: "/", Weight: 1}},
	}
}

func run(t *testing.T, config Config) Report {
	g, err := New(config)
	is.New(t).NoErr(err)
	return g.Run(t.Context())
}

func startEntry(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func respondWith(outcome string, status int, requestID string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if outcome != "" {
			w.Header().Set(HeaderOutcome, outcome)
		}
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"requestId":%q}`, requestID)
	}
}

func closedPort(t *testing.T) string {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	return listener.Addr().String()
}

func TestOutcomes(t *testing.T) {
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("part"))
		panic(http.ErrAbortHandler)
	}
	cases := []struct {
		name       string
		entry      string
		outcome    Outcome
		mismatched bool
	}{
		{"responded", startEntry(t, respondWith("answered", 200, "")), OutcomeResponded, false},
		{"refused", startEntry(t, respondWith("refused", 503, "")), OutcomeRefused, false},
		{"unknown", startEntry(t, respondWith("unknown", 504, "")), OutcomeUnknown, false},
		{"unstated", startEntry(t, respondWith("", 200, "")), OutcomeUnstated, false},
		{"invalid outcome", startEntry(t, respondWith("ok", 200, "")), OutcomeUnstated, false},
		{"mismatched", startEntry(t, respondWith("answered", 200, "another")), OutcomeResponded, true},
		{"incomplete", startEntry(t, truncated), OutcomeIncomplete, false},
		{"unsent", closedPort(t), OutcomeUnsent, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			report := run(t, configFor(c.entry))
			is.Equal(len(report.Results), 10)
			for _, r := range report.Results {
				is.Equal(r.Outcome, c.outcome)
				is.Equal(r.Mismatched, c.mismatched)
			}
		})
	}
}

// Guards against a request that counts as unsent although it may have run: the HTTP client
// sends a request again by itself when a kept connection breaks, and only that second dial may
// fail.
func TestRequestSentBeforeAFailedDialIsIncomplete(t *testing.T) {
	is := is.New(t)
	dialError := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	is.Equal(errorOutcome(dialError, true), OutcomeIncomplete)
	is.Equal(errorOutcome(dialError, false), OutcomeUnsent)
}

func TestResendsUntilOutcomeIsKnown(t *testing.T) {
	is := is.New(t)
	config := configFor(startEntry(t, respondWith("unknown", 504, "")), startEntry(t, respondWith("answered", 200, "")))
	config.Routes[0].MaxResends = 5
	config.Routes[0].Keyed = true
	report := run(t, config)
	// Every second request starts at the first entry and is sent again to the other.
	is.Equal(report.Summary.Outcomes, Counts{Responded: 10, Unknown: 5})
}

func TestConcurrencyIsBounded(t *testing.T) {
	is := is.New(t)
	config := configFor(startEntry(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	config.Concurrency = 2
	config.Timeout = revision.Duration(100 * time.Millisecond)
	report := run(t, config)
	is.Equal(report.Summary.Attempts+report.Summary.Skipped, uint64(10))
	is.True(report.Summary.Attempts >= 2)
}

func TestLoadOnTheTargetStandIn(t *testing.T) {
	is := is.New(t)
	target, err := targetserver.New(targetserver.Config{Instance: "a", Service: "s", Version: "v2"})
	is.NoErr(err)
	is.NoErr(target.Start())
	defer target.Close()
	is.NoErr(target.SetBehaviours([]targetserver.Behaviour{{Prefix: "/bad", FailStatus: 500}}))
	config := configFor(target.Addr())
	config.Routes = []Route{{Method: http.MethodPost, Path: "/bad", Weight: 1, Keyed: true, BodyBytes: 10}}
	report := run(t, config)
	is.Equal(report.Summary.Versions, []VersionCounts{{Version: "v2", Responses: 10, Failures: 10}})
	is.True(report.Summary.P99 > 0)
	is.Equal(report.Summary.Mismatched, uint64(0))
	for _, r := range target.ExecutionRecords() {
		is.Equal(r.IdempotencyKey, r.RequestID)
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	config := configFor(closedPort(t))
	config.Duration = testTimeout
	g, err := New(config)
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.New(t).Equal(g.Run(ctx).Summary.Attempts, uint64(0))
}

func TestMixtureFollowsTheWeights(t *testing.T) {
	m := newMixture([]Route{{Path: "/a", Weight: 2}, {Path: "/b", Weight: 1}})
	for point, want := range []string{"/a", "/a", "/b"} {
		is.New(t).Equal(m.pick(point).Path, want)
	}
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Config)
	}{
		{"no entries", func(c *Config) { c.Entries = nil }},
		{"no rate", func(c *Config) { c.Rate = 0 }},
		{"no concurrency", func(c *Config) { c.Concurrency = 0 }},
		{"no duration", func(c *Config) { c.Duration = 0 }},
		{"no routes", func(c *Config) { c.Routes = nil }},
		{"no weight", func(c *Config) { c.Routes[0].Weight = 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := configFor("127.0.0.1:1")
			c.change(&config)
			_, err := New(config)
			is.New(t).True(err != nil)
		})
	}
}
