// Package faultproxy injects network faults between hosts. A proxy listens on the advertised address of
// each host and forwards to the host; it identifies the sending host by the source IP address.
package faultproxy

import (
	"sync"
	"time"
)

// Fault describes the faults that apply to the traffic of a link.
type Fault struct {
	// Drop stops all traffic silently, like a network without a route to the receiver. Datagrams are
	// discarded; the data of a connection is delayed until the fault is cleared.
	Drop bool
	// Reset closes connections with a TCP reset, and discards datagrams.
	Reset bool
	// DropDatagrams discards datagrams; connections work.
	DropDatagrams bool
	// Latency is added to each chunk or datagram, in the direction of the link.
	Latency time.Duration
	// FlipBit inverts one bit of each chunk of a connection and of each datagram.
	FlipBit bool
}

// AnyHost matches every host as the sender or the receiver of a link.
const AnyHost = "*"

// link identifies the traffic from one host to another, in one direction.
type link struct{ from, to string }

// Network holds the faults of all links. It is safe for concurrent use.
type Network struct {
	mu         sync.Mutex
	hosts      map[string]string // host by IP address
	faults     map[link]Fault
	blackholed map[link]time.Time // traffic of connections opened before is dropped
	proxies    []interface{ Close() error }
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		hosts:      make(map[string]string),
		faults:     make(map[link]Fault),
		blackholed: make(map[link]time.Time),
	}
}

// RegisterHost records the host that sends from the IP address.
func (n *Network) RegisterHost(ip, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[ip] = host
}

// SetFault replaces the fault of the traffic from one host to another. AnyHost matches every host. A
// fault between two named hosts takes precedence over those with AnyHost.
func (n *Network) SetFault(from, to string, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[link{from, to}] = fault
}

// Partition drops the traffic between every host of one group and every host of the other, in both
// directions.
func (n *Network) Partition(group, other []string) {
	for _, a := range group {
		for _, b := range other {
			n.SetFault(a, b, Fault{Drop: true})
			n.SetFault(b, a, Fault{Drop: true})
		}
	}
}

// BlackholeOpenConnections drops the traffic in one direction on the connections that are
// open now, permanently. AnyHost matches every host. New connections work.
func (n *Network) BlackholeOpenConnections(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blackholed[link{from, to}] = time.Now()
}

// ClearFaults removes all faults except those of BlackholeOpenConnections.
func (n *Network) ClearFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
}

// Close closes all proxies and their connections.
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

// hostOf returns the host that sends from the IP address, or the address itself if none is registered.
func (n *Network) hostOf(ip string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name, ok := n.hosts[ip]; ok {
		return name
	}
	return ip
}

// fault returns the fault of a link for a connection opened at the given time. The most specific entry
// applies: from and to, then from only, then to only, then AnyHost for both.
func (n *Network) fault(from, to string, opened time.Time) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range []link{{from, to}, {from, AnyHost}, {AnyHost, to}, {AnyHost, AnyHost}} {
		if since, ok := n.blackholed[l]; ok && opened.Before(since) {
			return Fault{Drop: true}
		}
		if fault, ok := n.faults[l]; ok {
			return fault
		}
	}
	return Fault{}
}
