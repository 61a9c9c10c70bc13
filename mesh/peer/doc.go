// Package peer carries control requests and calls between daemons, as
// length-delimited protobuf frames. Control requests travel on the streams of
// a session, which is one TCP connection multiplexed by yamux. Calls travel on
// connections of their own, which are kept and reused with one call in flight
// on each, so that a large body never delays another call.
package peer

import "sassafrasnotch.example/mesh/peer/peerpb"

// ProtocolVersion is the version of the protocol that daemons speak to each other.
const ProtocolVersion = 1

// Identity names a daemon.
type Identity struct {
	Host        string
	Zone        string
	Incarnation uint64
}

func (i Identity) hello(carries peerpb.StreamKind) *peerpb.Hello {
	return &peerpb.Hello{
		Carries:     carries,
		Protocol:    ProtocolVersion,
		Host:        i.Host,
		Zone:        i.Zone,
		Incarnation: i.Incarnation,
	}
}
