package targetserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	rebindPause   = 5 * time.Millisecond
	crashExitCode = 3
)

// Server is one target.
type Server struct {
	config  Config
	witness witness
	slots   chan struct{}
	// outstanding counts the requests that run or wait for a slot.
	outstanding atomic.Int64
	reports     reporter
	announcer   announcer
	control     *http.Server
	address     string
	controlAddr string
	done        chan struct{}

	mu         sync.Mutex
	life       *life
	behaviours []Behaviour
	leftAt     time.Time
	closed     bool
}

// life is the span from a start of the target to its end or next crash.
type life struct {
	ctx     context.Context
	cancel  context.CancelFunc
	http    *http.Server
	started time.Time
	served  atomic.Int64
}

// New returns a target that does not listen yet.
func New(config Config) (*Server, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	s := &Server{
		config:     config,
		slots:      make(chan struct{}, config.Slots),
		behaviours: config.Behaviours,
		done:       make(chan struct{}),
	}
	s.reports.config = config.Reports
	return s, nil
}

// Start listens and begins to announce the target.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.config.Listen)
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", s.config.Control)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	s.address = listener.Addr().String()
	s.controlAddr = control.Addr().String()
	s.control = &http.Server{Handler: s.controlHandler()}
	go func() { _ = s.control.Serve(control) }()
	s.begin(listener)
	s.announcer.start(s)
	return nil
}

// Addr returns the address for requests.
func (s *Server) Addr() string { return s.address }

// ControlAddr returns the address of the control endpoints.
func (s *Server) ControlAddr() string { return s.controlAddr }

// ExecutionRecords returns a record of every request that ran so far.
func (s *Server) ExecutionRecords() []ExecutionRecord { return s.witness.snapshot() }

// Outstanding returns the number of requests that run or wait for a slot.
func (s *Server) Outstanding() int { return int(s.outstanding.Load()) }

// SetBehaviours replaces the behaviours.
func (s *Server) SetBehaviours(behaviours []Behaviour) error {
	if err := checkBehaviours(behaviours); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviours = behaviours
	return nil
}

// begin starts a life on a listener.
func (s *Server) begin(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{ctx: ctx, cancel: cancel, started: time.Now()}
	l.http = &http.Server{
		Handler:     s.requestHandler(l),
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		cancel()
		_ = listener.Close()
		return
	}
	s.life = l
	go func() { _ = l.http.Serve(listener) }()
}

// crash ends a life at once. Only the first request that crashes it counts.
func (s *Server) crash(l *life) {
	s.mu.Lock()
	current := s.life == l
	if current {
		s.life = nil
	}
	s.mu.Unlock()
	if !current {
		return
	}
	if s.config.Crash.Exit {
		os.Exit(crashExitCode)
	}
	l.cancel()
	_ = l.http.Close()
	go s.restart()
}

// restart listens at the old address again after the configured time.
func (s *Server) restart() {
	pause := s.config.Crash.RestartAfter.Std()
	for {
		select {
		case <-time.After(pause):
		case <-s.done:
			return
		}
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.begin(listener)
			return
		}
		pause = rebindPause
	}
}

// current returns the present life, or nil between a crash and the restart.
func (s *Server) current() *life {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

// Drain announces that the target leaves, accepts requests for the linger time
// and then finishes those in flight. It returns early with ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.leftAt = time.Now()
	s.mu.Unlock()
	s.announcer.leave(ctx, s)
	select {
	case <-time.After(s.config.Linger.Std()):
	case <-ctx.Done():
		return ctx.Err()
	}
	if l := s.current(); l != nil {
		return l.http.Shutdown(ctx)
	}
	return nil
}

// Close ends the target at once, without announcing it.
func (s *Server) Close() {
	s.announcer.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	if s.life != nil {
		s.life.cancel()
		_ = s.life.http.Close()
	}
	if s.control != nil {
		_ = s.control.Close()
	}
}
