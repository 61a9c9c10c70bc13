package peer

import (
	"net"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// serveCalls serves a call connection until it is closed or out of order. A
// connection that is in order is closed with a goodbye.
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
		// The handler may keep parts of the frame.
		frame := &peerpb.CallFrame{}
		if err := stream.receiveHead(frame); err != nil {
			s.logStreamEnd(remote, "read call", err)
			s.closeAfterReadError(conn)
			return
		}
		if !s.beginRequest(conn) {
			discardInput(conn) // the goodbye was said by beginShutdown
			return
		}
		reusable, orderly := stream.serve(s.ctx, s.requests, frame, s.log)
		if !orderly {
			conn.Close() // before it can pass for an idle one
		}
		if s.endRequest(conn) && reusable {
			continue
		}
		s.refuseRequests(conn)
		return
	}
}

// refuseCalls closes a connection in order: what else comes in on it is not
// read.
func (s *Server) refuseRequests(conn net.Conn) {
	sendCloseFrame(conn)
	discardInput(conn)
}

// leaveIdle ends a connection on which no call came.
func (s *Server) closeAfterReadError(conn net.Conn) {
	if s.beginRequest(conn) {
		defer s.endRequest(conn)
		sendCloseFrame(conn)
	}
	discardInput(conn)
}

// addCalling counts a call connection of the host, unless it has too many.
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
