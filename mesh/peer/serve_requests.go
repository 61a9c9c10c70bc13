package peer

import (
	"net"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// serveRequests serves a request connection until it is closed or can't be reused. Unless a request
// on it has no frame of a response, the server closes it with a close frame.
func (s *Server) serveRequests(conn net.Conn, remote Identity) {
	if !s.addRequestConn(remote.Host) {
		s.refuseRequests(conn)
		return
	}
	defer s.removeRequestConn(remote.Host)
	if !s.addIdle(conn) {
		s.refuseRequests(conn)
		return
	}
	defer s.removeIdle(conn)
	stream := newStream(conn, remote, false, s.settings.Keepalive.Std(), &s.controlBytes)
	for {
		// Each request has a frame of its own, since the handler may keep parts of it.
		frame := &peerpb.CallFrame{}
		if err := stream.receiveHead(frame); err != nil {
			s.logStreamEnd(remote, "read call", err)
			s.closeAfterReadError(conn)
			return
		}
		if !s.beginRequest(conn) {
			discardInput(conn) // beginShutdown has sent the close frame
			return
		}
		reusable, responded := stream.serve(s.ctx, s.requestHandler, frame, s.log)
		if !responded {
			conn.Close() // before endRequest, so that no close frame is sent on it
		}
		if s.endRequest(conn) && reusable {
			continue
		}
		s.refuseRequests(conn)
		return
	}
}

// refuseRequests closes a connection gracefully: no request that still arrives on it is read.
func (s *Server) refuseRequests(conn net.Conn) {
	sendCloseFrame(conn)
	discardInput(conn)
}

// closeAfterReadError closes a connection on which no head of a request could be read, with a close
// frame unless beginShutdown has sent one.
func (s *Server) closeAfterReadError(conn net.Conn) {
	if s.beginRequest(conn) {
		defer s.endRequest(conn)
		sendCloseFrame(conn)
	}
	discardInput(conn)
}

// addRequestConn counts a request connection of the host. It returns false, without counting, if
// the host already has MaxStreams of them.
func (s *Server) addRequestConn(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requestConns[host] >= s.settings.MaxStreams {
		return false
	}
	s.requestConns[host]++
	return true
}

func (s *Server) removeRequestConn(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestConns[host]--
	if s.requestConns[host] == 0 {
		delete(s.requestConns, host)
	}
}
