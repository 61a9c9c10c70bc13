// Package peer carries control requests and callers' requests between daemons, as length-delimited
// protobuf frames. Control requests are sent on the streams of a session, which is one TCP
// connection multiplexed by yamux. Callers' requests are sent on connections of their own (request
// connections). These are kept and reused with one request in flight on each, so that a large body
// never delays another request.
//
// A Pool is the dialing side, a Server the accepting side. Every connection starts with a Hello
// frame in each direction.
package peer

import "sassafrasnotch.example/mesh/peer/peerpb"

// ProtocolVersion is the version of the protocol between daemons; both ends of a connection must
// have the same.
const ProtocolVersion = 1

// Identity names a daemon by its host, the availability zone of the host, and its incarnation,
// which changes with each start of the process.
type Identity struct {
	Host        string
	Zone        string
	Incarnation uint64
}

// hello returns the Hello frame for a connection of the given kind.
func (i Identity) hello(carries peerpb.StreamKind) *peerpb.Hello {
	return &peerpb.Hello{
		Carries:     carries,
		Protocol:    ProtocolVersion,
		Host:        i.Host,
		Zone:        i.Zone,
		Incarnation: i.Incarnation,

		AnswersChecks:    true,
		ConfirmsDispatch: true,
	}
}
