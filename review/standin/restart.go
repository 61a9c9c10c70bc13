package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// storeOutFor is how long the store gives no answers.
	storeOutFor = 8 * time.Second
	// servesOnLong is how long the worker that left goes on serving in the case of the store's outage.
	servesOnLong = 8 * time.Second
)

// unreadDeparture: a worker leaves, which is confirmed and written to the store. Then the store is out, and the
// daemon beside the worker is killed and starts again. A heartbeat that the worker sent before arrives late.
func unreadDeparture(root string, rec *record, trouble bool) (int, error) {
	f, err := newFleet(root, rec, []string{"orders", "orders", "orders"}, config{
		Version:  "00000001",
		Routes:   []route{{Name: "r-orders", Host: earlyHost, PathPrefix: "/orders/", Kind: "unsafe", TimeoutMs: 1000, TargetLatencyMs: 250, Priority: 1, Service: "orders", MaxAttempts: 2}},
		Services: []service{{Name: "orders", HealthPath: "/health", MaxConnections: 130, Protocol: "h1"}},
		Limits:   sameLimits,
	})
	if err != nil {
		return couldntRun, err
	}
	defer f.stop()
	var mu sync.Mutex
	arrivals := map[string][]arrival{}
	var workers []*worker
	for i, m := range f.machines {
		w, err := startWorker(m, fmt.Sprintf("i-%08x", 0x5d02e900+i), 12, rec, func(w *worker, conn net.Conn) {
			serveWork(w, conn, 80*time.Millisecond, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				arrivals[w.id] = append(arrivals[w.id], arrival{id, time.Now()})
			})
		})
		if err != nil {
			return couldntRun, err
		}
		defer w.exit()
		workers = append(workers, w)
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return couldntRun, err
	}
	got := newAnswers()
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range drainClients {
		clients.Go(func() { keepOrdering(f.machines[i%3], fmt.Sprintf("order-%d", i), got, rec, stop) })
	}
	time.Sleep(6 * time.Second)

	leaving, m := workers[0], f.machines[0]
	leaving.stopBeats()
	late := leaving.heartbeat() // sent now, arrives heartbeatLate later
	rec.add("worker %s sends the heartbeat %s; it arrives %v late", leaving.id, late, heartbeatLate)
	sentAt := time.Now()
	time.Sleep(50 * time.Millisecond)
	if !leaving.post(context.Background(), "Deregister", nil) {
		return couldntRun, fmt.Errorf("the deregistration was not confirmed")
	}
	acked := time.Now()
	rec.add("the daemon of %s confirmed that worker %s is gone; the worker goes on serving for %v", m.name, leaving.id, servesOnLong)
	time.Sleep(400 * time.Millisecond)
	rec.add("the departure stands in a row of the store: %v", f.store.mentions(leaving.id))
	inTouch := acked
	if trouble {
		f.store.down.Store(true)
		rec.add("the store gives no answers from here on, for %v", storeOutFor)
		time.AfterFunc(storeOutFor, func() { f.store.down.Store(false) })
		time.Sleep(200 * time.Millisecond)
		f.kill(m)
		time.Sleep(killedFor)
		if err := f.start(m); err != nil {
			return couldntRun, err
		}
		inTouch = time.Now().Add(stabilityWindowMs)
	}
	time.Sleep(time.Until(sentAt.Add(heartbeatLate)))
	for !leaving.post(context.Background(), "Heartbeat", late) && time.Since(acked) < servesOnLong {
		time.Sleep(100 * time.Millisecond)
	}
	rec.add("the late heartbeat of worker %s has arrived and is confirmed", leaving.id)
	time.Sleep(time.Until(acked.Add(servesOnLong)))
	leaving.exit()
	rec.add("worker %s exits, %v after its leaving was confirmed", leaving.id, time.Since(acked).Round(time.Millisecond))
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	from := acked.Add(drainMs)
	if inTouch.After(from) {
		from = inTouch
	}
	reached, own := 0, 0
	for _, a := range arrivals[leaving.id] {
		if !a.at.After(from) {
			continue
		}
		reached++
		if takenBy(a.id, f.machines) == m {
			own++
			rec.add("BROKEN (DRAIN): request %s, taken and passed on by %s, reached worker %s %v after %s confirmed its leaving", a.id, m.name, leaving.id, a.at.Sub(acked).Round(time.Millisecond), m.name)
		}
	}
	rec.add("answers: %s", got)
	rec.add("later than DrainMs (%v) after the confirmation and %v after the restart, %d requests reached worker %s; %d of them were taken by %s itself, which had confirmed",
		drainMs, stabilityWindowMs, reached, leaving.id, own, m.name)
	if own > 0 {
		return broken, nil
	}
	return held, nil
}

// takenBy returns the machine that took an order of keepOrdering from its requester.
func takenBy(id string, machines []*machine) *machine {
	var client, number int
	if _, err := fmt.Sscanf(id, "order-%d-%d", &client, &number); err != nil {
		return nil
	}
	return machines[client%len(machines)]
}

// mentions reports whether a row of the store holds the text.
func (s *store) mentions(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if strings.Contains(string(r.Value), text) {
			return true
		}
	}
	return false
}
