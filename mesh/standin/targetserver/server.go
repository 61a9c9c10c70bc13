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
	// rebindInterval is the time between attempts to listen again after a crash.
	rebindInterval = 5 * time.Millisecond
	// crashExitCode is the exit status of a process that crashes.
	crashExitCode = 3
)

// Server is one target. It keeps its address and its execution records over crashes.
type Server struct {
	config     Config
	executions executionLog
	slots      chan struct{}
	// outstanding counts the requests that run or wait for a slot.
	outstanding atomic.Int64
	reports     reporter
	announcer   announcer
	control     *http.Server
	address     string
	controlAddr string
	done        chan struct{}

	mu           sync.Mutex
	incarnation  *incarnation
	behaviours   []Behaviour
	leavingSince time.Time
	closed       bool
}

// incarnation is the state of the target from one start to its end or the next crash.
type incarnation struct {
	ctx     context.Context
	cancel  context.CancelFunc
	http    *http.Server
	started time.Time
	served  atomic.Int64
}

// New returns a target that does not listen yet. It fails if the configuration is invalid.
func New(config Config) (*Server, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
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

// Start opens the listeners and begins to announce the target.
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
	s.startIncarnation(listener)
	s.announcer.start(s)
	return nil
}

// Addr returns the address for requests.
func (s *Server) Addr() string { return s.address }

// ControlAddr returns the address of the control endpoints.
func (s *Server) ControlAddr() string { return s.controlAddr }

// ExecutionRecords returns a record of every request that was started so far.
func (s *Server) ExecutionRecords() []ExecutionRecord { return s.executions.snapshot() }

// Outstanding returns the number of requests that run or wait for a slot.
func (s *Server) Outstanding() int { return int(s.outstanding.Load()) }

// SetBehaviours replaces the behaviours. It fails, and changes nothing, if one is invalid.
func (s *Server) SetBehaviours(behaviours []Behaviour) error {
	if err := validateBehaviours(behaviours); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviours = behaviours
	return nil
}

// startIncarnation starts an incarnation on a listener.
func (s *Server) startIncarnation(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	inc := &incarnation{ctx: ctx, cancel: cancel, started: time.Now()}
	inc.http = &http.Server{
		Handler:     s.requestHandler(inc),
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		cancel()
		_ = listener.Close()
		return
	}
	s.incarnation = inc
	go func() { _ = inc.http.Serve(listener) }()
}

// crash ends an incarnation at once and schedules the restart. Further crashes of the same
// incarnation have no effect.
func (s *Server) crash(inc *incarnation) {
	s.mu.Lock()
	isCurrent := s.incarnation == inc
	if isCurrent {
		s.incarnation = nil
	}
	s.mu.Unlock()
	if !isCurrent {
		return
	}
	if s.config.Crash.Exit {
		os.Exit(crashExitCode)
	}
	inc.cancel()
	_ = inc.http.Close()
	go s.restart()
}

// restart listens at the previous address again after the configured delay.
func (s *Server) restart() {
	delay := s.config.Crash.RestartAfter.Std()
	for {
		select {
		case <-time.After(delay):
		case <-s.done:
			return
		}
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.startIncarnation(listener)
			return
		}
		delay = rebindInterval
	}
}

// currentIncarnation returns the running incarnation, or nil between a crash and the restart.
func (s *Server) currentIncarnation() *incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// Drain sends the leave notice to the daemon, accepts requests for the linger time and then
// finishes those in flight. It returns early with the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.leavingSince = time.Now()
	s.mu.Unlock()
	s.announcer.leave(ctx, s)
	select {
	case <-time.After(s.config.Linger.Std()):
	case <-ctx.Done():
		return ctx.Err()
	}
	if inc := s.currentIncarnation(); inc != nil {
		return inc.http.Shutdown(ctx)
	}
	return nil
}

// Close stops the target at once, without notice to the daemon.
func (s *Server) Close() {
	s.announcer.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	if s.incarnation != nil {
		s.incarnation.cancel()
		_ = s.incarnation.http.Close()
	}
	if s.control != nil {
		_ = s.control.Close()
	}
}
