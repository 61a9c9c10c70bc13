package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// The route of the long requests: price-sheet of the site.
const (
	siteHost         = "shop.example"
	priceSheetPath   = "/price-sheet/"
	priceTimeoutMs   = 2500
	priceObjectiveMs = 1200
	priceDeadline    = 5 * time.Second
	// longWork is within the work that the site states for the class: at most 2,900 ms.
	longWork = 2300 * time.Millisecond
)

func route(name, path, kind, service string, timeoutMs, targetMs int) map[string]any {
	return map[string]any{
		"Name": name, "Host": siteHost, "PathPrefix": path, "Kind": kind, "TimeoutMs": timeoutMs,
		"TargetLatencyMs": targetMs, "Priority": 2, "Service": service, "MaxAttempts": 2,
	}
}

func service(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "Tls": false}
}

func config(version int, routes []any, services ...string) map[string]any {
	var list []any
	for _, name := range services {
		list = append(list, service(name))
	}
	return map[string]any{
		"Version": fmt.Sprintf("%08x", version), "Routes": routes, "Services": list,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// drainRepeat drains a worker while it runs a long request that may be repeated, and loses the answer to that
// request. It checks that nothing reaches the worker later than DrainMs after its leaving was acknowledged.
func drainRepeat(r *run) string {
	f := startFleet(r, []string{"catalogue", "catalogue", "catalogue"})
	f.store.put("op", "config", config(3, []any{route("price-sheet", priceSheetPath, "safe", "catalogue", priceTimeoutMs, priceObjectiveMs)}, "catalogue"))
	var long atomic.Pointer[worker] // the worker that runs the long request
	var workers []*worker
	for i, m := range f.machines {
		w := m.startWorker(fmt.Sprintf("i-%d", i+1), 9, nil)
		w.plan = func(id string) task {
			if id != "long" {
				return task{work: 5 * time.Millisecond}
			}
			first := long.CompareAndSwap(nil, w)
			return task{work: longWork, loseAnswer: first && r.trouble}
		}
		workers = append(workers, w)
	}
	f.awaitReady()
	f.awaitService(f.machines[0], priceSheetPath+"a")
	f.awaitInTouch()
	c := f.machines[0].newClient()
	for i := range 60 { // the daemons keep connections to all workers from now on
		c.send(fmt.Sprintf("short-%d", i), "GET", siteHost, priceSheetPath+"a", priceDeadline, "")
	}
	answered := make(chan answer)
	go func() { answered <- c.send("long", "GET", siteHost, priceSheetPath+"b", priceDeadline, "") }()
	f.await("the long request runs", 2*time.Second, func() bool { return long.Load() != nil })
	leaving := long.Load()
	leaving.drain()
	<-answered
	time.Sleep(priceTimeoutMs * time.Millisecond)
	for _, w := range workers {
		w.mu.Lock()
		acked := w.ackedAt
		w.mu.Unlock()
		if acked.IsZero() {
			continue
		}
		for _, a := range w.allArrivals() {
			if late := a.at.Sub(acked); late > drainMs*time.Millisecond {
				return fmt.Sprintf("%s reached %s %d ms after its leaving was acknowledged; DrainMs is %d", a.id, w.id, late.Milliseconds(), drainMs)
			}
		}
	}
	return ""
}
