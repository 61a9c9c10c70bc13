package integration

import (
	"net/http"
	"testing"
	"time"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/integration/faultproxy"
	"sassafrasnotch.example/mesh/settings"
)

// dispatchCallers is the number of callers; each sends one unsafe request after the other.
const dispatchCallers = 24

// TestDispatchUnderFaultsOnThePlatform injects faults on daemons repeatedly while unsafe requests are in
// flight. It checks that no request runs twice, and that no caller gets a response which states that
// a request was not executed if it was.
func TestDispatchUnderFaultsOnThePlatform(t *testing.T) {
	ask := []func(*settings.Settings){func(s *settings.Settings) { s.Entry.ConfirmDispatch = true }}
	kill := func(_ *platformCluster, d *cluster.Daemon) { d.Restart() }
	reset := func(p *platformCluster, _ *cluster.Daemon) {
		p.Network.SetFault(faultproxy.AnyHost, faultproxy.AnyHost, faultproxy.Fault{Reset: true})
		time.Sleep(100 * time.Millisecond)
		p.Network.ClearFaults()
	}
	drop := func(p *platformCluster, d *cluster.Daemon) {
		p.Network.BlackholeOpenConnections(faultproxy.AnyHost, d.Settings.Host)
		time.Sleep(700 * time.Millisecond)
	}
	for _, c := range []struct {
		name   string
		adjust []func(*settings.Settings)
		inject func(p *platformCluster, d *cluster.Daemon)
	}{
		{"daemons on the workers' hosts are killed", nil, kill},
		{"daemons on the workers' hosts are paused", nil, func(_ *platformCluster, d *cluster.Daemon) {
			d.Pause()
			time.Sleep(700 * time.Millisecond)
			d.Resume()
		}},
		{"connections between daemons are reset", nil, reset},
		{"daemons are partitioned", nil, func(p *platformCluster, d *cluster.Daemon) {
			p.Network.Partition([]string{d.Settings.Host}, []string{faultproxy.AnyHost})
			time.Sleep(700 * time.Millisecond)
			p.Network.ClearFaults()
		}},
		{"traffic on open connections is dropped", nil, drop},
		{"daemons that ask are killed", ask, kill},
		{"connections between daemons that ask are reset", ask, reset},
		{"traffic on open connections of daemons that ask is dropped", ask, drop},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startPlatformCluster(t, c.adjust...)
			load := p.startTraffic(dispatchCallers)
			for range 2 {
				for _, d := range p.Daemons {
					if d.Settings.Service == "desk" { // the service that gets the requests
						time.Sleep(300 * time.Millisecond)
						c.inject(p, d)
					}
				}
			}
			time.Sleep(time.Second)
			results := load.finish()
			time.Sleep(routeTimeout) // any request that is still in flight runs by the end of this time
			p.auditUnsafe(results)
		})
	}
}

// notExecutedStatuses are the statuses that state that a request was not executed and never will be.
var notExecutedStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// auditUnsafe compares the responses to unsafe requests with the workers' runs. It also checks that at
// least half of the requests got a complete success.
func (p *platformCluster) auditUnsafe(results []callerResult) {
	p.t.Helper()
	ran := make(map[string]int)
	for _, worker := range p.workers {
		for _, run := range worker.ExecutionRecords() {
			ran[run.RequestID]++
		}
	}
	succeeded, refused, unknown, unrun := 0, 0, 0, 0
	for _, a := range results {
		switch times := ran[a.id]; {
		case times > 1:
			p.t.Errorf("request %s ran %d times", a.id, times)
		case a.complete() && times != 1:
			p.t.Errorf("request %s got a success but did not run", a.id)
		case a.err == nil && notExecutedStatuses[a.status] && times > 0:
			p.t.Errorf("request %s was refused with status %d but ran", a.id, a.status)
		}
		switch {
		case a.complete():
			succeeded++
		case a.err == nil && notExecutedStatuses[a.status]:
			refused++
		default:
			unknown++
			if a.err == nil && ran[a.id] == 0 {
				unrun++
			}
		}
	}
	p.t.Logf("%d answered, %d refused, %d unknown, of which %d had a response and reached no worker", succeeded, refused, unknown, unrun)
	if succeeded < len(results)/2 {
		p.t.Errorf("only %d of %d requests got a success, want at least half", succeeded, len(results))
	}
}
