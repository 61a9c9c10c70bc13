package peer

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// peerCloseTimeout bounds the wait for other daemons to close their connections once no request is
// in flight, and the wait for handlers beyond the end of the context of Shutdown.
const peerCloseTimeout = 250 * time.Millisecond

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.conns[conn] = struct{}{}
	s.goroutines.Add(1)
	return true
}

func (s *Server) removeConn(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.goroutines.Done()
}

func (s *Server) addSession(accepted *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.sessions[accepted] = struct{}{}
	return true
}

func (s *Server) removeSession(accepted *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, accepted)
}

// addIdle records a stream or request connection without a request in flight. It returns false if
// the server is closing.
func (s *Server) addIdle(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.idle[conn] = struct{}{}
	return true
}

func (s *Server) removeIdle(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, conn)
}

// beginRequest counts a request in flight. It returns false if the stream was closed for the
// shutdown, in which case the request must not be run.
func (s *Server) beginRequest(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, idle := s.idle[conn]; !idle {
		return false
	}
	delete(s.idle, conn)
	s.inFlight++
	return true
}

// endRequest ends a request in flight and reports whether the stream may carry another one.
func (s *Server) endRequest(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if !s.closing {
		s.idle[conn] = struct{}{}
		return true
	}
	if s.inFlight == 0 {
		close(s.drained)
	}
	return false
}

// beginShutdown closes the listeners and the streams without a request in flight. The close
// informs the other ends that nothing more is read from these streams.
func (s *Server) beginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return
	}
	s.closing = true
	for l := range s.listeners {
		l.Close()
	}
	for accepted := range s.sessions {
		go accepted.mux.GoAway()
	}
	for conn := range s.idle {
		delete(s.idle, conn)
		go closeIdleConn(conn)
	}
	if s.inFlight == 0 {
		close(s.drained)
	}
}

// closeIdleConn closes a stream, or the sending direction of a request connection with a close
// frame. No request is in flight on either.
func closeIdleConn(conn net.Conn) {
	if _, multiplexed := conn.(*yamux.Stream); multiplexed {
		conn.Close()
		return
	}
	sendCloseFrame(conn)
}

// waitForPeerClose gives the other daemons time to read the last responses and close their
// connections.
func (s *Server) waitForPeerClose(ctx context.Context) {
	timer := time.NewTimer(peerCloseTimeout)
	defer timer.Stop()
	for s.connCount() > 0 {
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-time.After(peerCloseTimeout / 50):
		}
	}
}

// waitForGoroutines waits for all goroutines of the server, but at most peerCloseTimeout beyond the
// end of ctx, since a handler may ignore the end of its own context.
func (s *Server) waitForGoroutines(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.goroutines.Wait()
	}()
	select {
	case <-ended:
		return
	case <-ctx.Done():
	}
	select {
	case <-ended:
	case <-time.After(peerCloseTimeout):
	}
}

func (s *Server) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closeConns closes all connections and sessions.
func (s *Server) closeConns() {
	s.mu.Lock()
	sessions := make([]*session, 0, len(s.sessions))
	for accepted := range s.sessions {
		sessions = append(sessions, accepted)
	}
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	for _, accepted := range sessions {
		accepted.close("shutting down")
	}
}
