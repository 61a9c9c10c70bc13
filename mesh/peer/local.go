package peer

import (
	"context"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// localHandlers serves the requests of the local host to itself: a request on a stream over an
// in-memory connection, a control request by a direct call of its handler.
type localHandlers struct {
	self           Identity
	requestHandler RequestHandler
	controlHandler ControlHandler
	log            *zap.Logger
}

// openStream returns the dialing side of a stream for one request.
func (l *localHandlers) openStream() *Stream {
	clientConn, serverConn := newMemoryConns()
	serverStream := newStream(serverConn, l.self, false, 0, nil)
	go l.serve(serverStream)
	return newStream(clientConn, l.self, true, 0, nil)
}

// serve serves the one request of the stream and closes it.
func (l *localHandlers) serve(stream *Stream) {
	defer stream.conn.Close()
	frame := &peerpb.CallFrame{}
	if stream.receiveHead(frame) != nil {
		return
	}
	stream.serve(context.Background(), l.requestHandler, frame, l.log)
}
