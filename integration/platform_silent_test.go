package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/workerserver"
)

// TestSilentTargetsOnThePlatform sends more requests than workers can take that never respond to one that they
// can't queue, by callers that leave long before it has run, while daemons and a worker restart. It checks
// that no worker gets a request that it can't queue, and that ordinary requests are served afterwards.
func TestSilentTargetsOnThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatformCluster(t)
	var silent []*workerserver.Worker
	start := func(d *cluster.Daemon, generation int) {
		host := d.Settings.Host
		p.workers[host].Stop()
		p.workers[host] = d.StartWorker(fmt.Sprint("i-", host, "-", generation), "v1", func(c *workerserver.Config) {
			c.SilentWhenFull, c.Slots, c.QueueLimit, c.WorkDuration = true, 6, 24, 300*time.Millisecond
		})
		silent = append(silent, p.workers[host])
	}
	var desks []*cluster.Daemon
	for _, d := range p.Daemons {
		if d.Settings.Service == "desk" {
			desks = append(desks, d)
			start(d, 1)
		}
	}
	const patience, pause, callers = 50 * time.Millisecond, 20 * time.Millisecond, 32
	for _, d := range desks {
		p.eventually(2*time.Second, "the worker is announced", func() error {
			if a := p.send(d, http.MethodGet, "/safe/1", ""); !a.complete() {
				return fmt.Errorf("status %d, %w", a.status, a.err)
			}
			return nil
		})
	}
	stop := make(chan struct{})
	var sent atomic.Int64
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				ctx, leave := context.WithTimeout(context.Background(), patience)
				p.sendWithContext(ctx, p.Daemons[n%len(p.Daemons)], http.MethodGet, "/safe/1", "")
				leave()
				sent.Add(1)
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(time.Second)
	desks[0].Kill()
	desks[0].Launch()
	time.Sleep(time.Second)
	start(desks[1], 2)
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	for _, d := range desks {
		p.eventually(restartWithin, d.Settings.Host+" serves ordinary requests", func() error {
			if a := p.send(d, http.MethodGet, "/safe/1", ""); !a.complete() {
				return fmt.Errorf("status %d, %w", a.status, a.err)
			}
			return nil
		})
	}
	for _, worker := range silent {
		t.Logf("%d requests sent, at most %d held by a worker, %d ran, %d unanswered",
			sent.Load(), worker.MostHeld(), len(worker.ExecutionRecords()), worker.UnansweredRequests())
	}
	for _, worker := range silent {
		is.Equal(worker.UnansweredRequests(), 0)
	}
}
