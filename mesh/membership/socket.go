package membership

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/steperr"
)

const (
	// maxDatagram is the largest UDP payload, in bytes.
	maxDatagram = 65507
	// packetOverhead is the IPv4 and UDP header of a packet, in bytes.
	packetOverhead = 28
)

// traffic counts what the socket sent, received and dropped.
type traffic struct {
	sent      atomic.Uint64 // bytes
	received  atomic.Uint64 // bytes
	malformed atomic.Uint64 // datagrams
	unsent    atomic.Uint64 // datagrams
}

// Bytes returns the bytes sent and received, IP and UDP headers included.
func (m *Membership) Bytes() (sent, received uint64) {
	return m.traffic.sent.Load(), m.traffic.received.Load()
}

// MalformedDatagrams returns the number of datagrams that were dropped because they could not be
// decoded.
func (m *Membership) MalformedDatagrams() uint64 { return m.traffic.malformed.Load() }

// receiveLoop handles datagrams until the socket is closed.
func (m *Membership) receiveLoop() {
	defer m.loops.Done()
	buffer := make([]byte, maxDatagram)
	for {
		length, from, err := m.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.log.Debug("datagram receive failed", zap.Error(steperr.Wrap(err, "receive", m.config.Listen)))
			continue
		}
		m.traffic.received.Add(uint64(length) + packetOverhead)
		m.receive(buffer[:length], from)
	}
}

// receive decodes one datagram and passes it to the state machine.
func (m *Membership) receive(data []byte, from netip.AddrPort) {
	message, err := Decode(data)
	if err != nil {
		m.traffic.malformed.Add(1)
		m.log.Debug("malformed datagram dropped", zap.Error(steperr.Wrap(err, "decode a datagram", from.String())))
		return
	}
	m.step(func(now time.Time) gossip.Output {
		m.revisionsChanged = true
		return m.node.Receive(now, message)
	})
}

// send sends the packets. One that cannot be sent is counted and dropped.
func (m *Membership) send(packets []gossip.Packet) {
	for i := range packets {
		if err := m.sendPacket(&packets[i]); err != nil {
			m.traffic.unsent.Add(1)
			m.log.Debug("datagram send failed", zap.Error(err))
		}
	}
}

func (m *Membership) sendPacket(packet *gossip.Packet) error {
	to, err := netip.ParseAddrPort(packet.To)
	if err != nil {
		return steperr.Wrap(err, "parse the gossip address", packet.To)
	}
	data, err := Encode(&packet.Message)
	if err != nil {
		return steperr.Wrap(err, "encode a datagram", packet.To)
	}
	if _, err := m.socket.WriteToUDPAddrPort(data, to); err != nil {
		return steperr.Wrap(err, "send a datagram", packet.To)
	}
	m.traffic.sent.Add(uint64(len(data)) + packetOverhead)
	return nil
}
