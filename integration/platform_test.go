package integration

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/mesh/standin/workerserver"
	"sassafrasnotch.example/platform/wire"
)

// Bounds that the platform's settings give.
const (
	applyWithin  = 2 * time.Second // of a configuration
	drainWithin  = 2 * time.Second // of a worker's acknowledged departure
	callerLimit  = 1500 * time.Millisecond
	routeTimeout = time.Second
	answerWithin = 500 * time.Millisecond // of a route's time, or of a caller's departure
)

const platformHost = "mesh.example"

// onPlatform is a system of two services with a worker on each host.
type onPlatform struct {
	*cluster.Cluster
	t       *testing.T
	workers map[string]*workerserver.Worker // by service and host
	ids     atomic.Uint64
	client  *http.Client
}

func startOnPlatform(t *testing.T) *onPlatform {
	t.Helper()
	p := &onPlatform{t: t, workers: make(map[string]*workerserver.Worker), client: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 64,
	}}}
	service := func(host string) string {
		if strings.HasSuffix(host, "1") {
			return "desk"
		}
		return "studio"
	}
	p.Cluster = cluster.Start(t, cluster.Options{Zones: 3, HostsPerZone: 2, Adjust: cluster.PlatformSettings(service)})
	for _, d := range p.Daemons {
		p.workers[d.Settings.Host] = d.StartWorker("i-"+d.Settings.Host, "v1", nil)
	}
	p.WriteOperatorRow(wire.KeyConfig, config(3))
	for _, d := range p.Daemons {
		p.eventually(applyWithin*5, d.Settings.Host+" takes requests", func() error { return p.ready(d) })
	}
	p.WaitTargets("desk", "v1", 3)
	p.WaitTargets("studio", "v1", 3)
	return p
}

// config is a configuration with a safe, an unsafe and a divided route, and
// those given.
func config(version uint64, more ...wire.Route) wire.Config {
	route := func(name, prefix, kind string) wire.Route {
		return wire.Route{
			Name: name, Host: platformHost, PathPrefix: prefix, Kind: kind, TimeoutMs: routeTimeout.Milliseconds(),
			TargetLatencyMs: 200, Priority: 1, Service: "desk", MaxAttempts: 3,
		}
	}
	divided := route("divided", "/divided/", wire.KindSafe)
	divided.Service = ""
	divided.TrafficSplit = []wire.Share{{Service: "desk", Weight: 75}, {Service: "studio", Weight: 25}}
	return wire.Config{
		Version:  fmt.Sprintf("%08x", version),
		Routes:   append([]wire.Route{route("safe", "/safe/", wire.KindSafe), route("unsafe", "/unsafe/", wire.KindUnsafe), divided}, more...),
		Services: []wire.Service{{Name: "desk", HealthPath: "/health"}, {Name: "studio", HealthPath: "/health"}},
	}
}

func (p *onPlatform) eventually(limit time.Duration, what string, condition func() error) {
	p.t.Helper()
	cluster.Eventually(p.t, limit, what, condition)
}

func (p *onPlatform) ready(d *cluster.Daemon) error {
	response, err := p.client.Get("http://" + d.Settings.Admin.Ready + wire.PathReady)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// told is what a caller was told.
type told struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
	sent   time.Time
}

// whole reports whether the caller got a success of a worker, complete.
func (a told) whole() bool {
	return a.err == nil && a.status == http.StatusOK && a.body == workerserver.Body(a.id) && a.header.Get(wire.HeaderSignature) != ""
}

func (p *onPlatform) call(d *cluster.Daemon, method, path, body string) told {
	return p.callFor(context.Background(), d, method, path, body)
}

// callFor is call by a caller that leaves when the context ends.
func (p *onPlatform) callFor(ctx context.Context, d *cluster.Daemon, method, path, body string) told {
	a := told{id: fmt.Sprintf("%016x", p.ids.Add(1)), sent: time.Now()}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.Settings.Entry.Listen+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = platformHost
	request.Header.Set(wire.HeaderRequestID, a.id)
	request.Header.Set(wire.HeaderDeadline, fmt.Sprint(callerLimit.Milliseconds()))
	request.Header.Set(wire.HeaderCallerService, "forged")
	response, err := p.client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a.status, a.body, a.header, a.err = response.StatusCode, string(data), response.Header, err
	return a
}

// runs returns the runs of a request at all workers.
func (p *onPlatform) runs(id string) []workerserver.Run {
	var found []workerserver.Run
	for _, worker := range p.workers {
		for _, run := range worker.Runs() {
			if run.RequestID == id {
				found = append(found, run)
			}
		}
	}
	return found
}

func TestRequestsOnThePlatform(t *testing.T) {
	t.Parallel()
	p := startOnPlatform(t)
	t.Run("unchanged", func(t *testing.T) {
		is := is.New(t)
		d := p.Daemons[0]
		a := p.call(d, http.MethodPost, "/unsafe/2f?x=%2F", "a swan")
		is.True(a.whole())
		is.Equal(a.header.Get(wire.HeaderRequestID), a.id)
		ran := p.runs(a.id)
		is.Equal(len(ran), 1)
		is.Equal(ran[0].Method, http.MethodPost)
		is.Equal(ran[0].URI, "/unsafe/2f?x=%2F")
		is.Equal(ran[0].Body, "a swan")
		is.Equal(ran[0].CallerService, d.Settings.Service) // whatever was sent
		is.True(ran[0].Deadline <= time.Second)            // the route's, which is shorter
	})
	t.Run("no route", func(t *testing.T) {
		is := is.New(t)
		is.Equal(p.call(p.Daemons[0], http.MethodGet, "/nowhere/", "").status, http.StatusNotFound)
		is.Equal(p.call(p.Daemons[0], http.MethodGet, "/safe", "").status, http.StatusNotFound)
	})
	t.Run("divided", func(t *testing.T) {
		is := is.New(t)
		studio := 0
		const count = 400
		for range count {
			a := p.call(p.Daemons[1], http.MethodGet, "/divided/1", "")
			is.True(a.whole())
			if strings.HasSuffix(a.header.Get(wire.HeaderSignature), "2") {
				studio++
			}
		}
		is.True(studio > count*15/100 && studio < count*35/100) // 25 in 100
	})
	t.Run("broken answers", func(t *testing.T) {
		for _, c := range []struct {
			kind         string
			safe, unsafe int
		}{
			{workerserver.AnswerLost, http.StatusBadGateway, http.StatusBadGateway},
			{workerserver.AnswerCut, http.StatusBadGateway, http.StatusBadGateway},
			{workerserver.AnswerUnsigned, http.StatusBadGateway, http.StatusBadGateway},
			{workerserver.AnswerExtra, http.StatusOK, http.StatusOK},
			{workerserver.AnswerUnframed, http.StatusOK, http.StatusOK},
			{workerserver.AnswerFailed, http.StatusInternalServerError, http.StatusInternalServerError},
		} {
			is := is.New(t)
			safe := p.call(p.Daemons[0], http.MethodGet, "/safe/"+c.kind, "")
			is.Equal(safe.status, c.safe) // every worker breaks this request
			unsafe := p.call(p.Daemons[0], http.MethodPost, "/unsafe/"+c.kind, "a swan")
			is.Equal(unsafe.status, c.unsafe)
			is.Equal(len(p.runs(unsafe.id)), 1)
			is.Equal(safe.whole(), c.safe == http.StatusOK)
			is.Equal(unsafe.whole(), c.unsafe == http.StatusOK)
			is.True(p.call(p.Daemons[0], http.MethodGet, "/safe/after", "").whole()) // no bytes are left behind
		}
	})
	t.Run("the time of the route is over", func(t *testing.T) {
		for _, c := range []struct{ method, path string }{
			{http.MethodGet, "/safe/" + workerserver.AnswerLate}, {http.MethodPost, "/unsafe/" + workerserver.AnswerLate},
		} {
			is := is.New(t)
			began := time.Now()
			a := p.call(p.Daemons[0], c.method, c.path, "")
			took := time.Since(began)
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusGatewayTimeout)
			is.True(took >= routeTimeout*9/10 && took < routeTimeout+answerWithin)
			is.True(len(p.runs(a.id)) >= 1)
		}
	})
	t.Run("the caller leaves", func(t *testing.T) {
		is := is.New(t)
		ctx, leave := context.WithTimeout(context.Background(), routeTimeout/4)
		defer leave()
		a := p.callFor(ctx, p.Daemons[0], http.MethodGet, "/safe/"+workerserver.AnswerLate, "")
		left := time.Now()
		is.True(a.err != nil)
		p.eventually(answerWithin, "the worker stops", func() error {
			for _, run := range p.runs(a.id) {
				if run.Stopped.IsZero() {
					return errors.New("still at work")
				}
			}
			return nil
		})
		is.True(time.Since(left) < answerWithin)
		is.Equal(len(p.runs(a.id)), 1)
	})
	t.Run("SIGHUP", func(t *testing.T) {
		is := is.New(t)
		p.Daemons[0].Hangup()
		for range 50 {
			is.True(p.call(p.Daemons[0], http.MethodGet, "/safe/1", "").whole())
		}
		is.True(p.Daemons[0].Running())
	})
}

func TestConfigurationsOnThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startOnPlatform(t)
	added := wire.Route{
		Name: "added", Host: platformHost, PathPrefix: "/added/", Kind: wire.KindSafe,
		TimeoutMs: 1000, Service: "studio", MaxAttempts: 2,
	}
	everywhere := func(path string, status int) {
		t.Helper()
		for _, d := range p.Daemons {
			p.eventually(applyWithin, fmt.Sprintf("%s answers %s with %d", d.Settings.Host, path, status), func() error {
				if a := p.call(d, http.MethodGet, path, ""); a.status != status {
					return fmt.Errorf("status %d", a.status)
				}
				return nil
			})
		}
	}
	everywhere("/added/1", http.StatusNotFound)
	p.WriteOperatorRow(wire.KeyConfig, config(7, added))
	everywhere("/added/1", http.StatusOK)

	// Nothing of what is not valid, or older, comes into force.
	unknown := added
	unknown.Name, unknown.PathPrefix, unknown.Service = "unknown", "/unknown/", "nobody"
	p.WriteOperatorRow(wire.KeyConfig, config(9, added, unknown))
	p.WriteOperatorRow(wire.KeyConfig, []byte(`{"Version":"0000000b","Routes":[{"Na`))
	p.WriteOperatorRow(wire.KeyConfig, config(5))
	time.Sleep(500 * time.Millisecond)
	everywhere("/added/1", http.StatusOK)
	everywhere("/unknown/1", http.StatusNotFound)

	// With the store away what is in force stays, and the next one follows it.
	p.SetPlatformFaults(platformserver.Faults{Outage: true})
	everywhere("/added/1", http.StatusOK)
	p.WriteOperatorRow(wire.KeyConfig, config(12))
	p.SetPlatformFaults(platformserver.Faults{DropHistory: true})
	everywhere("/added/1", http.StatusNotFound)
	is.True(p.call(p.Daemons[2], http.MethodGet, "/safe/1", "").whole())
}

// traffic calls all daemons until it is stopped.
type traffic struct {
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	answers []told
}

func (p *onPlatform) startTraffic(callers int) *traffic {
	load := &traffic{stop: make(chan struct{})}
	for i := range callers {
		load.group.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-load.stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				d := p.Daemons[(i+number)%len(p.Daemons)]
				if p.ready(d) != nil {
					continue // callers go by the readiness check
				}
				a := p.call(d, http.MethodPost, "/unsafe/1", "a swan")
				load.mu.Lock()
				load.answers = append(load.answers, a)
				load.mu.Unlock()
			}
		})
	}
	return load
}

// end returns all answers.
func (l *traffic) end() []told {
	close(l.stop)
	l.group.Wait()
	return l.answers
}

func (p *onPlatform) checkAnswers(answers []told) {
	p.t.Helper()
	for _, a := range answers {
		if !a.whole() {
			p.t.Fatalf("request %s: status %d, %v, %.200s", a.id, a.status, a.err, a.body)
		}
	}
	if len(answers) == 0 {
		p.t.Fatal("no request was answered")
	}
}

func TestLeavingWorkersOnThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startOnPlatform(t)
	load := p.startTraffic(12)
	time.Sleep(500 * time.Millisecond)
	drains, departs := p.workers["host-a1"], p.workers["host-b1"]
	is.NoErr(drains.Drain())
	is.NoErr(departs.Deregister())
	time.Sleep(time.Second)
	p.Daemons[0].Restart() // beside the worker that drains: it must not open it again
	p.Daemons[0].WaitReady()
	time.Sleep(drainWithin + time.Second)
	answers := load.end()
	is.Equal(len(drains.RunsAfterLeaving(drainWithin)), 0)
	is.Equal(len(departs.RunsAfterLeaving(drainWithin)), 0)
	failed := 0
	for _, a := range answers {
		if !a.whole() {
			failed++ // at the daemon that was killed
		}
	}
	is.True(failed <= 12) // no more than were in flight
}

// TestPlannedStopsOnThePlatform stops daemons in turn. No caller loses a request, and
// the worker beside a stopping daemon gets work while callers learn of the stop.
func TestPlannedStopsOnThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startOnPlatform(t)
	load := p.startTraffic(12)
	for _, d := range p.Daemons[:4] {
		time.Sleep(300 * time.Millisecond)
		asked := time.Now()
		d.Terminate()
		is.NoErr(d.Wait(t))
		if d.Settings.Service == "desk" { // the service that is called
			is.True(p.workers[d.Settings.Host].RunsBetween(asked.Add(300*time.Millisecond), asked.Add(800*time.Millisecond)) > 0)
		}
		d.Launch()
		d.WaitReady()
	}
	p.checkAnswers(load.end())
}
