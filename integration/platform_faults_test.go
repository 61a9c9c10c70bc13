package integration

import (
	"context"
	"encoding/json"
	"fmt"
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

// rolloutWithin is the time that the operator gives a rollout.
const rolloutWithin = 14 * time.Second

// startNewVersion runs workers of a version of the desk in the place of the
// studio's.
func (p *onPlatform) startNewVersion(version string, fails bool) {
	for _, d := range p.Daemons {
		if d.Settings.Service != "studio" {
			continue
		}
		p.workers[d.Settings.Host].Stop()
		p.workers[d.Settings.Host] = d.StartWorker("n-"+d.Settings.Host, version, func(config *workerserver.Config) {
			config.Service, config.Fails = "desk", fails
		})
	}
}

// controller returns the daemon that holds the lease of the desk's move.
func (p *onPlatform) controller() (*cluster.Daemon, error) {
	row, err := p.PlatformClient().Get(context.Background(), lease.Key(rollout.Key("desk")))
	if err != nil {
		return nil, err
	}
	var held lease.Record
	if err := json.Unmarshal(row.Value, &held); err != nil {
		return nil, err
	}
	host, _, _ := strings.Cut(held.Holder, "/")
	for _, d := range p.Daemons {
		if d.Settings.Host == host {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no daemon is %q", held.Holder)
}

// awaitController waits for a step of the move and returns the daemon that holds its
// lease, or nil if the move is over already.
func (p *onPlatform) awaitController() (held *cluster.Daemon) {
	p.t.Helper()
	p.eventually(rolloutWithin, "a controller has written a step", func() error {
		row, err := p.PlatformClient().Get(context.Background(), rollout.Key("desk"))
		if err != nil {
			return err
		}
		move, err := rollout.Decode(row.Value)
		if err != nil || move.Verdict != ticket.Running {
			return err
		}
		held, err = p.controller()
		return err
	})
	return held
}

// TestRolloutsOnThePlatform moves the desk to a version while its controller is
// disturbed: the verdict is right and in time, and a bad version gets little.
func TestRolloutsOnThePlatform(t *testing.T) {
	disturbances := []struct {
		name string
		act  func(p *onPlatform, held *cluster.Daemon)
		// spoils is the number of requests that the disturbance itself may fail:
		// those of callers at a daemon that is killed or frozen.
		spoils int
	}{
		{"calm", nil, 0},
		{"controller killed", func(_ *onPlatform, held *cluster.Daemon) { held.Restart() }, 2 * rolloutCallers},
		{"controller frozen past its lease", func(_ *onPlatform, held *cluster.Daemon) {
			held.Pause()
			time.Sleep(5 * time.Second)
			held.Resume()
		}, 8 * rolloutCallers},
		{"controller cut off from the store", func(p *onPlatform, held *cluster.Daemon) {
			p.SetPlatformFaults(platformserver.Faults{Silent: true, Only: []string{held.Settings.Peer.Bind}})
		}, 0},
	}
	for _, d := range disturbances {
		for _, version := range []struct {
			name, state string
			fails       bool
		}{
			{"good", wire.RolloutCompleted, false},
			{"bad", wire.RolloutRolledBack, true},
		} {
			t.Run(version.name+", "+d.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				p := startOnPlatform(t)
				load := p.startTraffic(rolloutCallers)
				began := time.Now()
				p.WriteOperatorRow(wire.PrefixRollout+"desk", wire.Rollout{Service: "desk", Target: "v2", DurationS: rolloutWithin.Seconds()})
				p.startNewVersion("v2", version.fails) // the order comes first, so that no call meets it before the move
				if held := p.awaitController(); held != nil && d.act != nil {
					d.act(p, held)
				}
				p.eventually(rolloutWithin-time.Since(began), "the rollout is "+version.state, func() error {
					status, err := p.RolloutState("desk")
					if err == nil && (status.State != version.state || status.Target != "v2") {
						return fmt.Errorf("state %q of %q", status.State, status.Target)
					}
					return err
				})
				p.checkRollout(is, load.end(), version.fails, d.spoils)
			})
		}
	}
}

// A bad version gets no request that is sent later than rollbackWithin after its
// badAnswers-th bad answer.
const (
	badAnswers     = 50
	rollbackWithin = 5 * time.Second
)

// rolloutCallers is the number of callers during a rollout.
const rolloutCallers = 24

// checkRollout checks what callers got. Spoils is the number of requests that may
// fail for another reason than a bad version.
func (p *onPlatform) checkRollout(is *is.I, answers []told, bad bool, spoils int) {
	p.t.Helper()
	slices.SortFunc(answers, func(a, b told) int { return a.sent.Compare(b.sent) })
	exposed, failed := 0, 0
	var shown, last time.Time // of requests that met the new version
	for _, a := range answers {
		if strings.HasPrefix(a.header.Get(wire.HeaderSignature), "signed-n-") {
			exposed++
			last = a.sent
			if exposed == badAnswers {
				shown = a.sent
			}
		} else if !a.whole() {
			failed++
		}
	}
	p.t.Logf("%d of %d requests met the new version, %d failed without it", exposed, len(answers), failed)
	if bad {
		is.True(exposed*10 <= len(answers)+500) // a tenth, and 50
		if exposed > badAnswers {
			p.t.Logf("the last of them %s after number %d", last.Sub(shown), badAnswers)
			is.True(last.Sub(shown) <= rollbackWithin)
		}
		return
	}
	is.True(exposed > 0)
	is.True(failed <= spoils)
	if spoils == 0 {
		p.checkAnswers(answers)
		p.workers["host-a1"].Stop() // old workers end at once
		for range 50 {
			is.True(p.call(p.Daemons[0], "GET", "/safe/1", "").whole())
		}
	}
}

// recoverWithin is the time after which daemons that all died serve as before.
const recoverWithin = 15 * time.Second

// TestRecoveryOnThePlatform kills all daemons at once right after a configuration
// was confirmed. Each serves by that configuration afterwards.
func TestRecoveryOnThePlatform(t *testing.T) {
	for _, c := range []struct {
		name   string
		outage time.Duration // of the store, from the kill on
	}{
		{"the store answers", 0},
		{"the store is out", 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startOnPlatform(t)
			p.WriteOperatorRow(wire.KeyConfig, config(7, addedRoute))
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
					a := p.call(d, "GET", "/added/1", "")
					if a.status == 404 {
						t.Fatal("a daemon without a configuration must not deny a route")
					}
					if !a.whole() {
						return fmt.Errorf("status %d, %w", a.status, a.err)
					}
					return nil
				})
			}
		})
	}
}
