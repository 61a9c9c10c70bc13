package peer

import (
	"context"
	"net"
	"sync"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

// RequestHandler serves calls. The first frame holds a CallHead. ServeRequest
// returns whether the exchange was whole, so that the stream can be reused.
type RequestHandler interface {
	ServeRequest(ctx context.Context, from Identity, first *peerpb.CallFrame, s *Stream) (reusable bool)
}

// Server accepts connections from other daemons.
type Server struct {
	self         Identity
	settings     settings.Peer
	control      ControlHandler
	requests     RequestHandler
	log          *zap.Logger
	controlBytes byteCounts
	security     Security // nil without

	ctx    context.Context
	cancel context.CancelFunc

	mu           sync.Mutex
	closing      bool
	listeners    map[net.Listener]struct{}
	conns        map[net.Conn]struct{} // before and after the handshake
	sessions     map[*session]struct{}
	idle         map[net.Conn]struct{} // without a request in flight
	requestConns map[string]int        // call connections by host
	inFlight     int
	drained      chan struct{} // closed when closing and nothing is in flight
	goroutines   sync.WaitGroup
}

// NewServer returns a server; Serve starts it.
func NewServer(self Identity, s settings.Peer, control ControlHandler, requests RequestHandler, log *zap.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		self:         self,
		settings:     s,
		control:      control,
		requests:     requests,
		log:          log,
		ctx:          ctx,
		cancel:       cancel,
		listeners:    make(map[net.Listener]struct{}),
		conns:        make(map[net.Conn]struct{}),
		sessions:     make(map[*session]struct{}),
		idle:         make(map[net.Conn]struct{}),
		requestConns: make(map[string]int),
		drained:      make(chan struct{}),
	}
}

// Serve accepts connections until the listener fails or Shutdown is called; after
// Shutdown it returns nil.
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

func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil
	}
	return stepError(ErrDial, "accept", s.self.Host, err)
}

// Bytes returns the bytes that accepted sessions spent on control.
func (s *Server) Bytes() (sent, received uint64) {
	return s.controlBytes.sent.Load(), s.controlBytes.received.Load()
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.removeConn(conn)
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
	if carries == peerpb.StreamKind_STREAM_KIND_CALL {
		s.serveRequests(conn, remote)
		return
	}
	s.serveSession(conn, remote)
}

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

// Shutdown stops accepting, tells the other ends of idle connections that no
// more is read from them, waits for the requests in flight and closes all
// connections. It cuts what is in flight when the context ends.
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
	s.waitForHandlers(ctx)
	return err
}
