package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/lease"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/mesh/standin/workerserver"
	"sassafrasnotch.example/platform/wire"
)

// rolloutWithin is the duration that the operator sets for a rollout.
const rolloutWithin = 14 * time.Second

// startNewVersion replaces the workers of the service studio by workers of a version of the service desk.
func (p *platformCluster) startNewVersion(version string, fails bool) {
	for _, d := range p.Daemons {
		if d.Settings.Service != "studio" {
			continue
		}
		p.workers[d.Settings.Host].Stop()
		p.workers[d.Settings.Host] = d.StartWorker("n-"+d.Settings.Host, version, func(config *workerserver.Config) {
			config.Service, config.AlwaysFail = "desk", fails
		})
	}
}

// controller returns the daemon that holds the lease of the rollout of the service desk.
func (p *platformCluster) controller() (*cluster.Daemon, error) {
	row, err := p.PlatformClient().Get(context.Background(), lease.Key(rollout.Key("desk")))
	if err != nil {
		return nil, err
	}
	var record lease.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return nil, err
	}
	host, _, _ := strings.Cut(record.Holder, "/")
	for _, d := range p.Daemons {
		if d.Settings.Host == host {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no daemon has the name of the lease holder %q", record.Holder)
}

// awaitController waits for the first step of the rollout and returns the daemon that holds its lease,
// or nil if the rollout has its verdict already.
func (p *platformCluster) awaitController() (holder *cluster.Daemon) {
	p.t.Helper()
	p.eventually(rolloutWithin, "a controller has written a step", func() error {
		row, err := p.PlatformClient().Get(context.Background(), rollout.Key("desk"))
		if err != nil {
			return err
		}
		current, err := rollout.Decode(row.Value)
		if err != nil || current.Verdict != ticket.Running {
			return err
		}
		holder, err = p.controller()
		return err
	})
	return holder
}

// TestRolloutsOnThePlatform rolls the service desk out to a good or a bad version while faults are
// injected on the controller. It checks that the verdict is correct and in time, and that a bad
// version gets few requests.
func TestRolloutsOnThePlatform(t *testing.T) {
	faults := []struct {
		name   string
		inject func(p *platformCluster, holder *cluster.Daemon)
		// allowedFailures is the number of requests that may fail because of the fault itself: those
		// of callers at a daemon that is killed or paused.
		allowedFailures int
	}{
		{"no fault", nil, 0},
		{"controller killed", func(_ *platformCluster, holder *cluster.Daemon) { holder.Restart() }, 2 * rolloutCallers},
		{"controller paused past its lease", func(_ *platformCluster, holder *cluster.Daemon) {
			holder.Pause()
			time.Sleep(5 * time.Second)
			holder.Resume()
		}, 8 * rolloutCallers},
		{"controller can't reach the store", func(p *platformCluster, holder *cluster.Daemon) {
			p.SetPlatformFaults(platformserver.Faults{Unresponsive: true, OnlyClients: []string{holder.Settings.Peer.Bind}})
		}, 0},
	}
	for _, f := range faults {
		for _, version := range []struct {
			name, state string
			fails       bool
		}{
			{"good", wire.RolloutCompleted, false},
			{"bad", wire.RolloutRolledBack, true},
		} {
			t.Run(version.name+", "+f.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				p := startPlatformCluster(t)
				load := p.startTraffic(rolloutCallers)
				began := time.Now()
				p.WriteOperatorRow(wire.PrefixRollout+"desk", wire.Rollout{Service: "desk", Target: "v2", DurationS: rolloutWithin.Seconds()})
				p.startNewVersion("v2", version.fails) // after the order, so that no request reaches the new version before the rollout
				if holder := p.awaitController(); holder != nil && f.inject != nil {
					f.inject(p, holder)
				}
				p.eventually(rolloutWithin-time.Since(began), "the rollout is "+version.state, func() error {
					status, err := p.RolloutState("desk")
					if err == nil && (status.State != version.state || status.Target != "v2") {
						return fmt.Errorf("state %q of %q", status.State, status.Target)
					}
					return err
				})
				p.checkRollout(is, load.finish(), version.fails, f.allowedFailures)
			})
		}
	}
}

// A bad version gets no request sent later than rollbackWithin after the request with its bad response
// number badResponses.
const (
	badResponses   = 50
	rollbackWithin = 5 * time.Second
)

// rolloutCallers is the number of callers during a rollout.
const rolloutCallers = 24

// checkRollout checks the results of requests during a rollout. The argument allowedFailures is the
// number of requests that may fail for another reason than a bad version.
func (p *platformCluster) checkRollout(is *is.I, results []callerResult, bad bool, allowedFailures int) {
	p.t.Helper()
	slices.SortFunc(results, func(a, b callerResult) int { return a.sent.Compare(b.sent) })
	exposed, failed := 0, 0
	var shown, last time.Time // of requests that the new version answered
	for _, a := range results {
		if strings.HasPrefix(a.header.Get(wire.HeaderSignature), "signed-n-") {
			exposed++
			last = a.sent
			if exposed == badResponses {
				shown = a.sent
			}
		} else if !a.complete() {
			failed++
		}
	}
	p.t.Logf("the new version answered %d of %d requests, %d others failed", exposed, len(results), failed)
	if bad {
		is.True(exposed*10 <= len(results)+500) // a tenth of all requests, and 50
		if exposed > badResponses {
			p.t.Logf("the last of them was sent %s after number %d", last.Sub(shown), badResponses)
			is.True(last.Sub(shown) <= rollbackWithin)
		}
		return
	}
	is.True(exposed > 0)
	is.True(failed <= allowedFailures)
	if allowedFailures == 0 {
		p.checkAllComplete(results)
		p.workers["host-a1"].Stop() // old workers may stop at once
		for range 50 {
			is.True(p.send(p.Daemons[0], "GET", "/safe/1", "").complete())
		}
	}
}

// recoverWithin is the time within which daemons serve requests as before after all were killed.
const recoverWithin = 15 * time.Second

// TestRecoveryOnThePlatform kills all daemons at once right after the write of a configuration was
// confirmed. It checks that each daemon serves by that configuration afterwards.
func TestRecoveryOnThePlatform(t *testing.T) {
	for _, c := range []struct {
		name   string
		outage time.Duration // of the store, from the kill onwards
	}{
		{"the store is available", 0},
		{"the store is unavailable", 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startPlatformCluster(t)
			p.WriteOperatorRow(wire.KeyConfig, testConfig(7, addedRoute))
			p.SetPlatformFaults(platformserver.Faults{Outage: c.outage > 0})
			for _, d := range p.Daemons {
				d.Kill()
			}
			for _, d := range p.Daemons {
				d.Launch()
			}
			began := time.Now()
			time.Sleep(c.outage)
			p.SetPlatformFaults(platformserver.Faults{})
			for _, d := range p.Daemons {
				p.eventually(recoverWithin-time.Since(began), d.Settings.Host+" serves the new route", func() error {
					a := p.send(d, "GET", "/added/1", "")
					if a.status == 404 {
						t.Fatal("status 404: a daemon without the latest configuration must not report a missing route")
					}
					if !a.complete() {
						return fmt.Errorf("status %d, %w", a.status, a.err)
					}
					return nil
				})
			}
		})
	}
}

// TestOrdersAvoidAHostThatStoppedWhileIdle pauses a host to which every other daemon has idle
// connections, as a loss of power would leave them, and sends orders that must not run twice. None may
// be lost to the host: an order is sent to it only after it has answered.
func TestOrdersAvoidAHostThatStoppedWhileIdle(t *testing.T) {
	t.Parallel()
	const orders = 20 // for each daemon
	const idle = 800 * time.Millisecond
	p := startPlatformCluster(t)
	paused := p.Daemons[2] // host-b1, of the service that gets the requests
	others := slices.DeleteFunc(slices.Clone(p.Daemons), func(d *cluster.Daemon) bool { return d == paused })
	sendAll := func() (results []callerResult) {
		for range orders {
			for _, d := range others {
				results = append(results, p.send(d, http.MethodPost, "/unsafe/1", "a swan"))
			}
		}
		return results
	}
	p.checkAllComplete(sendAll())
	time.Sleep(idle)
	paused.Pause()
	defer paused.Resume()
	p.checkAllComplete(sendAll())
}
