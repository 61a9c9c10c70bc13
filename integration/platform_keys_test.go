package integration

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/mesh/standin/workerserver"
	"sassafrasnotch.example/platform/wire"
)

// keysValidWithin is configuration.keysValidWithin of TestKeysOnThePlatform.
const keysValidWithin = 3 * time.Second

// tenantConfig returns a configuration with the tenant north, which has one key, and the public route added.
func tenantConfig(version uint64, key string) wire.Config {
	open := addedRoute
	open.Public = true
	config := testConfig(version, open)
	config.Tenants = []wire.Tenant{{Name: "north", ApiKeys: []string{key}}}
	return config
}

// sendKey sends a request with an API key, and with a forged tenant in several spellings.
func (p *platformCluster) sendKey(d *cluster.Daemon, path, key string) callerResult {
	a := callerResult{id: fmt.Sprintf("%016x", p.ids.Add(1)), sent: time.Now()}
	request, err := http.NewRequest(http.MethodGet, "http://"+d.Settings.Entry.Listen+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	request.Host = platformHost
	request.Header.Set(wire.HeaderRequestID, a.id)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	request.Header[wire.HeaderTenant] = []string{"forged", "forged"}
	request.Header[strings.ToLower(wire.HeaderTenant)] = []string{"forged"}
	return p.do(request, a)
}

// awaitStatus waits until each daemon responds to the path and key with a status.
func (p *platformCluster) awaitStatus(within time.Duration, path, key string, status int) {
	p.t.Helper()
	for _, d := range p.Daemons {
		p.eventually(within, fmt.Sprintf("%s responds to %s with %d", d.Settings.Host, path, status), func() error {
			if a := p.sendKey(d, path, key); a.err != nil || a.status != status {
				return fmt.Errorf("status %d, %w", a.status, a.err)
			}
			return nil
		})
	}
}

// TestKeysOnThePlatform takes keys away: while the store is available, and while it is not. A key must be of no
// use once its removal is in force, and with strict keys also once the store has not confirmed it in time, at
// daemons that start meanwhile too; no key may reach a worker or a log.
func TestKeysOnThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatformCluster(t, func(s *settings.Settings) {
		s.Configuration.StrictKeys = true
		s.Configuration.KeysValidWithin = revision.Duration(keysValidWithin)
	})
	const first, second, third = "first-sesame", "second-sesame", "third-sesame"
	p.WriteOperatorRow(wire.KeyConfig, tenantConfig(7, first))
	p.awaitStatus(applyWithin, "/safe/1", "", http.StatusUnauthorized)
	p.awaitStatus(applyWithin, "/safe/1", first, http.StatusOK)

	p.WriteOperatorRow(wire.KeyConfig, tenantConfig(8, second))
	p.awaitStatus(applyWithin, "/safe/1", second, http.StatusOK)
	for _, d := range p.Daemons {
		a := p.sendKey(d, "/safe/1", first)
		is.Equal(a.status, http.StatusUnauthorized)
		is.Equal(a.header.Get("WWW-Authenticate"), "Bearer")
		is.Equal(len(p.runs(a.id)), 0)
		a = p.sendKey(d, "/safe/1", second)
		ran := p.runs(a.id)
		is.Equal(len(ran), 1)
		is.Equal(ran[0].Tenant, []string{"north"})
		is.Equal(len(ran[0].Authorization), 0)
		a = p.sendKey(d, "/added/1", first) // a public route, and a key that is unknown now
		ran = p.runs(a.id)
		is.Equal(len(ran), 1)
		is.Equal(len(ran[0].Tenant)+len(ran[0].Authorization), 0)
	}

	p.SetPlatformFaults(platformserver.Faults{Outage: true})
	p.awaitStatus(keysValidWithin+applyWithin, "/safe/1", second, http.StatusServiceUnavailable)
	p.WriteOperatorRow(wire.KeyConfig, tenantConfig(9, third)) // no request for changes waits at the store any more
	restarted := p.Daemons[0]
	restarted.Kill()
	restarted.Launch()
	p.eventually(restartWithin, "the restarted daemon has a configuration", func() error {
		if a := p.sendKey(restarted, "/added/1", ""); a.status != http.StatusOK {
			return fmt.Errorf("status %d, %w", a.status, a.err)
		}
		return nil
	})
	for _, d := range p.Daemons {
		for _, key := range []string{first, second, third, ""} {
			a := p.sendKey(d, "/safe/1", key)
			is.Equal(a.status, http.StatusServiceUnavailable)
			is.True(a.header.Get("Retry-After") != "")
			is.Equal(len(p.runs(a.id)), 0)
		}
		is.Equal(p.sendKey(d, "/added/1", second).status, http.StatusOK)
	}

	p.SetPlatformFaults(platformserver.Faults{})
	p.awaitStatus(restartWithin, "/safe/1", third, http.StatusOK)
	p.awaitStatus(0, "/safe/1", second, http.StatusUnauthorized)
	for _, d := range p.Daemons {
		is.True(!strings.Contains(d.Log(), "sesame"))
	}
	for _, worker := range p.workers {
		is.True(!slices.ContainsFunc(worker.ExecutionRecords(), func(run workerserver.ExecutionRecord) bool { return len(run.Authorization) > 0 }))
	}
}
