package integration

import (
	"net/http"
	"testing"
	"time"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/integration/faultproxy"
)

// dispatchCallers is the number of callers that send unsafe requests, each one after
// the other.
const dispatchCallers = 24

// TestDispatchUnderFaultsOnThePlatform disturbs daemons while unsafe requests are on
// their way to workers, again and again. No request runs twice, and no caller is told
// that a request has not run that has.
func TestDispatchUnderFaultsOnThePlatform(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(p *onPlatform, d *cluster.Daemon)
	}{
		{"daemons beside the workers are killed", func(_ *onPlatform, d *cluster.Daemon) { d.Restart() }},
		{"daemons beside the workers are frozen", func(_ *onPlatform, d *cluster.Daemon) {
			d.Pause()
			time.Sleep(700 * time.Millisecond)
			d.Resume()
		}},
		{"connections between daemons are reset", func(p *onPlatform, _ *cluster.Daemon) {
			p.Network.SetFault(faultproxy.AnyHost, faultproxy.AnyHost, faultproxy.Fault{Reset: true})
			time.Sleep(100 * time.Millisecond)
			p.Network.ClearFaults()
		}},
		{"daemons are cut off", func(p *onPlatform, d *cluster.Daemon) {
			p.Network.Partition([]string{d.Settings.Host}, []string{faultproxy.AnyHost})
			time.Sleep(700 * time.Millisecond)
			p.Network.ClearFaults()
		}},
		{"open connections fall silent", func(p *onPlatform, d *cluster.Daemon) {
			p.Network.BlackholeOpenConnections(faultproxy.AnyHost, d.Settings.Host)
			time.Sleep(700 * time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startOnPlatform(t)
			load := p.startTraffic(dispatchCallers)
			for range 2 {
				for _, d := range p.Daemons {
					if d.Settings.Service == "desk" { // the service that is called
						time.Sleep(300 * time.Millisecond)
						c.disturb(p, d)
					}
				}
			}
			time.Sleep(time.Second)
			answers := load.end()
			time.Sleep(routeTimeout) // a request that is still on its way would run by now
			p.auditUnsafe(answers)
		})
	}
}

// promises are the statuses that say that a request has not run and never will.
var promises = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// auditUnsafe holds what callers were told of unsafe requests against what ran.
func (p *onPlatform) auditUnsafe(answers []told) {
	p.t.Helper()
	ran := make(map[string]int)
	for _, worker := range p.workers {
		for _, run := range worker.Runs() {
			ran[run.RequestID]++
		}
	}
	whole, refused, unknown := 0, 0, 0
	for _, a := range answers {
		switch times := ran[a.id]; {
		case times > 1:
			p.t.Errorf("request %s ran %d times", a.id, times)
		case a.whole() && times != 1:
			p.t.Errorf("request %s was answered and did not run", a.id)
		case a.err == nil && promises[a.status] && times > 0:
			p.t.Errorf("request %s was refused with %d and ran", a.id, a.status)
		}
		switch {
		case a.whole():
			whole++
		case a.err == nil && promises[a.status]:
			refused++
		default:
			unknown++
		}
	}
	p.t.Logf("%d answered, %d refused, %d unknown", whole, refused, unknown)
	if whole < len(answers)/2 {
		p.t.Errorf("only %d of %d requests were answered", whole, len(answers))
	}
}
