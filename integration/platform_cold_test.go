package integration

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/workerserver"
	"sassafrasnotch.example/platform/wire"
)

const (
	coldPerS  = 10
	coldBound = coldPerS*3/2 + 8 // in any second; well above that a cold worker crashes
	// coldNews is the time until a daemon has heard from its worker that it is cold: two heartbeats, and then the
	// second before must have passed.
	coldNews = 400*time.Millisecond + time.Second
)

// coldLoad sends requests for the service desk to all daemons until it is stopped.
func (p *platformCluster) coldLoad() (stop func()) {
	done, callers := make(chan struct{}), new(sync.WaitGroup)
	for _, d := range p.Daemons {
		for range 3 {
			callers.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(4 * time.Millisecond):
						p.send(d, http.MethodGet, "/safe/x", "")
					}
				}
			})
		}
	}
	return func() { close(done); callers.Wait() }
}

// Guards against a cold worker that gets more requests than it survives: when it turns cold under load, when the
// daemon beside it is killed meanwhile, when the worker is replaced, and when its zone comes back from an evacuation.
func TestColdWorkersSurviveLoad(t *testing.T) {
	for _, c := range []struct {
		name      string
		fromStart bool // the worker is cold from its start
		play      func(p *platformCluster, d *cluster.Daemon, w *workerserver.Worker) *workerserver.Worker
	}{
		{"it turns cold under load", false, func(_ *platformCluster, _ *cluster.Daemon, w *workerserver.Worker) *workerserver.Worker {
			w.TurnCold(time.Minute)
			return w
		}},
		{"it turns cold under load and its heartbeats come late", false, func(_ *platformCluster, d *cluster.Daemon, w *workerserver.Worker) *workerserver.Worker {
			w.Stop()
			slow := d.StartWorker("i-slow", "v1", func(config *workerserver.Config) { config.HeartbeatInterval = 5 * time.Second })
			time.Sleep(2 * time.Second)
			slow.TurnCold(time.Minute)
			return slow
		}},
		{"its daemon is killed while it is cold", false, func(_ *platformCluster, d *cluster.Daemon, w *workerserver.Worker) *workerserver.Worker {
			w.TurnCold(time.Minute)
			time.Sleep(coldNews)
			d.Restart()
			return w
		}},
		{"it crashes and comes back cold", true, func(_ *platformCluster, d *cluster.Daemon, w *workerserver.Worker) *workerserver.Worker {
			w.Stop()
			return d.StartWorker("i-next", "v1", func(config *workerserver.Config) { config.ColdDuration = time.Minute })
		}},
		{"its zone comes back from an evacuation", false, func(p *platformCluster, _ *cluster.Daemon, w *workerserver.Worker) *workerserver.Worker {
			p.WriteOperatorRow(wire.PrefixEvacuate+"zone-a", struct{}{})
			time.Sleep(evacuationWithin)
			w.TurnCold(time.Minute)
			p.RemoveOperatorRow(wire.PrefixEvacuate + "zone-a")
			return w
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startPlatformCluster(t)
			config := testConfig(4)
			for i := range config.Services {
				config.Services[i].ColdPerS, config.Services[i].ColdStartS = coldPerS, 60
			}
			p.WriteOperatorRow(wire.KeyConfig, config)
			time.Sleep(applyWithin)
			stop := p.coldLoad()
			defer stop()
			daemon := p.Daemons[0]
			worker := p.workers[daemon.Settings.Host]
			began := time.Now()
			time.Sleep(time.Second)
			warm := worker.MostExecutionsInASecond(began, time.Now())
			worker = c.play(p, daemon, worker)
			turned := time.Now()
			time.Sleep(coldNews)
			from := turned.Add(coldNews)
			if c.fromStart {
				from = turned
			}
			time.Sleep(2500 * time.Millisecond)
			most := worker.MostExecutionsInASecond(from, time.Now())
			t.Logf("at most %d requests in a second while warm, %d while cold", warm, most)
			if warm <= coldBound {
				t.Errorf("%d requests in a second are no load", warm)
			}
			if most > coldBound*3/4 || most < coldPerS/2 {
				t.Errorf("%d requests in a second while cold; %d are tolerated, and a quarter is to be left", most, coldBound)
			}
		})
	}
}
