package peer

import (
	"context"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// localHost serves requests to the own host over an in-memory connection.
type localHandlers struct {
	self     Identity
	requests RequestHandler
	control  ControlHandler
	log      *zap.Logger
}

func (l *localHandlers) openStream() *Stream {
	clientConn, serverConn := newMemoryConns()
	serverStream := newStream(serverConn, l.self, false, 0, nil)
	go l.serve(serverStream)
	return newStream(clientConn, l.self, true, 0, nil)
}

func (l *localHandlers) serve(stream *Stream) {
	defer stream.conn.Close()
	frame := &peerpb.CallFrame{}
	if stream.receiveHead(frame) != nil {
		return
	}
	stream.serve(context.Background(), l.requests, frame, l.log)
}
