package detect

const (
	// slowHostRatio is how many times the rate of slow responses of a host must exceed that of the
	// other hosts of its version for the host, and not the version, to be taken for slow.
	slowHostRatio = 5
	// minOtherRequests is the number of requests of the other hosts from which they can tell.
	minOtherRequests = 30
)

// newVersionHosts counts the requests of each host of the new version and their slow responses. A
// version that is slow is slow on all its hosts; a host that is slow by itself, and happens to run
// the new version, must not condemn it.
type newVersionHosts map[string]*hostCounts

type hostCounts struct{ requests, slow float64 }

func (h newVersionHosts) add(s Sample) {
	c := h[s.Host]
	if c == nil {
		c = &hostCounts{}
		h[s.Host] = c
	}
	c.requests += float64(s.Requests)
	c.slow += float64(s.Slow)
}

// showVersion reports whether slow responses of a host count against the version: at least minHosts
// hosts have some, and the other hosts don't show that this one is slow by itself.
func (h newVersionHosts) showVersion(host string, minHosts int) bool {
	var others hostCounts
	slowHosts := 0
	for name, c := range h {
		if c.slow > 0 {
			slowHosts++
		}
		if name != host {
			others.requests += c.requests
			others.slow += c.slow
		}
	}
	if slowHosts < minHosts {
		return false
	}
	if others.requests < minOtherRequests {
		return true
	}
	own := h[host]
	otherRate := (others.slow + priorRate*priorWeight) / (others.requests + priorWeight)
	return own.slow/max(own.requests, 1) < slowHostRatio*otherRate
}
