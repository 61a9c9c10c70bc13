package peer

import (
	"context"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// localHost serves requests to the own host over an in-memory connection.
type localHost struct {
	self    Identity
	calls   RequestHandler
	control ControlHandler
	log     *zap.Logger
}

func (l *localHost) openCall() *Stream {
	near, far := newMemoryPair()
	server := newStream(far, l.self, false, 0, nil)
	go l.serve(server)
	return newStream(near, l.self, true, 0, nil)
}

func (l *localHost) serve(stream *Stream) {
	defer stream.conn.Close()
	frame := &peerpb.CallFrame{}
	if stream.receiveHead(frame) != nil {
		return
	}
	stream.serve(context.Background(), l.calls, frame, l.log)
}
