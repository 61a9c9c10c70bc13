package exit_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/settings"
)

const (
	coldRate  = 10
	coldLimit = coldRate*3/2 + 8 // in any second; well above that a cold target crashes
)

// coldFixture is a fixture with one target of a service whose cold targets tolerate coldRate.
type coldFixture struct {
	*fixture
	known atomic.Bool // there is a configuration
	mu    sync.Mutex
	runs  []time.Time
	beat  admin.Announcement
}

func newColdFixture(t *testing.T, cold time.Duration) *coldFixture {
	c := &coldFixture{}
	c.known.Store(true)
	policy := func(string) exit.ColdPolicy {
		if !c.known.Load() {
			return exit.ColdPolicy{}
		}
		return exit.ColdPolicy{Rate: coldRate, Known: true}
	}
	conventions := exit.DefaultConventions
	conventions.ColdRemaining = "X-Cold"
	c.fixture = newFixtureOf(t, []exit.Option{exit.WithColdPolicy(policy), exit.WithConventions(conventions)}, func(s *settings.Settings) {
		s.Exit.AnnounceTTL = revision.Duration(time.Minute)
	})
	server := c.target(12, func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.runs = append(c.runs, time.Now())
		c.mu.Unlock()
		if r.URL.Path == "/cold" {
			w.Header().Set("X-Cold", "60000")
		}
	})
	c.exit.Withdraw("t1")
	c.beat = admin.Announcement{Instance: "t2", Service: "desk", Version: "v1", Address: server.Listener.Addr().String(), Slots: 12, Incarnation: 1}
	c.heartbeat(cold)
	return c
}

func (c *coldFixture) heartbeat(cold time.Duration) {
	c.t.Helper()
	c.beat.Sequence++
	c.beat.ColdRemaining = revision.Duration(cold)
	is.New(c.t).NoErr(c.exit.Announce(c.beat))
}

// flood sends requests from several callers for a time and returns the most runs in any second that ends in it,
// with those before.
func (c *coldFixture) flood(span time.Duration) (most int) {
	began := time.Now()
	var callers sync.WaitGroup
	var sending sync.Mutex // the fixture numbers the attempts
	for range 8 {
		callers.Go(func() {
			for time.Since(began) < span {
				head := requestHead(http.MethodGet, "/", "")
				wait := int64(0)
				head.MaxWaitMicros = &wait
				sending.Lock()
				stream := c.send(head)
				sending.Unlock()
				receive(c.t, stream)
				stream.Discard()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	first := 0
	for i, at := range c.runs {
		for at.Sub(c.runs[first]) >= time.Second {
			first++
		}
		if at.After(began) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against a cold target that crashes because of what entries send, or of what the daemon sent while it
// did not know that the target was cold.
func TestColdTargetIsHeldToTheRateOfItsService(t *testing.T) {
	for _, c := range []struct {
		name  string
		began time.Duration // cold period that the first heartbeat states
		turn  func(*coldFixture)
	}{
		{"from its start", time.Minute, func(*coldFixture) {}},
		{"before the configuration is known", time.Minute, func(c *coldFixture) { c.known.Store(false); c.exit.Tick(time.Now()) }},
		{"by a heartbeat in the middle of traffic", 0, func(c *coldFixture) { c.flood(300 * time.Millisecond); c.heartbeat(time.Minute) }},
		{"by a response in the middle of traffic", 0, func(c *coldFixture) {
			c.flood(300 * time.Millisecond)
			receive(c.t, c.send(requestHead(http.MethodGet, "/cold", "")))
			c.heartbeat(0) // it may have been sent before the response
		}},
		{"after an evacuation", 0, func(c *coldFixture) { c.exit.SetEvacuated(true); c.exit.SetEvacuated(false) }},
		{"after silence", 0, func(c *coldFixture) { c.exit.Tick(time.Now().Add(5 * time.Second)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fx := newColdFixture(t, c.began)
			c.turn(fx)
			fx.mu.Lock()
			sent := len(fx.runs)
			fx.mu.Unlock()
			most := fx.flood(1500 * time.Millisecond)
			t.Logf("%d runs before, at most %d in a second", sent, most)
			is.True(most <= max(coldLimit*3/4, sent+1))
			targets := fx.exit.Targets()
			is.Equal(targets[0].State, gossip.TargetCold)
			is.Equal(targets[0].Slots, 1) // others count on what it can do
		})
	}
}

// Guards against a target that stays held to the rate though a fresh heartbeat states that it is warm.
func TestAssumedColdEndsWithAFreshHeartbeat(t *testing.T) {
	is := is.New(t)
	fx := newColdFixture(t, 0)
	fx.exit.Tick(time.Now().Add(5 * time.Second))
	cold, periods := fx.exit.ColdTargets()
	is.Equal(cold, 1)
	is.Equal(periods, uint64(1))
	fx.heartbeat(0)
	cold, _ = fx.exit.ColdTargets()
	is.Equal(cold, 0)
	is.True(fx.flood(300*time.Millisecond) > coldLimit)
}

// Guards against a target whose heartbeats are lost and that stays held to the rate though its health response states
// that it is warm, also under load that takes each token.
func TestAssumedColdEndsWithAHealthResponse(t *testing.T) {
	is := is.New(t)
	conventions := exit.DefaultConventions
	conventions.ColdRemaining, conventions.HealthInstance = "X-Cold", "X-Instance"
	fx := newFixtureOf(t, []exit.Option{
		exit.WithColdPolicy(func(string) exit.ColdPolicy { return exit.ColdPolicy{Rate: coldRate, Known: true} }),
		exit.WithConventions(conventions), exit.WithHealthCheck(func(string) string { return "/health" }),
	}, func(s *settings.Settings) { s.Exit.AnnounceTTL = revision.Duration(time.Minute) })
	var stated atomic.Value
	stated.Store("60000")
	fx.target(12, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.Header().Set("X-Instance", "t1")
			w.Header().Set("X-Cold", stated.Load().(string))
		}
	})
	assume := func() {
		fx.exit.SetEvacuated(true)
		fx.exit.SetEvacuated(false)
	}
	held := func() int {
		fx.exit.Tick(time.Now())
		cold, _ := fx.exit.ColdTargets()
		return cold
	}
	assume()
	for range 20 {
		is.Equal(held(), 1) // it is cold by its own word
		time.Sleep(5 * time.Millisecond)
	}
	fx.exit.Withdraw("t1")
	stated.Store("0")
	is.NoErr(fx.exit.Announce(fx.announced))
	assume()
	for deadline := time.Now().Add(waitLimit); held() != 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the target stays held to the rate")
		}
	}
}

// Guards against a warm target that turns cold between two heartbeats and gets the requests of a warm one until the
// next, and against health checks of targets whose service has no bound.
func TestWarmTargetIsAskedWhetherItIsCold(t *testing.T) {
	is := is.New(t)
	conventions := exit.DefaultConventions
	conventions.ColdRemaining, conventions.HealthInstance = "X-Cold", "X-Instance"
	var rate atomic.Int64
	fx := newFixtureOf(t, []exit.Option{
		exit.WithColdPolicy(func(string) exit.ColdPolicy { return exit.ColdPolicy{Rate: float64(rate.Load()), Known: true} }),
		exit.WithConventions(conventions), exit.WithHealthCheck(func(string) string { return "/health" }),
	}, func(s *settings.Settings) { s.Exit.AnnounceTTL = revision.Duration(time.Minute) })
	var asked, remaining atomic.Int64
	fx.target(12, func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		w.Header().Set("X-Instance", "t1")
		w.Header().Set("X-Cold", strconv.FormatInt(remaining.Load(), 10))
	})
	tick := func(condition func() bool) (met bool) {
		for deadline := time.Now().Add(3 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				return false
			}
			fx.exit.Tick(time.Now())
		}
		return true
	}
	fx.exit.Tick(time.Now())
	time.Sleep(50 * time.Millisecond)
	is.Equal(asked.Load(), int64(0))
	rate.Store(coldRate)
	is.True(tick(func() bool { return asked.Load() >= 3 }))
	cold, _ := fx.exit.ColdTargets()
	is.Equal(cold, 0)
	remaining.Store(60_000)
	is.True(tick(func() bool { cold, _ := fx.exit.ColdTargets(); return cold == 1 }))
	before := asked.Load()
	for range 60 { // several intervals
		fx.exit.Tick(time.Now())
		time.Sleep(10 * time.Millisecond)
	}
	is.True(asked.Load() <= before+1) // by its own word it stays cold: no question takes the place of a request
}
