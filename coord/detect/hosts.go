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

// newVersionTotals sums the counts of all hosts.
type newVersionTotals struct {
	hostCounts
	slowHosts int // hosts with slow responses
}

func (h newVersionHosts) totals() newVersionTotals {
	var totals newVersionTotals
	for _, c := range h {
		totals.requests += c.requests
		totals.slow += c.slow
		if c.slow > 0 {
			totals.slowHosts++
		}
	}
	return totals
}

// showVersion reports whether slow responses of a host count against the version: at least minHosts
// hosts have some, and the other hosts don't show that this one is slow by itself.
func (t *newVersionTotals) showVersion(host *hostCounts, minHosts int) bool {
	if t.slowHosts < minHosts {
		return false
	}
	others := hostCounts{t.requests - host.requests, t.slow - host.slow}
	if others.requests < minOtherRequests {
		return true
	}
	otherRate := (others.slow + priorRate*priorWeight) / (others.requests + priorWeight)
	return host.slow/max(host.requests, 1) < slowHostRatio*otherRate
}
