package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// storeSilence is how long the store gives no answer: platform_down of the site, how "silent".
	storeSilence = 8 * time.Second
	// restartDelay is the time after which the platform starts a daemon again that was killed.
	restartDelay = 500 * time.Millisecond
	// beatGap is the time between the arrivals of two late heartbeats.
	beatGap = 6200 * time.Millisecond
)

// lateBeats lets a worker leave, restarts the daemon beside it while the store is silent, and delivers two heartbeats late
// that the worker sent before it left. It checks that no request that this machine takes reaches the worker later than
// DrainMs after its leaving was acknowledged.
func lateBeats(r *run) string {
	f := startFleet(r, []string{"counter", "counter", "counter", "counter", "counter", "counter"})
	f.store.put("op", "config", config(3, []any{route("stock-order", "/stock-order/", "unsafe", "counter", 1000, 500)}, "counter"))
	for i, m := range f.machines {
		m.startWorker(fmt.Sprintf("i-%d", i+1), 9, nil)
	}
	f.awaitReady()
	f.awaitInTouch()
	m := f.machines[0]
	w := m.worker
	first, second := w.makeHeartbeat(), w.makeHeartbeat()
	r.log("%s: sent two heartbeats that are late", w.id)
	sent := time.Now()
	w.deregister()
	acked := time.Now()

	var restarted time.Time
	if r.trouble {
		time.Sleep(300 * time.Millisecond)
		f.store.setAnswer(f.store.silent)
		r.log("store: silent from now on")
		outage := time.AfterFunc(storeSilence, func() { f.store.setAnswer(nil); r.log("store: answers again") })
		defer outage.Stop()
		time.Sleep(200 * time.Millisecond)
		m.signal(syscall.SIGKILL)
		<-m.exited
		time.Sleep(restartDelay)
		m.start()
		restarted = time.Now()
	} else {
		time.Sleep(1500 * time.Millisecond)
		restarted = time.Now()
	}
	deliver := func(beat []byte) {
		for end := time.Now().Add(time.Second); !w.post("/v1/Instances.Heartbeat/"+w.id, beat); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				r.fail("the late heartbeat was not acknowledged")
			}
		}
		r.log("%s: a heartbeat arrived %.1f s late and was acknowledged", w.id, time.Since(sent).Seconds())
	}
	deliver(first)
	arrived := time.Now()

	taken := requestsOf(m, restarted.Add(stabilityWindow+stabilityMargin), acked.Add(500*time.Millisecond+storeSilence))
	time.Sleep(beatGap - time.Since(arrived))
	deliver(second)
	ids, answered := taken()
	late := 0
	for _, a := range w.allArrivals() {
		if ids[a.id] && a.at.Sub(acked) > drainMs*time.Millisecond {
			late++
		}
	}
	r.log("%d requests taken, %d of them reached %s later than DrainMs after the acknowledgement", len(ids), late, w.id)
	if answered == 0 {
		r.fail("the daemon had no configuration after its restart, and served nothing")
	}
	if late > 0 {
		return fmt.Sprintf("%d requests that %s took reached %s later than DrainMs after it had acknowledged that the worker left", late, m.name, w.id)
	}
	return ""
}

// requestsOf sends orders from the requesters of a machine between two times. The returned function waits for their end
// and returns the ids, and how many of the orders a worker answered.
func requestsOf(m *machine, from, until time.Time) (wait func() (ids map[string]bool, answered int)) {
	ids := make(map[string]bool)
	answered := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for k := range 6 {
		group.Go(func() {
			time.Sleep(time.Until(from))
			c := m.newClient()
			defer c.close()
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("order-%d-%d", k, n)
				mu.Lock()
				ids[id] = true
				mu.Unlock()
				got := c.send(id, http.MethodPost, siteHost, "/stock-order/x", 2*time.Second, "profile")
				mu.Lock()
				if got.signed {
					answered++
				}
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	return func() (map[string]bool, int) { group.Wait(); return ids, answered }
}

// makeHeartbeat returns the body of the next heartbeat without sending it.
func (w *worker) makeHeartbeat() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"Service": w.machine.service, "Address": w.machine.appAdress, "Zone": w.machine.zone, "Version": w.version,
		"Slots": cap(w.slots), "State": w.state, "ColdRemainingMs": 0, "Sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	return body
}

// deregister ends the heartbeats and deregisters the worker, which goes on serving.
func (w *worker) deregister() {
	w.cancel()
	w.mu.Lock()
	w.state = "leaving"
	w.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": w.born.UnixMilli()})
	for end := time.Now().Add(5 * time.Second); !w.post("/v1/Instances.Deregister/"+w.id, body); time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			w.run.fail("%s: leaving not acknowledged", w.id)
		}
	}
	w.run.log("%s: deregistered, acknowledged", w.id)
}

// silent accepts a call and gives no answer, without doing what it asks.
func (s *store) silent(_ http.ResponseWriter, q *http.Request) bool {
	<-q.Context().Done()
	panic(http.ErrAbortHandler)
}
