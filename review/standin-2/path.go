package main

import (
	"fmt"
	"net/http"
	"strings"
)

// Request targets on the route of /catalogue/. The encoded slash is part of a segment (RFC 3986, section 2.2), so that none
// of them begins with /catalogue/oak/, the prefix of another route to another service.
var targets = []struct{ troubled, plain string }{
	{"/catalogue/oak%2Fpine|12", "/catalogue/oak%2Fpine12"},
	{"/catalogue/oak%2F50%25|x?n=1", "/catalogue/oak%2F50%25x?n=1"},
	{"/catalogue/oak%2Fa%2Fb|c", "/catalogue/oak%2Fa%2Fbc"},
}

// pathRouted sends requests whose path has an encoded slash and a vertical bar, and checks that they run at the service of
// the route whose prefix begins the path.
func pathRouted(r *run) string {
	f := startFleet(r, []string{"catalogue", "counter", "catalogue", "counter"})
	f.store.put("op", "config", config(3, []any{
		route("catalogue", "/catalogue/", "safe", "catalogue", 2500, 1200),
		route("oak", "/catalogue/oak/", "safe", "counter", 2500, 1200),
	}, "catalogue", "counter"))
	for i, m := range f.machines {
		m.startWorker(fmt.Sprintf("i-%d", i+1), 9, nil)
	}
	f.awaitReady()
	for _, path := range []string{"/catalogue/plain", "/catalogue/oak/plain"} {
		f.awaitService(f.machines[0], path)
	}
	f.awaitInTouch()
	var broken []string
	for i, t := range targets {
		sent := t.plain
		if r.trouble {
			sent = t.troubled
		}
		id := fmt.Sprintf("request-%d", i+1)
		c := f.machines[0].newClient()
		got := c.send(id, http.MethodGet, siteHost, sent, priceDeadline, "")
		c.close()
		if !got.signed {
			r.fail("%s was not served: status %d, error %v", id, got.status, got.err)
		}
		for _, m := range f.machines {
			for _, a := range m.worker.allArrivals() {
				if a.id != id {
					continue
				}
				r.log("%s: sent as %s, ran at service %s as %s, answered %d", id, sent, m.service, a.target, got.status)
				if m.service != "catalogue" {
					broken = append(broken, fmt.Sprintf("%s, sent as %s on the route of catalogue, was run by %s as %s", id, sent, m.service, a.target))
				}
			}
		}
	}
	return strings.Join(broken, "; ")
}
