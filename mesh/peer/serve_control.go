package peer

import (
	"bufio"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

var errStreamKind = errors.New("stream header does not have the kind STREAM_KIND_CONTROL")

// headerTimeout bounds the wait for the header, which is the first frame of a stream.
const headerTimeout = 5 * time.Second

// serveControlStream reads the header of a stream and serves its control requests.
func (s *Server) serveControlStream(accepted *session, conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(headerTimeout))
	reader := newFrameReader(conn)
	var header peerpb.StreamHeader
	if err := readFrame(reader, &header, maxHelloFrame); err != nil {
		s.logStreamEnd(accepted.remote, "read stream header", err)
		return
	}
	conn.SetReadDeadline(time.Time{})
	if header.Kind != peerpb.StreamKind_STREAM_KIND_CONTROL {
		s.logStreamEnd(accepted.remote, "read stream header", errStreamKind)
		return
	}
	s.serveControlRequests(accepted, conn, reader)
}

// serveControlRequests serves one control request at a time until the stream or the server is
// closed.
func (s *Server) serveControlRequests(accepted *session, conn net.Conn, reader *bufio.Reader) {
	for {
		req := &peerpb.ControlRequest{}
		if err := readFrame(reader, req, maxControlFrame); err != nil {
			s.logStreamEnd(accepted.remote, "read control request", err)
			return
		}
		if !s.beginRequest(conn) {
			return
		}
		accepted.acquire()
		s.controlBytes.received.Add(uint64(frameSize(req) + muxHeaderBytes))
		reply := s.controlHandler.ServeControl(s.ctx, accepted.remote, req)
		sent, err := writeFrame(conn, reply, maxControlFrame)
		s.controlBytes.sent.Add(uint64(sent + muxHeaderBytes))
		accepted.release()
		if !s.endRequest(conn) || err != nil {
			return
		}
	}
}

// logStreamEnd logs the error that ended a stream or request connection. That includes a graceful
// end.
func (s *Server) logStreamEnd(from Identity, step string, err error) {
	s.log.Debug("stream ended", zap.String("peer", from.Host), zap.String("step", step), zap.Error(err))
}
