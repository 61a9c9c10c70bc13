package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/settings"
)

const (
	// idleProbeIntervals is the number of keepalive intervals between two probes of a session
	// without a stream in use.
	idleProbeIntervals = 20
	// sessionIdleTimeout is the time after which the dialing side closes an unused session.
	sessionIdleTimeout = time.Minute
	// acceptBacklog bounds the streams of a session that wait to be accepted.
	acceptBacklog = 256
)

// session is one TCP connection to or from another daemon, multiplexed by yamux, that carries
// control requests.
type session struct {
	mux    *yamux.Session
	remote Identity
	log    *zap.Logger
	counts *byteCounts

	// inUse counts the streams in use.
	inUse    atomic.Int64
	lastUsed atomic.Int64 // Unix nanoseconds
	// probeRequested holds a token if the session is to be probed at once.
	probeRequested chan struct{}

	// retired is set once opening a stream has failed; no further stream is opened.
	retired atomic.Bool

	mu                 sync.Mutex // guards idleControlStreams
	idleControlStreams []*controlStream
}

// byteCounts counts the bytes of control frames, pings and keepalive frames.
type byteCounts struct{ sent, received atomic.Uint64 }

// newSession starts a yamux session on a connection after its handshake. Its caller runs keepalive.
func newSession(conn net.Conn, remote Identity, dialed bool, s settings.Peer, counts *byteCounts, log *zap.Logger) (*session, error) {
	openMux := yamux.Server
	if dialed {
		openMux = yamux.Client
	}
	mux, err := openMux(newCoalescingConn(conn, counts), muxConfig(s, log))
	if err != nil {
		return nil, stepError(ErrHandshake, "start session", remote.Host, err)
	}
	created := &session{
		mux:            mux,
		remote:         remote,
		log:            log,
		counts:         counts,
		probeRequested: make(chan struct{}, 1),
	}
	created.recordUse()
	return created, nil
}

// muxConfig returns the yamux configuration. yamux logs only if the debug level is enabled.
func muxConfig(s settings.Peer, log *zap.Logger) *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.EnableKeepAlive = false // replaced by the method keepalive, whose interval depends on use
	config.ConnectionWriteTimeout = s.Keepalive.Std()
	config.StreamOpenTimeout = 0
	config.StreamCloseTimeout = 4 * s.Keepalive.Std()
	config.LogOutput = io.Discard
	if log.Core().Enabled(zap.DebugLevel) {
		config.LogOutput = nil
		config.Logger = zap.NewStdLog(log)
	}
	return config
}

// keepalive probes the session until it is closed: at each interval while a stream is in use, at
// once (but not twice within an interval) after a request on the session has failed or was
// abandoned, and at every idleProbeIntervals intervals otherwise. A probe without a response within
// one interval closes the session, which fails all its streams. If closeIdle is set, an idle
// session is closed after sessionIdleTimeout.
func (s *session) keepalive(interval time.Duration, closeIdle bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	probed := false // since the last tick
	for tick := 1; ; {
		due := false
		select {
		case <-s.mux.CloseChan():
			return
		case <-s.probeRequested:
			due = !probed
			probed = true
		case <-ticker.C:
			due = s.inUse.Load() > 0 || tick%idleProbeIntervals == 0
			probed = due
			tick++
		}
		if closeIdle && s.idleExpired(time.Now()) {
			s.close("idle")
			return
		}
		if due && !s.probe() {
			return
		}
	}
}

// requestProbe has the session probed at once, after a request on it has failed or was abandoned.
func (s *session) requestProbe() {
	select {
	case s.probeRequested <- struct{}{}:
	default:
	}
}

// probe pings the other end and reports whether it responded within the keepalive interval. It
// closes the session otherwise.
func (s *session) probe() bool {
	if _, err := s.mux.Ping(); err == nil {
		return true
	}
	s.close("no response to a probe")
	return false
}

// idleExpired reports whether the session has been unused for longer than sessionIdleTimeout.
func (s *session) idleExpired(now time.Time) bool {
	if s.inUse.Load() > 0 {
		return false
	}
	return now.UnixNano()-s.lastUsed.Load() > int64(sessionIdleTimeout)
}

func (s *session) recordUse() { s.lastUsed.Store(time.Now().UnixNano()) }

// acquire counts one more stream in use, release one less.
func (s *session) acquire() { s.inUse.Add(1) }

func (s *session) release() {
	s.recordUse()
	s.inUse.Add(-1)
}

func (s *session) closed() bool { return s.mux.IsClosed() }

func (s *session) close(reason string) {
	if s.closed() {
		return
	}
	s.log.Info("session closed", zap.String("peer", s.remote.Host), zap.String("reason", reason))
	s.mux.Close()
}
