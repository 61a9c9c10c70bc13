package main

import (
	"fmt"
	"net/http"
	"strings"
)

// paths are request targets that clients send as they are; the second ones of TROUBLE=0 lack the vertical bar.
var paths = []struct{ troubled, plain string }{
	{"/catalogue/oak|12", "/catalogue/oak12"},
	{"/catalogue/oak%2Fpine|12", "/catalogue/oak%2Fpine12"},
	{"/catalogue/50%25|oak?n=1|2", "/catalogue/50%25oak?n=1|2"},
}

// pathChanged sends requests whose path has a vertical bar, and checks that workers get each path as it was sent.
func pathChanged(r *run) string {
	f := startFleet(r, []string{"catalogue", "catalogue", "catalogue"})
	f.store.put("op", "config", config(3, []any{
		route("safe", "/catalogue/", "safe", "catalogue", 2500, 1200),
	}, "catalogue"))
	for i, m := range f.machines {
		m.startWorker(fmt.Sprintf("i-%d", i+1), 9, nil)
	}
	f.awaitReady()
	var broken []string
	for i, p := range paths {
		sent := p.plain
		if r.trouble {
			sent = p.troubled
		}
		id := fmt.Sprintf("request-%d", i+1)
		c := f.machines[0].newClient()
		got := c.send(id, http.MethodGet, siteHost, sent, priceDeadline, "")
		c.close()
		for _, m := range f.machines {
			for _, a := range m.worker.allArrivals() {
				if a.id == id && a.target != sent {
					broken = append(broken, fmt.Sprintf("%s: sent as %s, run as %s, answered %d", id, sent, a.target, got.status))
				}
			}
		}
	}
	return strings.Join(broken, "; ")
}
