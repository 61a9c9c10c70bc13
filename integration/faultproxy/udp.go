package faultproxy

import (
	"net"
	"time"
)

const maxDatagram = 64 << 10 // bytes

// ForwardUDP listens on the address and forwards datagrams to the backend of the host until Close. It
// forwards in this direction only: datagrams contain their sender's address, so responses go through
// the proxy of the other host.
func (n *Network) ForwardUDP(address, host, backend string) error {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	remote, err := net.ResolveUDPAddr("udp", backend)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return err
	}
	n.add(conn)
	go n.forwardDatagrams(conn, host, remote)
	return nil
}

func (n *Network) forwardDatagrams(conn *net.UDPConn, host string, remote *net.UDPAddr) {
	buffer := make([]byte, maxDatagram)
	for {
		count, source, err := conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		fault := n.fault(n.hostOf(source.IP.String()), host, time.Now())
		if fault.Drop || fault.DropDatagrams || fault.Reset || count == 0 {
			continue
		}
		datagram := append([]byte(nil), buffer[:count]...)
		if fault.FlipBit {
			datagram[count/2] ^= 1
		}
		if fault.Latency == 0 {
			_, _ = conn.WriteToUDP(datagram, remote)
			continue
		}
		time.AfterFunc(fault.Latency, func() { _, _ = conn.WriteToUDP(datagram, remote) })
	}
}
