package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/platform/wire"
)

// routeNamed returns a route that later versions of the test configuration have.
func routeNamed(name string) wire.Route {
	return wire.Route{
		Name: name, Host: platformHost, PathPrefix: "/" + name + "/", Kind: wire.KindSafe, TimeoutMs: routeTimeout.Milliseconds(),
		TargetLatencyMs: 200, Priority: 1, Service: "desk", MaxAttempts: 3,
	}
}

// awaitRoute waits until all daemons serve a route, at most applyWithin.
func (p *platformCluster) awaitRoute(name string) {
	p.t.Helper()
	for _, d := range p.Daemons {
		p.eventually(applyWithin, d.Settings.Host+" serves "+name, func() error {
			if a := p.send(d, http.MethodGet, "/"+name+"/x", ""); !a.complete() {
				return fmt.Errorf("status %d, %w", a.status, a.err)
			}
			return nil
		})
	}
}

// restore makes the store lose what was written since a time, as after a short outage. The operator's
// rows are written again.
func (p *platformCluster) restore(since time.Time) {
	p.SetPlatformFaults(platformserver.Faults{Outage: true})
	time.Sleep(time.Second)
	p.SetPlatformFaults(platformserver.Faults{Restore: revision.Duration(time.Since(since))})
}

func TestConfigurationAfterARestoreOfTheStoreIsInForceInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatformCluster(t)
	copied := time.Now()
	const lost = 5 // versions of the store that it gives out again
	for number := range uint64(lost) {
		p.WriteOperatorRow(wire.KeyConfig, testConfig(10+number, routeNamed("lost")))
	}
	p.awaitRoute("lost")
	p.restore(copied)
	for range 20 { // the configuration does not go back while the store has an older version of its row
		for _, d := range p.Daemons {
			is.True(p.send(d, http.MethodGet, "/lost/x", "").status != http.StatusNotFound)
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.WriteOperatorRow(wire.KeyConfig, testConfig(10+lost, routeNamed("lost"), routeNamed("next")))
	p.awaitRoute("next")
}

func TestVerdictOfARolloutOutlivesARestoreOfTheStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatformCluster(t)
	load := p.startTraffic(rolloutCallers)
	copied := time.Now()
	p.WriteOperatorRow(wire.PrefixRollout+"desk", wire.Rollout{Service: "desk", Target: "v2", DurationS: rolloutWithin.Seconds()})
	p.startNewVersion("v2", true)
	rolledBack := func() error {
		status, err := p.RolloutState("desk")
		if err == nil && status.State != wire.RolloutRolledBack {
			err = errors.New("the state is " + status.State)
		}
		return err
	}
	p.eventually(rolloutWithin, "the rollout is rolled back", rolledBack)
	load.finish()
	p.restore(copied)
	p.eventually(rolloutWithin/2, "the verdict is reported again", rolledBack)
	row, err := p.PlatformClient().Get(context.Background(), rollout.Key("desk"))
	is.NoErr(err)
	state, err := rollout.Decode(row.Value)
	is.NoErr(err)
	is.Equal(state.Verdict, ticket.RolledBack)
	is.Equal(row.Version.Era(), uint64(2))
	is.True(state.Order != 0) // the order has a new position; the ticket is that of the first one
	data, err := json.Marshal(state)
	is.NoErr(err)
	t.Logf("%s at %s", data, row.Version)
}
