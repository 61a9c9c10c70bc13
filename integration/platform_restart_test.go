package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/platform/wire"
)

// addedRoute is a route that a later configuration adds.
var addedRoute = wire.Route{
	Name: "added", Host: platformHost, PathPrefix: "/added/", Kind: wire.KindSafe,
	TimeoutMs: routeTimeout.Milliseconds(), Service: "studio", MaxAttempts: 2,
}

// restartWithin is the time within which a restarted daemon serves requests while other daemons run,
// whether the store is available to it or not.
const restartWithin = 4 * time.Second

// TestRestartWithoutTheStore restarts daemons to which the store is unavailable. It checks that they get
// the latest configuration from the running daemons, and never serve by an older one.
func TestRestartWithoutTheStore(t *testing.T) {
	ips := func(daemons []*cluster.Daemon) (ips []string) {
		for _, d := range daemons {
			ips = append(ips, d.Settings.Peer.Bind)
		}
		return ips
	}
	for _, c := range []struct {
		name      string
		restarted func(all []*cluster.Daemon) []*cluster.Daemon
		faults    func(restarted []*cluster.Daemon) platformserver.Faults
	}{
		{
			"one daemon, the store is unavailable",
			func(all []*cluster.Daemon) []*cluster.Daemon { return all[:1] },
			func([]*cluster.Daemon) platformserver.Faults { return platformserver.Faults{Outage: true} },
		},
		{
			"one daemon, to which alone the store does not respond",
			func(all []*cluster.Daemon) []*cluster.Daemon { return all[3:4] },
			func(restarted []*cluster.Daemon) platformserver.Faults {
				return platformserver.Faults{Unresponsive: true, OnlyClients: ips(restarted)}
			},
		},
		{
			"all daemons but one, the store is unavailable",
			func(all []*cluster.Daemon) []*cluster.Daemon { return all[1:] },
			func([]*cluster.Daemon) platformserver.Faults { return platformserver.Faults{Outage: true} },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startPlatformCluster(t)
			p.WriteOperatorRow(wire.KeyConfig, testConfig(7, addedRoute))
			for _, d := range p.Daemons {
				p.eventually(applyWithin, d.Settings.Host+" serves the new route", func() error {
					if a := p.send(d, "GET", "/added/1", ""); !a.complete() {
						return fmt.Errorf("status %d, %w", a.status, a.err)
					}
					return nil
				})
			}
			restarted := c.restarted(p.Daemons)
			p.SetPlatformFaults(c.faults(restarted))
			for _, d := range restarted {
				d.Kill()
			}
			for _, d := range restarted {
				d.Launch()
			}
			began := time.Now()
			for _, d := range restarted {
				p.eventually(restartWithin-time.Since(began), d.Settings.Host+" serves the new route", func() error {
					a := p.send(d, "GET", "/added/2", "")
					if a.status == http.StatusNotFound {
						t.Fatal("status 404: a daemon without the latest configuration must not report a missing route")
					}
					if !a.complete() {
						return fmt.Errorf("status %d, %w", a.status, a.err)
					}
					return nil
				})
				p.eventually(restartWithin-time.Since(began), d.Settings.Host+" reports ready", func() error { return p.ready(d) })
			}
		})
	}
}
