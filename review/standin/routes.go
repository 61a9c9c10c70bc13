package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// configApplyMs is the bound for a new configuration; applySlack is waited for besides.
	configApplyMs = 2 * time.Second
	applySlack    = 3 * time.Second
	routeRequests = 120
)

// addedRoute: the operator adds a route whose prefix lies below that of another one. Requests whose path begins
// with the other prefix only, since the slash that follows is an encoded one, still belong to the other route.
func addedRoute(root string, rec *record, trouble bool) (int, error) {
	desk := route{Name: "r-desk", Host: earlyHost, PathPrefix: "/items/", Kind: "unsafe", TimeoutMs: 1000, TargetLatencyMs: 250, Priority: 1, Service: "desk", MaxAttempts: 2}
	oak := desk
	oak.Name, oak.PathPrefix, oak.Service = "r-oak", "/items/oak/", "oak-store"
	configuration := config{
		Version:  "00000001",
		Routes:   []route{desk},
		Services: []service{{Name: "desk", HealthPath: "/health", MaxConnections: 130, Protocol: "h1"}, {Name: "oak-store", HealthPath: "/health", MaxConnections: 130, Protocol: "h1"}},
		Limits:   sameLimits,
	}
	f, err := newFleet(root, rec, []string{"desk", "desk", "oak-store", "oak-store"}, configuration)
	if err != nil {
		return couldntRun, err
	}
	defer f.stop()
	var mu sync.Mutex
	ranAt := map[string]string{}
	for i, m := range f.machines {
		w, err := startWorker(m, fmt.Sprintf("i-%08x", 0x02d9e600+i), 12, rec, func(w *worker, conn net.Conn) {
			serveWork(w, conn, 5*time.Millisecond, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				ranAt[id] = w.machine.service
			})
		})
		if err != nil {
			return couldntRun, err
		}
		defer w.exit()
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return couldntRun, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		configuration.Version = "00000004"
		configuration.Routes = []route{desk, oak}
		f.store.put("op", "config", configuration)
		rec.add("the operator adds the route %s to %s, version %s: confirmed", oak.PathPrefix, oak.Service, configuration.Version)
	}
	time.Sleep(configApplyMs + applySlack)
	paths := []struct{ path, service string }{
		{"/items/ash-3", "desk"},          // plain
		{"/items/oak%2Flarge", "desk"},    // an item that is called oak/large
		{"/items/oak%2Fsmall/7", "desk"},  // the same with a further segment
		{"/items/oak/large", "oak-store"}, // the added route
	}
	if !trouble {
		paths[3].service = "desk"
	}
	wrong := 0
	for i := range routeRequests {
		want := paths[i%len(paths)]
		id := fmt.Sprintf("item-%d", i)
		m := f.machines[i%len(f.machines)]
		status, err := postOnce(m, want.path, id)
		mu.Lock()
		service := ranAt[id]
		mu.Unlock()
		rec.add("%s: POST %s at %s: answer %d (%v), run by a worker of %q", id, want.path, m.name, status, err, service)
		if service != "" && service != want.service {
			wrong++
			rec.add("BROKEN (ROUTE): %s %s belongs to the route of %s and was run by %s", id, want.path, want.service, service)
		}
	}
	rec.add("%d of %d requests were run by a service to which no configuration lets them go", wrong, routeRequests)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// postOnce sends a POST on a new connection and returns the status of its answer.
func postOnce(m *machine, path, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1000\r\nContent-Length: 5\r\n\r\norder", path, earlyHost, headerID, id, headerDeadline)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
