package integration

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/platform/wire"
)

// traffic sends requests to all daemons until finish is called, and collects the results.
type traffic struct {
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	results []callerResult
}

func (p *platformCluster) startTraffic(callers int) *traffic {
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
					continue // callers send no requests to a daemon that is not ready
				}
				a := p.send(d, http.MethodPost, "/unsafe/1", "a swan")
				load.mu.Lock()
				load.results = append(load.results, a)
				load.mu.Unlock()
			}
		})
	}
	return load
}

// finish stops the traffic and returns the results of all requests.
func (l *traffic) finish() []callerResult {
	close(l.stop)
	l.group.Wait()
	return l.results
}

// checkAllComplete fails the test unless every request got a complete success and there was at least one.
func (p *platformCluster) checkAllComplete(results []callerResult) {
	p.t.Helper()
	for _, a := range results {
		if !a.complete() {
			p.t.Fatalf("request %s: status %d, %v, %.200s", a.id, a.status, a.err, a.body)
		}
	}
	if len(results) == 0 {
		p.t.Fatal("no request was answered")
	}
}

// TestLeavingWorkersOnThePlatform checks that a draining worker and a deregistered one get no requests
// after drainWithin, also when a daemon restarts, and that no more requests fail than were in flight
// at the daemon that was killed.
func TestLeavingWorkersOnThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatformCluster(t)
	load := p.startTraffic(12)
	time.Sleep(500 * time.Millisecond)
	draining, deregistered := p.workers["host-a1"], p.workers["host-b1"]
	is.NoErr(draining.Drain())
	is.NoErr(deregistered.Deregister())
	time.Sleep(time.Second)
	p.Daemons[0].Restart() // on the host of the draining worker: it must not send it requests again
	p.Daemons[0].WaitReady()
	time.Sleep(drainWithin + time.Second)
	answers := load.finish()
	is.Equal(len(draining.ExecutionsAfterLeaving(drainWithin)), 0)
	is.Equal(len(deregistered.ExecutionsAfterLeaving(drainWithin)), 0)
	failed := 0
	for _, a := range answers {
		if !a.complete() {
			failed++ // in flight at the daemon that was killed
		}
	}
	is.True(failed <= 12) // one per caller
}

// TestPlannedStopsOnThePlatform stops daemons one after the other. It checks that no request fails, and
// that the worker on the host of a stopping daemon gets requests until callers have detected the
// stop.
func TestPlannedStopsOnThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatformCluster(t)
	load := p.startTraffic(12)
	for _, d := range p.Daemons[:4] {
		time.Sleep(300 * time.Millisecond)
		asked := time.Now()
		d.Terminate()
		is.NoErr(d.Wait(t))
		if d.Settings.Service == "desk" { // the service that gets the requests
			is.True(p.workers[d.Settings.Host].CountExecutionsBetween(asked.Add(300*time.Millisecond), asked.Add(800*time.Millisecond)) > 0)
		}
		d.Launch()
		d.WaitReady()
	}
	p.checkAllComplete(load.finish())
}

// TestStopsBesideChangesOfConfiguration stops two daemons of different zones at once, each asked twice,
// while a configuration comes into force. No request that was sent to a ready daemon may fail.
func TestStopsBesideChangesOfConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatformCluster(t)
	load := p.startTraffic(12)
	version := uint64(20)
	for _, pair := range [][2]int{{0, 3}, {1, 2}, {4, 1}} {
		time.Sleep(300 * time.Millisecond)
		version++
		p.WriteOperatorRow(wire.KeyConfig, testConfig(version, addedRoute))
		for _, i := range pair {
			p.Daemons[i].Terminate()
		}
		time.Sleep(50 * time.Millisecond)
		for _, i := range pair {
			p.Daemons[i].Terminate()
		}
		version++
		p.WriteOperatorRow(wire.KeyConfig, testConfig(version))
		for _, i := range pair {
			is.NoErr(p.Daemons[i].Wait(t))
			p.Daemons[i].Launch()
			p.Daemons[i].WaitReady()
		}
	}
	p.checkAllComplete(load.finish())
}
