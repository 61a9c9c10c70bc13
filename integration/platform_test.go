package integration

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/mesh/standin/workerserver"
	"sassafrasnotch.example/platform/wire"
)

// Bounds from the platform's settings.
const (
	applyWithin    = 2 * time.Second         // from the write of a configuration until it is in force on every daemon
	drainWithin    = 2 * time.Second         // from a worker's acknowledged departure until it gets no requests
	callerLimit    = 1500 * time.Millisecond // deadline that callers send
	routeTimeout   = time.Second             // timeout of the routes
	responseMargin = 500 * time.Millisecond  // after a route's timeout, or after a caller has left
)

const platformHost = "mesh.example"

// platformCluster is a system that follows the platform's conventions, with the services desk and studio
// and one worker on each host.
type platformCluster struct {
	*cluster.Cluster
	t       *testing.T
	workers map[string]*workerserver.Worker // by host
	ids     atomic.Uint64
	client  *http.Client
}

// startPlatformCluster starts a system of six daemons and waits until they serve requests. The functions change
// the settings of each daemon.
func startPlatformCluster(t *testing.T, adjust ...func(*settings.Settings)) *platformCluster {
	t.Helper()
	return startPlatformClusterOf(t, nil, adjust...)
}

// startPlatformClusterOf is like startPlatformCluster. The function adjustWorker, if not nil, changes the configuration of
// each worker.
func startPlatformClusterOf(t *testing.T, adjustWorker func(*workerserver.Config), adjust ...func(*settings.Settings)) *platformCluster {
	t.Helper()
	p := &platformCluster{t: t, workers: make(map[string]*workerserver.Worker), client: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 64,
	}}}
	service := func(host string) string {
		if strings.HasSuffix(host, "1") {
			return "desk"
		}
		return "studio"
	}
	p.Cluster = cluster.Start(t, cluster.Options{Zones: 3, HostsPerZone: 2, Adjust: func(s *settings.Settings) {
		cluster.PlatformSettings(service)(s)
		for _, change := range adjust {
			change(s)
		}
	}})
	for _, d := range p.Daemons {
		p.workers[d.Settings.Host] = d.StartWorker("i-"+d.Settings.Host, "v1", adjustWorker)
	}
	p.WriteOperatorRow(wire.KeyConfig, testConfig(3))
	for _, d := range p.Daemons {
		p.eventually(applyWithin*5, d.Settings.Host+" reports ready", func() error { return p.ready(d) })
	}
	p.WaitTargets("desk", "v1", 3)
	p.WaitTargets("studio", "v1", 3)
	return p
}

// testConfig returns a configuration with a safe route, an unsafe route, a route divided between both
// services, and the given routes.
func testConfig(version uint64, more ...wire.Route) wire.Config {
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
		Services: []wire.Service{{Name: "desk", HealthPath: workerserver.HealthPath}, {Name: "studio", HealthPath: workerserver.HealthPath}},
	}
}

func (p *platformCluster) eventually(limit time.Duration, what string, condition func() error) {
	p.t.Helper()
	cluster.Eventually(p.t, limit, what, condition)
}

// ready returns an error unless the daemon's readiness check responds with 200.
func (p *platformCluster) ready(d *cluster.Daemon) error {
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

// callerResult is the result of a request as its caller received it.
type callerResult struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
	sent   time.Time
}

// complete reports whether the caller got the complete, signed success response of a worker.
func (a callerResult) complete() bool {
	return a.err == nil && a.status == http.StatusOK && a.body == workerserver.ResponseBody(a.id) && a.header.Get(wire.HeaderSignature) != ""
}

// send sends one request to a daemon's entry, with the deadline callerLimit and a forged caller service.
func (p *platformCluster) send(d *cluster.Daemon, method, path, body string) callerResult {
	return p.sendWithContext(context.Background(), d, method, path, body)
}

// sendWithContext is like send; the caller abandons the request when the context ends.
func (p *platformCluster) sendWithContext(ctx context.Context, d *cluster.Daemon, method, path, body string) callerResult {
	a := callerResult{id: fmt.Sprintf("%016x", p.ids.Add(1)), sent: time.Now()}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.Settings.Entry.Listen+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = platformHost
	request.Header.Set(wire.HeaderRequestID, a.id)
	request.Header.Set(wire.HeaderDeadline, fmt.Sprint(callerLimit.Milliseconds()))
	request.Header.Set(wire.HeaderCallerService, "forged")
	return p.do(request, a)
}

// do sends a request and completes its result.
func (p *platformCluster) do(request *http.Request, a callerResult) callerResult {
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

// runs returns the runs of a request on all workers.
func (p *platformCluster) runs(id string) []workerserver.ExecutionRecord {
	var found []workerserver.ExecutionRecord
	for _, worker := range p.workers {
		for _, run := range worker.ExecutionRecords() {
			if run.RequestID == id {
				found = append(found, run)
			}
		}
	}
	return found
}

// TestRequestsOnThePlatform checks how daemons forward requests to workers and how they respond to faulty
// workers, expired timeouts and callers that abandon requests.
func TestRequestsOnThePlatform(t *testing.T) {
	t.Parallel()
	p := startPlatformCluster(t)
	t.Run("unchanged", func(t *testing.T) {
		is := is.New(t)
		d := p.Daemons[0]
		a := p.send(d, http.MethodPost, "/unsafe/2f?x=%2F", "a swan")
		is.True(a.complete())
		is.Equal(a.header.Get(wire.HeaderRequestID), a.id)
		ran := p.runs(a.id)
		is.Equal(len(ran), 1)
		is.Equal(ran[0].Method, http.MethodPost)
		is.Equal(ran[0].URI, "/unsafe/2f?x=%2F")
		is.Equal(ran[0].Body, "a swan")
		is.Equal(ran[0].CallerService, d.Settings.Service) // not the forged name that the caller sent
		is.True(ran[0].Deadline <= time.Second)            // the route's timeout, which is shorter than the caller's
	})
	t.Run("no route", func(t *testing.T) {
		is := is.New(t)
		is.Equal(p.send(p.Daemons[0], http.MethodGet, "/nowhere/", "").status, http.StatusNotFound)
		is.Equal(p.send(p.Daemons[0], http.MethodGet, "/safe", "").status, http.StatusNotFound)
	})
	t.Run("divided", func(t *testing.T) {
		is := is.New(t)
		studio := 0
		const count = 400
		for range count {
			a := p.send(p.Daemons[1], http.MethodGet, "/divided/1", "")
			is.True(a.complete())
			if strings.HasSuffix(a.header.Get(wire.HeaderSignature), "2") {
				studio++
			}
		}
		is.True(studio > count*15/100 && studio < count*35/100) // around the weight of 25%
	})
	t.Run("broken answers", func(t *testing.T) {
		for _, c := range []struct {
			kind         string
			safe, unsafe int
		}{
			{workerserver.ResponseDropped, http.StatusBadGateway, http.StatusBadGateway},
			{workerserver.ResponseTruncated, http.StatusBadGateway, http.StatusBadGateway},
			{workerserver.ResponseUnsigned, http.StatusBadGateway, http.StatusBadGateway},
			{workerserver.ResponseExtra, http.StatusOK, http.StatusOK},
			{workerserver.ResponseUnframed, http.StatusOK, http.StatusOK},
			{workerserver.ResponseFailed, http.StatusInternalServerError, http.StatusInternalServerError},
		} {
			is := is.New(t)
			safe := p.send(p.Daemons[0], http.MethodGet, "/safe/"+c.kind, "")
			is.Equal(safe.status, c.safe) // every worker gives this kind of response
			unsafe := p.send(p.Daemons[0], http.MethodPost, "/unsafe/"+c.kind, "a swan")
			is.Equal(unsafe.status, c.unsafe)
			is.Equal(len(p.runs(unsafe.id)), 1)
			is.Equal(safe.complete(), c.safe == http.StatusOK)
			is.Equal(unsafe.complete(), c.unsafe == http.StatusOK)
			is.True(p.send(p.Daemons[0], http.MethodGet, "/safe/after", "").complete()) // no bytes of the broken response remain on the connection
		}
	})
	t.Run("the time of the route is over", func(t *testing.T) {
		for _, c := range []struct{ method, path string }{
			{http.MethodGet, "/safe/" + workerserver.ResponseLate}, {http.MethodPost, "/unsafe/" + workerserver.ResponseLate},
		} {
			is := is.New(t)
			began := time.Now()
			a := p.send(p.Daemons[0], c.method, c.path, "")
			elapsed := time.Since(began)
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusGatewayTimeout)
			is.True(elapsed >= routeTimeout*9/10 && elapsed < routeTimeout+responseMargin)
			is.True(len(p.runs(a.id)) >= 1)
		}
	})
	t.Run("the caller leaves", func(t *testing.T) {
		is := is.New(t)
		ctx, leave := context.WithTimeout(context.Background(), routeTimeout/4)
		defer leave()
		a := p.sendWithContext(ctx, p.Daemons[0], http.MethodGet, "/safe/"+workerserver.ResponseLate, "")
		abandoned := time.Now()
		is.True(a.err != nil)
		p.eventually(responseMargin, "the worker stops", func() error {
			for _, run := range p.runs(a.id) {
				if run.AbortedAt.IsZero() {
					return errors.New("a run has not stopped")
				}
			}
			return nil
		})
		is.True(time.Since(abandoned) < responseMargin)
		is.Equal(len(p.runs(a.id)), 1)
	})
	t.Run("SIGHUP", func(t *testing.T) {
		is := is.New(t)
		p.Daemons[0].Hangup()
		for range 50 {
			is.True(p.send(p.Daemons[0], http.MethodGet, "/safe/1", "").complete())
		}
		is.True(p.Daemons[0].Running())
	})
}

// TestConfigurationsOnThePlatform checks that a new configuration comes into force on every daemon in
// time, that an invalid or older one does not, and that the current one stays in force while the
// store is unavailable.
func TestConfigurationsOnThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatformCluster(t)
	added := wire.Route{
		Name: "added", Host: platformHost, PathPrefix: "/added/", Kind: wire.KindSafe,
		TimeoutMs: 1000, Service: "studio", MaxAttempts: 2,
	}
	everywhere := func(path string, status int) {
		t.Helper()
		for _, d := range p.Daemons {
			p.eventually(applyWithin, fmt.Sprintf("%s responds to %s with status %d", d.Settings.Host, path, status), func() error {
				if a := p.send(d, http.MethodGet, path, ""); a.status != status {
					return fmt.Errorf("status %d", a.status)
				}
				return nil
			})
		}
	}
	everywhere("/added/1", http.StatusNotFound)
	p.WriteOperatorRow(wire.KeyConfig, testConfig(7, added))
	everywhere("/added/1", http.StatusOK)

	// A configuration that is invalid, truncated or older does not come into force, not even in part.
	unknown := added
	unknown.Name, unknown.PathPrefix, unknown.Service = "unknown", "/unknown/", "nobody"
	p.WriteOperatorRow(wire.KeyConfig, testConfig(9, added, unknown))
	p.WriteOperatorRow(wire.KeyConfig, []byte(`{"Version":"0000000b","Routes":[{"Na`))
	p.WriteOperatorRow(wire.KeyConfig, testConfig(5))
	time.Sleep(500 * time.Millisecond)
	everywhere("/added/1", http.StatusOK)
	everywhere("/unknown/1", http.StatusNotFound)

	// While the store is unavailable the configuration in force stays; the next one is applied later.
	p.SetPlatformFaults(platformserver.Faults{Outage: true})
	everywhere("/added/1", http.StatusOK)
	p.WriteOperatorRow(wire.KeyConfig, testConfig(12))
	p.SetPlatformFaults(platformserver.Faults{DropHistory: true})
	everywhere("/added/1", http.StatusNotFound)
	is.True(p.send(p.Daemons[2], http.MethodGet, "/safe/1", "").complete())
}
