package peer

import (
	"context"
	"net"
	"sync"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/clientmemory"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

// RequestHandler serves the requests that other daemons, or the local host, forward. The first
// frame holds a CallHead. ServeRequest sends the response on the stream and returns whether the
// exchange is complete, so that the stream can be reused. It may keep the first frame.
type RequestHandler interface {
	ServeRequest(ctx context.Context, from Identity, first *peerpb.CallFrame, s *Stream) (reusable bool)
}

// Server accepts connections from other daemons and serves the requests on them.
type Server struct {
	self           Identity
	settings       settings.Peer
	controlHandler ControlHandler
	requestHandler RequestHandler
	log            *zap.Logger
	controlBytes   byteCounts
	security       Security // nil if connections are not secured
	memory         *clientmemory.Memory

	ctx    context.Context
	cancel context.CancelFunc

	mu           sync.Mutex // guards the fields down to drained
	closing      bool
	listeners    map[net.Listener]struct{}
	conns        map[net.Conn]struct{} // before and after the handshake
	sessions     map[*session]struct{}
	idle         map[net.Conn]struct{} // streams and request connections without a request in flight
	requestConns map[string]int        // number of request connections by host
	inFlight     int                   // number of requests
	drained      chan struct{}         // closed when closing and nothing is in flight
	goroutines   sync.WaitGroup
}

// NewServer returns a server of the daemon self. Serve starts it, Shutdown stops it.
func NewServer(self Identity, s settings.Peer, controlHandler ControlHandler, requestHandler RequestHandler, log *zap.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		self:           self,
		settings:       s,
		controlHandler: controlHandler,
		requestHandler: requestHandler,
		log:            log,
		ctx:            ctx,
		cancel:         cancel,
		listeners:      make(map[net.Listener]struct{}),
		conns:          make(map[net.Conn]struct{}),
		sessions:       make(map[*session]struct{}),
		idle:           make(map[net.Conn]struct{}),
		requestConns:   make(map[string]int),
		drained:        make(chan struct{}),
	}
}

// UseMemory makes accepted connections count in the memory. It must be called before Serve.
func (s *Server) UseMemory(m *clientmemory.Memory) { s.memory = m }

// Serve accepts connections until the listener fails or Shutdown is called. It returns nil after
// Shutdown, else an error that wraps ErrDial.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		l.Close()
		return nil
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return s.acceptError(err)
		}
		conn = s.wrapTLS(conn)
		if !s.addConn(conn) {
			conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

// acceptError returns the error of Serve after a failed accept.
func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil
	}
	return stepError(ErrDial, "accept", s.self.Host, err)
}

// Bytes returns the control bytes sent and received on accepted connections, counted as those of a
// Pool.
func (s *Server) Bytes() (sent, received uint64) {
	return s.controlBytes.sent.Load(), s.controlBytes.received.Load()
}

// serveConn performs the handshakes and serves what the connection carries.
func (s *Server) serveConn(conn net.Conn) {
	defer s.removeConn(conn)
	account, granted := s.memory.Open(clientmemory.ConnBytes, func() { _ = conn.Close() })
	if !granted {
		return
	}
	defer account.Release()
	account.AwaitClient(true) // until the handshakes are done
	if err := s.tlsHandshake(conn); err != nil {
		s.log.Warn("connection refused", zap.Error(err))
		return
	}
	remote, carries, err := acceptHandshake(conn, s.self)
	if err == nil {
		err = s.verifyHost(conn, remote.Host)
	}
	if err != nil {
		s.log.Warn("connection refused", zap.Error(err))
		return
	}
	account.AwaitClient(false)
	if carries == peerpb.StreamKind_STREAM_KIND_CALL {
		s.serveRequests(conn, remote)
		return
	}
	s.serveSession(conn, remote)
}

// serveSession serves the streams of a session until the session is closed.
func (s *Server) serveSession(conn net.Conn, remote Identity) {
	accepted, err := newSession(conn, remote, false, s.settings, &s.controlBytes, s.log)
	if err != nil {
		s.log.Warn("session refused", zap.Error(err))
		return
	}
	if !s.addSession(accepted) {
		accepted.close("shutting down")
		return
	}
	defer s.removeSession(accepted)
	s.goroutines.Go(func() { accepted.keepalive(s.settings.Keepalive.Std(), false) })
	s.acceptStreams(accepted)
}

// acceptStreams serves each stream of the session in a goroutine of its own, and closes those above
// the limit.
func (s *Server) acceptStreams(accepted *session) {
	for {
		conn, err := accepted.mux.AcceptStream()
		if err != nil {
			accepted.close("accept failed")
			return
		}
		if accepted.mux.NumStreams() > s.settings.MaxStreams || !s.addIdle(conn) {
			conn.Close()
			continue
		}
		s.goroutines.Go(func() {
			defer conn.Close()
			defer s.removeIdle(conn)
			s.serveControlStream(accepted, conn)
		})
	}
}

// Shutdown stops accepting, informs the other ends of idle connections that nothing more is read
// from them, waits for the requests in flight and closes all connections. When the context ends, it
// aborts the requests in flight and returns an error that wraps ErrStream.
func (s *Server) Shutdown(ctx context.Context) error {
	s.beginShutdown()
	var err error
	select {
	case <-s.drained:
	case <-ctx.Done():
		err = stepError(ErrStream, "shut down", s.self.Host, ctx.Err())
	}
	s.waitForPeerClose(ctx)
	s.cancel()
	s.closeConns()
	s.waitForGoroutines(ctx)
	return err
}
