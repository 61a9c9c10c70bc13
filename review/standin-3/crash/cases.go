package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	siteHost = "kerbrat.example"
	slots    = 12
	// maxRetries is the number of retries that may reach workers, by the rule.
	maxRetries = 3
)

// kind is a kind of requests with the figures of the site. A worker crashes at the end of the work.
type kind struct {
	name, prefix, path     string
	timeoutMs, objectiveMs int
	deadline, work         time.Duration // work is the mean
}

var (
	blockStock = kind{"block-stock", "/stock/", "/stock/blocks", 800, 400, 1500 * time.Millisecond, 150 * time.Millisecond}
	routeSheet = kind{"route-sheet", "/routes/", "/routes/tomorrow", 1200, 600, 2500 * time.Millisecond, 240 * time.Millisecond}
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

// studios is the number of machines of carving-studio, desks that of order-desk, unless a case has other ones.
const studios, desks = 6, 2

// startKerbrat starts machines of both services. The workers crash at the requests of the kind that crashes selects by the
// service of the machine where they began.
func startKerbrat(r *run, studios, desks int, k kind, crashes func(caller string) bool) *fleet {
	services := append(slices.Repeat([]string{"carving-studio"}, studios), slices.Repeat([]string{"order-desk"}, desks)...)
	f := startFleet(r, services)
	f.store.put("op", "config", config(3, []any{route(k.name, k.prefix, "safe", "carving-studio", k.timeoutMs, k.objectiveMs)}, "carving-studio", "order-desk"))
	plan := func(path, caller string) task {
		return task{work: k.work, crash: path == k.path && crashes(caller)}
	}
	for i, m := range f.machines {
		m.startWorker(fmt.Sprintf("i-%d", i+1), slots, plan)
	}
	f.awaitReady()
	f.awaitService(f.machines[0], k.prefix+"plain")
	f.awaitInTouch()
	return f
}

// sent is one request of a requester.
type sent struct {
	id      string
	at      time.Time
	machine *machine
}

// judge counts the requests that reached workers and were sent later than the stability window after the third crash.
func judge(r *run, f *fleet, requests []sent) string {
	crashes := f.allCrashes()
	if len(crashes) < 3 {
		r.log("%d crashes", len(crashes))
		return ""
	}
	from := crashes[2].Add(stabilityWindow)
	r.log("%d crashes; the third at %.3f", len(crashes), crashes[2].Sub(r.started).Seconds())
	senders := make(map[string]*machine)
	for _, s := range requests {
		senders[s.id] = s.machine
	}
	reached := make(map[string]int) // by machines in touch
	for _, a := range f.allArrivals() {
		if sender := senders[a.id]; sender != nil && sender.inTouch(a.at) && a.machine.inTouch(a.at) {
			reached[a.id]++
		}
	}
	retries, arrivals, all := 0, 0, 0
	for _, s := range requests {
		if s.at.Before(from) {
			continue
		}
		all++
		if n := reached[s.id]; n > 0 {
			retries++
			arrivals += n
			r.log("%s, sent at %.3f, reached %d workers", s.id, s.at.Sub(r.started).Seconds(), n)
		}
	}
	text := fmt.Sprintf("of %d requests that were sent later than %v after the third crash %d reached workers, %d times; %d may",
		all, stabilityWindow, retries, arrivals, maxRetries)
	r.log("%s", text)
	if retries > maxRetries {
		return text
	}
	return ""
}

// samePath sends a request that crashes workers from the machines of order-desk, again and again, while requesters at
// machines of carving-studio send requests of their own with the same path, which crash nothing.
func samePath(r *run) string {
	f := startKerbrat(r, studios, desks, blockStock, func(caller string) bool { return r.trouble && caller == "order-desk" })
	const length = 30 * time.Second
	end := time.Now().Add(length)
	var requesters sync.WaitGroup
	var mu sync.Mutex
	served, others := 0, 0
	for i, m := range f.machines[:studios] {
		requesters.Go(func() {
			c := m.newClient()
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				got := c.exchange(fmt.Sprintf("other-%d-%d", i+1, n), http.MethodGet, siteHost, blockStock.path, blockStock.deadline, "")
				mu.Lock()
				others++
				if got.status == http.StatusOK && got.signed {
					served++
				}
				mu.Unlock()
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	requests := sendAgain(f.machines[studios:], end, 2*time.Second, false)
	requesters.Wait()
	r.log("other requests with that path: %d sent, %d served", others, served)
	if served == 0 {
		r.fail("no other request was served")
	}
	return judge(r, f, requests)
}

// sendAgain sends the request in turn at the machines until the end, one every interval, each with an idempotency key of its
// own if wanted.
func sendAgain(machines []*machine, end time.Time, interval time.Duration, freshKeys bool) []sent {
	var requests []sent
	for n := 0; time.Now().Before(end); n++ {
		m := machines[n%len(machines)]
		c := m.newClient()
		if freshKeys {
			c.key = fmt.Sprintf("key-%d", n+1)
		}
		s := sent{fmt.Sprintf("again-%d", n+1), time.Now(), m}
		requests = append(requests, s)
		c.send(s.id, http.MethodGet, siteHost, blockStock.path, blockStock.deadline, "")
		c.close()
		time.Sleep(time.Until(s.at.Add(interval)))
	}
	return requests
}

// quarantineEnd sends a request that crashes workers again and again from one requester at each machine, over more than a
// minute.
func quarantineEnd(r *run) string {
	f := startKerbrat(r, studios, desks, routeSheet, func(string) bool { return r.trouble })
	const (
		length   = 75 * time.Second
		interval = 250 * time.Millisecond
	)
	end := time.Now().Add(length)
	var requesters sync.WaitGroup
	var mu sync.Mutex
	var requests []sent
	answers := make(map[int]int)
	for i, m := range f.machines {
		requesters.Go(func() {
			c := m.newClient()
			defer c.close()
			time.Sleep(rand.N(interval))
			for n := 0; time.Now().Before(end); n++ {
				s := sent{fmt.Sprintf("again-%d-%d", i+1, n+1), time.Now(), m}
				got := c.exchange(s.id, http.MethodGet, siteHost, routeSheet.path, routeSheet.deadline, "")
				mu.Lock()
				requests = append(requests, s)
				answers[got.status]++
				mu.Unlock()
				time.Sleep(time.Until(s.at.Add(interval)))
			}
		})
	}
	requesters.Wait()
	r.log("%d requests sent, answered by status: %v", len(requests), answers)
	return judge(r, f, requests)
}

// freshKeys sends a request that crashes workers again and again, each time with an idempotency key of its own.
func freshKeys(r *run) string {
	f := startKerbrat(r, studios, desks, blockStock, func(string) bool { return r.trouble })
	return judge(r, f, sendAgain(f.machines, time.Now().Add(30*time.Second), 2*time.Second, true))
}

// restarts sends a request that crashes workers again and again while all daemons are stopped and started in turn, several
// times over. The workers go on. The restarts are the disruption; the requests crash workers without them too.
func restarts(r *run) string {
	f := startKerbrat(r, 3, 0, blockStock, func(string) bool { return true })
	const (
		rounds   = 5
		gap      = 2 * time.Second // between the stops of two daemons
		pause    = 10 * time.Second
		interval = time.Second
	)
	end := time.Now().Add(pause + rounds*(time.Duration(len(f.machines))*gap+pause))
	var stops sync.WaitGroup
	stops.Go(func() {
		for range rounds {
			time.Sleep(pause)
			var round sync.WaitGroup
			for _, m := range f.machines {
				if r.trouble {
					round.Go(m.restart)
				}
				time.Sleep(gap)
			}
			round.Wait()
		}
	})
	requests := sendAgain(f.machines, end, interval, false)
	stops.Wait()
	return judge(r, f, requests)
}
