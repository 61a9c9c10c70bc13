package exit_test

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/departure"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/settings"
)

// heldTTL is the AnnounceTTL of these tests, and with it the time over which a target shows that it stays.
const heldTTL = 2 * time.Second

// newHeldFixture returns a fixture whose exit does not know its departures, and a target that announces an
// incarnation and serves its health check.
func newHeldFixture(t *testing.T, health http.HandlerFunc) *fixture {
	t.Helper()
	conventions := exit.DefaultConventions
	conventions.HealthInstance = "X-Instance"
	options := []exit.Option{
		exit.WithRecordedDepartures(), exit.WithConventions(conventions),
		exit.WithHealthCheck(func(string) string {
			if health == nil {
				return ""
			}
			return "/health"
		}),
	}
	fx := newFixtureOf(t, options, func(s *settings.Settings) { s.Exit.AnnounceTTL = revision.Duration(heldTTL) })
	fx.target(4, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			health(w, r)
		}
	})
	fx.announced.Incarnation, fx.announced.Sequence = uint64(time.Now().UnixMilli()), 1
	fx.exit.Withdraw("t1") // that of fixture.target, which states no incarnation
	return fx
}

// respondRaw returns a handler that responds with the bytes and closes the connection.
func respondRaw(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, response)
	}
}

func (fx *fixture) announceNext() {
	fx.t.Helper()
	fx.announced.Sequence++
	is.New(fx.t).NoErr(fx.exit.Announce(fx.announced))
}

// tickFor runs the periodic work for a time, or until the target is open, and reports whether it is.
func (fx *fixture) tickFor(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		fx.exit.Tick(time.Now())
		if len(fx.exit.Targets()) > 0 {
			return true
		}
	}
	return false
}

// Guards against a target that a delayed announcement opens before the process knows that it has left, and
// against one that stays closed after that.
func TestTargetIsHeldUntilTheDeparturesAreKnown(t *testing.T) {
	tests := []struct {
		name  string
		learn func(fx *fixture)
		opens bool
	}{
		{"nothing is learnt", func(*fixture) {}, false},
		{"no departure", func(fx *fixture) { fx.exit.RestoreDepartures(nil) }, true},
		{"it left", func(fx *fixture) {
			fx.exit.RestoreDepartures([]departure.Departure{{Instance: "t1", Incarnation: fx.announced.Incarnation, At: time.Now()}})
		}, false},
		{"an earlier incarnation left", func(fx *fixture) {
			fx.exit.RestoreDepartures([]departure.Departure{{Instance: "t1", Incarnation: fx.announced.Incarnation - 1, At: time.Now()}})
		}, true},
		{"it leaves meanwhile", func(fx *fixture) {
			fx.exit.Withdraw("t1")
			fx.exit.RestoreDepartures(nil)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fx := newHeldFixture(t, nil)
			fx.announced.Instance = "t1"
			is.NoErr(fx.exit.Announce(fx.announced))
			is.Equal(len(fx.exit.Targets()), 0)
			test.learn(fx)
			is.Equal(len(fx.exit.Targets()) == 1, test.opens) // without a further announcement
		})
	}
}

// A target that stays must get requests soon though the departures can't be read, and one that leaves or
// gives no sense must get none.
func TestHeldTargetIsAskedWhetherItStays(t *testing.T) {
	respond := func(status int, instance string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Instance", instance)
			w.WriteHeader(status)
		}
	}
	tests := []struct {
		name   string
		health http.HandlerFunc
		opens  bool
	}{
		{"stays", respond(200, "t1"), true},
		{"leaves", respond(503, "t1"), false},
		{"another target", respond(200, "t2"), false},
		{"no name", respond(200, ""), false},
		{"invalid field name", respondRaw("HTTP/1.1 200 OK\r\nX-Instance: t1\r\nX Kind: swan\r\nContent-Length: 0\r\n\r\n"), false},
		{"invalid field name before the response", respondRaw("HTTP/1.1 103 Early Hints\r\nX-Kind : swan\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nX-Instance: t1\r\nContent-Length: 0\r\n\r\n"), false},
		{"informational response first", respondRaw("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Instance: t1\r\nContent-Length: 0\r\n\r\n"), true},
		{"without end", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Instance", "t1")
			for r.Context().Err() == nil {
				_, _ = w.Write(make([]byte, 32<<10))
			}
		}, true},
		{"head without end", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Instance: t1\r\n"))
			for err == nil {
				_, err = conn.Write([]byte("X-Ice: melts\r\n"))
			}
		}, false},
		{"no response", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false},
		{"closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fx := newHeldFixture(t, test.health)
			is.NoErr(fx.exit.Announce(fx.announced))
			is.Equal(fx.tickFor(heldTTL-200*time.Millisecond), test.opens)
		})
	}
}

// Without a health check, a target that goes on announcing itself is opened. The delayed announcement of one
// that has left is not followed by another.
func TestHeldTargetShowsThatItStays(t *testing.T) {
	is := is.New(t)
	fx := newHeldFixture(t, nil)
	is.NoErr(fx.exit.Announce(fx.announced))
	began := time.Now()
	for len(fx.exit.Targets()) == 0 {
		is.True(time.Since(began) < 10*heldTTL)
		is.True(!fx.tickFor(50 * time.Millisecond))
		fx.announceNext()
	}
	is.True(time.Since(began) >= heldTTL)

	late := newHeldFixture(t, nil)
	is.NoErr(late.exit.Announce(late.announced))
	is.True(!late.tickFor(heldTTL + 200*time.Millisecond))
	is.NoErr(late.exit.Announce(late.announced)) // the same announcement once more
	is.True(!late.tickFor(heldTTL))
}

// A departure is acknowledged once it is recorded, and not before.
func TestDepartureIsAcknowledgedOnceRecorded(t *testing.T) {
	is := is.New(t)
	fx := newHeldFixture(t, nil)
	fx.exit.RestoreDepartures(nil)
	is.NoErr(fx.exit.AwaitRecorded(t.Context(), "t1"))
	is.NoErr(fx.exit.Announce(fx.announced))
	fx.exit.Withdraw("t1")
	is.Equal(len(fx.exit.Targets()), 0) // at once
	is.True(errors.Is(fx.exit.AwaitRecorded(t.Context(), "t1"), exit.ErrNotRecorded))
	_, change := fx.exit.Departures()
	time.AfterFunc(50*time.Millisecond, func() { fx.exit.DeparturesRecorded(change) })
	is.NoErr(fx.exit.AwaitRecorded(t.Context(), "t1"))
	is.True(!fx.exit.HasUnrecordedDepartures())
}
