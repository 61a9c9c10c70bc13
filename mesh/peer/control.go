package peer

import (
	"bufio"
	"context"
	"net"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// ControlHandler serves control requests, those of other daemons and those that the local host
// sends to itself. The reply must not be nil.
type ControlHandler interface {
	ServeControl(ctx context.Context, from Identity, req *peerpb.ControlRequest) *peerpb.ControlReply
}

// controlStream is a stream of a session. It carries one control request at a time.
type controlStream struct {
	conn   net.Conn
	reader *bufio.Reader
}

// openControlStream opens a stream and sends its header, which states that it carries control
// requests.
func (s *session) openControlStream() (net.Conn, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		s.retired.Store(true)
		return nil, stepError(ErrDial, "open stream", s.remote.Host, err)
	}
	header := &peerpb.StreamHeader{Kind: peerpb.StreamKind_STREAM_KIND_CONTROL}
	if _, err := writeFrame(conn, header, maxHelloFrame); err != nil {
		conn.Close()
		return nil, stepError(ErrDial, "send stream header", s.remote.Host, err)
	}
	return conn, nil
}

// control sends a control request on an idle or new control stream and returns the reply. After an
// error the stream is closed and the session probed.
func (s *session) control(ctx context.Context, req *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	stream, err := s.acquireControlStream()
	if err != nil {
		return nil, err
	}
	reply, err := s.roundTrip(ctx, stream, req)
	if err != nil {
		stream.conn.Close()
		s.requestProbe()
		return nil, err
	}
	s.releaseControlStream(stream)
	return reply, nil
}

// roundTrip sends a control request on the stream and reads the reply, until the context ends.
func (s *session) roundTrip(ctx context.Context, stream *controlStream, req *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	stop := context.AfterFunc(ctx, func() { stream.conn.SetDeadline(pastDeadline) })
	defer stop()
	sent, err := writeFrame(stream.conn, req, maxControlFrame)
	if err != nil {
		return nil, stepError(ErrStream, "send control request", s.remote.Host, err)
	}
	s.counts.sent.Add(uint64(sent + muxHeaderBytes))
	reply := &peerpb.ControlReply{}
	if err := readFrame(stream.reader, reply, maxControlFrame); err != nil {
		return nil, stepError(ErrStream, "receive control reply", s.remote.Host, err)
	}
	s.counts.received.Add(uint64(frameSize(reply) + muxHeaderBytes))
	if !stop() {
		return nil, stepError(ErrStream, "receive control reply", s.remote.Host, ctx.Err())
	}
	return reply, nil
}

func (s *session) acquireControlStream() (*controlStream, error) {
	s.mu.Lock()
	if last := len(s.idleControlStreams) - 1; last >= 0 {
		stream := s.idleControlStreams[last]
		s.idleControlStreams = s.idleControlStreams[:last]
		s.mu.Unlock()
		return stream, nil
	}
	s.mu.Unlock()
	conn, err := s.openControlStream()
	if err != nil {
		return nil, err
	}
	return &controlStream{conn: conn, reader: newFrameReader(conn)}, nil
}

func (s *session) releaseControlStream(stream *controlStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleControlStreams = append(s.idleControlStreams, stream)
}
