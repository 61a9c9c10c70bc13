// Package faultproxy injects faults between hosts. Each host's advertised
// address belongs to a proxy in front of it; the proxy tells the senders apart
// by their source address.
package faultproxy

import (
	"sync"
	"time"
)

// Fault is what happens to the traffic of a link.
type Fault struct {
	// Drop discards everything silently, as a network that lost the route.
	Drop bool
	// Reset closes connections with a reset.
	Reset bool
	// DropDatagrams discards datagrams only.
	DropDatagrams bool
	// Latency is added in each direction that the fault covers.
	Latency time.Duration
	// FlipBit inverts one bit of each chunk or datagram.
	FlipBit bool
}

// AnyHost matches every host.
const AnyHost = "*"

// link is traffic in one direction.
type link struct{ from, to string }

// Network holds the faults of all links. It is safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	names   map[string]string // IP to host
	faults  map[link]Fault
	silent  map[link]time.Time // connections opened before are dropped
	proxies []interface{ Close() error }
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		names:  make(map[string]string),
		faults: make(map[link]Fault),
		silent: make(map[link]time.Time),
	}
}

// RegisterHost gives the host that sends from the IP address.
func (n *Network) RegisterHost(ip, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[ip] = host
}

// SetFault puts a fault on the traffic from one host to another; Any matches all.
func (n *Network) SetFault(from, to string, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[link{from, to}] = fault
}

// Partition drops the traffic between every host of one group and every host of the
// other, in both directions.
func (n *Network) Partition(group, other []string) {
	for _, a := range group {
		for _, b := range other {
			n.SetFault(a, b, Fault{Drop: true})
			n.SetFault(b, a, Fault{Drop: true})
		}
	}
}

// BlackholeOpenConnections drops the traffic in one direction on the connections that are
// open now, for good; Any matches all hosts. New connections work.
func (n *Network) BlackholeOpenConnections(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[link{from, to}] = time.Now()
}

// ClearFaults removes all faults but those of SilenceOld.
func (n *Network) ClearFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
}

// Close closes all proxies.
func (n *Network) Close() {
	n.mu.Lock()
	proxies := n.proxies
	n.proxies = nil
	n.mu.Unlock()
	for _, proxy := range proxies {
		_ = proxy.Close()
	}
}

func (n *Network) add(proxy interface{ Close() error }) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proxies = append(n.proxies, proxy)
}

// nameOf returns the host that sends from the IP address, or the address.
func (n *Network) nameOf(ip string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name, ok := n.names[ip]; ok {
		return name
	}
	return ip
}

// fault returns the fault on a link for a connection opened at a time.
func (n *Network) fault(from, to string, opened time.Time) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range []link{{from, to}, {from, AnyHost}, {AnyHost, to}, {AnyHost, AnyHost}} {
		if since, ok := n.silent[l]; ok && opened.Before(since) {
			return Fault{Drop: true}
		}
		if fault, ok := n.faults[l]; ok {
			return fault
		}
	}
	return Fault{}
}
