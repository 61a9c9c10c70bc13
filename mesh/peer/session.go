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
	// idleProbeFactor is the number of keepalive intervals between the probes
	// of a session without a stream in use.
	idleProbeIntervals = 20
	// idleTimeout is the time after which the dialing side closes a session
	// without use.
	sessionIdleTimeout = time.Minute
	// streamBacklog bounds the streams that wait to be accepted.
	acceptBacklog = 256
)

// session is one TCP connection to another daemon that carries control
// requests.
type session struct {
	mux    *yamux.Session
	remote Identity
	log    *zap.Logger
	counts *byteCounts

	// busy counts the streams in use.
	inUse    atomic.Int64
	lastUsed atomic.Int64 // Unix nanoseconds
	// suspicion holds a token when the session is to be probed at once.
	probeRequested chan struct{}

	// retired is set when no further stream can be opened.
	retired atomic.Bool

	mu                 sync.Mutex
	idleControlStreams []*controlStream
}

// byteCounts counts the bytes spent on control.
type byteCounts struct{ sent, received atomic.Uint64 }

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

func muxConfig(s settings.Peer, log *zap.Logger) *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.EnableKeepAlive = false // keepalive below probes by use
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

// keepalive probes the session until it is closed: each interval while a
// stream is in use, at once when a request on it was given up, rarely otherwise.
// A probe unanswered for one interval closes the session, which fails all its
// streams.
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

// suspect has the session probed because a request on it was given up.
func (s *session) requestProbe() {
	select {
	case s.probeRequested <- struct{}{}:
	default:
	}
}

// probe reports whether the other end answered within the keepalive interval.
func (s *session) probe() bool {
	if _, err := s.mux.Ping(); err == nil {
		return true
	}
	s.close("no answer to a probe")
	return false
}

func (s *session) idleExpired(now time.Time) bool {
	if s.inUse.Load() > 0 {
		return false
	}
	return now.UnixNano()-s.lastUsed.Load() > int64(sessionIdleTimeout)
}

func (s *session) recordUse() { s.lastUsed.Store(time.Now().UnixNano()) }

// acquire marks a stream as in use; release ends the use.
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
