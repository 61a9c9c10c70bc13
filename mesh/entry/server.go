package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/clientmemory"
	"sassafrasnotch.example/mesh/settings"
)

const (
	// headerTimeout bounds the arrival of a request's header, idleTimeout the wait for the
	// next request on a connection, where the configuration sets no lower limits.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// refusalPeriod is the value of Server.refusalPeriod outside tests.
	refusalPeriod = 500 * time.Millisecond
	// idlePolls is the number of checks in a row without a request after which none is in flight: between
	// two requests of a connection that were read together none is counted for a moment.
	idlePolls = 2
	// connectionPollInterval is the interval at which a stopping server checks whether all
	// connections are closed.
	connectionPollInterval = 10 * time.Millisecond
	// expiryInterval is the interval between checks for connections that exceed the limits.
	expiryInterval = time.Second
	// refusedConnDivisor sets how many connections beyond the limit are accepted only to be
	// refused with a response: MaxConnections divided by it, at least one.
	refusedConnDivisor = 10
)

// Server serves the port that callers use, within its limits.
type Server struct {
	entry           *Entry
	http            *http.Server
	maxConnections  int64
	openConnections atomic.Int64
	// refusalPeriod is the longest time that a stopping server refuses requests before it closes
	// idle connections.
	refusalPeriod time.Duration
	// lameDuckPeriod is how long a stopping server continues to serve new requests.
	lameDuckPeriod atomic.Int64 // nanoseconds

	memory       *clientmemory.Memory // nil has no limit
	waitingConns *waitingConns
	listener     atomic.Pointer[net.Listener] // nil before Serve
}

// ConnectionLimit returns the highest MaxConnections with which a server holds at most that many
// descriptors.
func ConnectionLimit(descriptors int) int {
	return max(descriptors*refusedConnDivisor/(refusedConnDivisor+1)-1, 1)
}

// NewServer returns a server for the entry. For a connection beyond settings.MaxConnections the one that
// has waited longest for a request is closed. If none can be spared, the connection receives a refusal
// and is closed; those more than a tenth beyond the limit are closed without a response.
func NewServer(settings settings.Entry, entry *Entry, log *zap.Logger) *Server {
	server := &Server{entry: entry, maxConnections: int64(settings.MaxConnections), refusalPeriod: refusalPeriod, waitingConns: newWaitingConns()}
	server.SetLameDuckPeriod(settings.LameDuck.Std())
	entry.tenantShares.freeConnections = func() int { return int(server.maxConnections - server.openConnections.Load()) }
	server.http = &http.Server{
		Handler:           entry,
		MaxHeaderBytes:    settings.MaxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      maxTimeout + headerTimeout,
		ConnContext:       server.connContext,
		ConnState:         server.waitingConns.track,
		ErrorLog:          zap.NewStdLog(log),
		// Otherwise net/http would respond to OPTIONS * itself.
		DisableGeneralOptionsHandler: true,
	}
	return server
}

// SetLameDuckPeriod changes how long a stopping server continues to serve new requests.
func (s *Server) SetLameDuckPeriod(period time.Duration) { s.lameDuckPeriod.Store(int64(period)) }

// Serve accepts connections until the server is shut down, then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	defer s.startExpiry()()
	s.listener.Store(&listener)
	err := s.http.Serve(&limitedListener{Listener: listener, server: s})
	if errors.Is(err, http.ErrServerClosed) || s.entry.leaving.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Shutdown refuses new requests, waits for those in flight and closes the connections. For
// up to refusalPeriod before it closes the port, and for as long as requests are in flight, callers
// receive refusals, which state that this daemon is leaving. On a connection closed at once a request
// could be on its way or wait behind another one, and its caller would not know that it was not run.
func (s *Server) Shutdown(ctx context.Context) error {
	s.entry.Leave()
	s.awaitNoConnections(ctx)
	s.closeListener()
	s.waitingConns.closeUnused()
	s.awaitNothingServed(ctx)
	err := s.http.Shutdown(ctx)
	s.awaitNoConnections(ctx) // those that linger
	return err
}

// awaitNothingServed waits until no request is served. While http.Server shuts down, it closes each
// connection after the current response, though a further request was read.
func (s *Server) awaitNothingServed(ctx context.Context) {
	ticker := time.NewTicker(connectionPollInterval)
	defer ticker.Stop()
	for idle := 0; idle < idlePolls; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if idle++; s.entry.serving.Load() > 0 {
			idle = 0
		}
	}
}

// closeListener makes the server accept no further connections.
func (s *Server) closeListener() {
	if listener := s.listener.Load(); listener != nil {
		_ = (*listener).Close()
	}
}

// startExpiry closes connections that exceed the limits of the configuration in force,
// until the returned function is called.
func (s *Server) startExpiry() (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(expiryInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				s.waitingConns.expire(now, s.entry.limits())
			}
		}
	}()
	return func() { close(done) }
}

// RunLameDuck continues to serve new requests for the lame-duck period, in which callers find out
// that this daemon is leaving. Each connection is closed after its next response. Call it before
// Shutdown.
func (s *Server) RunLameDuck(ctx context.Context) {
	s.entry.DisableKeepAlives()
	period := time.Duration(s.lameDuckPeriod.Load())
	if period <= 0 {
		return
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitNoConnections waits until no connection is open, at most for refusalPeriod.
func (s *Server) awaitNoConnections(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.refusalPeriod)
	defer cancel()
	ticker := time.NewTicker(connectionPollInterval)
	defer ticker.Stop()
	for s.openConnections.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// CloseLongestIdle closes the connection that has waited longest for a request, and reports whether one
// could be spared.
func (s *Server) CloseLongestIdle() bool { return s.waitingConns.closeLongest(time.Now()) }

// Close closes all connections immediately.
func (s *Server) Close() error { return s.http.Close() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return int(s.openConnections.Load()) }

type connKey struct{}

func (s *Server) connContext(ctx context.Context, conn net.Conn) context.Context {
	if counted, ok := conn.(*countedConn); ok {
		ctx = counted.startContext(ctx)
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the caller's connection, or nil if the request has none of its own.
func connOf(ctx context.Context) *countedConn {
	conn, _ := ctx.Value(connKey{}).(*countedConn)
	return conn
}

// overLimit reports whether the request arrived on a connection beyond the limit.
func overLimit(ctx context.Context) bool {
	conn := connOf(ctx)
	return conn != nil && conn.overLimit
}

// resetOnClose makes the close of the request's connection send a TCP reset rather than an
// orderly end.
func resetOnClose(ctx context.Context) {
	conn := connOf(ctx)
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	conn.resets = true
	conn.mutex.Unlock()
	if tcp, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// limitedListener counts connections and closes those far beyond the limit.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		number := l.server.openConnections.Add(1)
		if number > l.server.maxConnections && l.server.CloseLongestIdle() {
			number = l.server.openConnections.Load()
		}
		if number > l.server.maxConnections+max(l.server.maxConnections/refusedConnDivisor, 1) {
			l.server.openConnections.Add(-1)
			_ = conn.Close()
			continue
		}
		counted := newCountedConn(conn, l.server.entry, number > l.server.maxConnections, func() { l.server.openConnections.Add(-1) })
		if !counted.openAccount(l.server.memory) {
			_ = conn.Close()
			counted.onClose()
			continue
		}
		return counted, nil
	}
}
