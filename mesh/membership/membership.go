// Package membership runs the membership state machine of coord/gossip over
// UDP: it owns the socket, the clock and the published view.
package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/steperr"
)

var errDatagram = errorx.NewNamespace("membership").NewType("datagram")

// Config configures a Membership.
type Config struct {
	// Listen is the UDP address that all packets are sent from and received
	// on.
	Listen string
	// Gossip holds the tunables of the state machine.
	Gossip gossip.Config
}

// Membership keeps the view of all members current. Its methods may be called
// from any goroutine.
type Membership struct {
	log    *zap.Logger
	config Config

	mu     sync.Mutex // guards node and the order in which the view is published
	node   *gossip.Node
	stale  bool // a revision changed since the view was published
	view   atomic.Pointer[[]gossip.Member]
	events events

	socket  *net.UDPConn
	cancel  context.CancelFunc
	done    sync.WaitGroup
	traffic traffic
}

// New opens the UDP socket. An empty GossipAddress in self is replaced by the
// socket's address, and an Incarnation of 0 by the present time in
// nanoseconds.
func New(config Config, self gossip.Record, log *zap.Logger) (*Membership, error) {
	address, err := net.ResolveUDPAddr("udp", config.Listen)
	if err != nil {
		return nil, steperr.Wrap(err, "resolve the listen address", config.Listen)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, steperr.Wrap(err, "listen for gossip", config.Listen)
	}
	if self.GossipAddress == "" {
		self.GossipAddress = socket.LocalAddr().String()
	}
	if self.Incarnation == 0 {
		self.Incarnation = uint64(time.Now().UnixNano())
	}
	m := &Membership{
		log:    log.Named("membership"),
		config: config,
		node:   gossip.New(config.Gossip, self, rand.Uint64(), time.Now()),
		socket: socket,
	}
	m.publishView()
	return m, nil
}

// Start begins to exchange messages.
func (m *Membership) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Add(2)
	go m.receiveLoop()
	go m.tickLoop(ctx)
	return nil
}

// Stop ends the exchange and closes the socket. It does not announce that the
// host leaves; see Leave.
func (m *Membership) Stop(context.Context) error {
	if m.cancel != nil {
		m.cancel()
	}
	err := m.socket.Close()
	m.done.Wait()
	return steperr.Wrap(err, "close the gossip socket", m.config.Listen)
}

// Members returns all members in the order of their hosts, this host included.
// The slice is shared and must not be changed.
func (m *Membership) Members() []gossip.Member { return *m.view.Load() }

// Address returns the UDP address of the socket.
func (m *Membership) Address() string { return m.socket.LocalAddr().String() }

// SetTargets replaces the targets of this host.
func (m *Membership) SetTargets(targets []gossip.Target) {
	m.step(func(now time.Time) gossip.Output { return m.node.SetTargets(now, targets) })
}

// SetRevision sets the configuration revision that the messages state.
func (m *Membership) SetRevision(revision uint64) {
	m.step(func(time.Time) gossip.Output {
		m.node.SetRevision(revision)
		m.stale = true
		return gossip.Output{}
	})
}

// NewestRevision returns the newest revision that any member reported, this
// host included, and the other hosts that reported it.
func (m *Membership) NewestRevision() (revision uint64, hosts []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.NewestRevision()
}

// Leave marks this host as leaving and tells several members at once.
func (m *Membership) Leave() { m.step(m.node.Leave) }

// SetSeeds replaces the gossip addresses through which unknown members are
// found.
func (m *Membership) SetSeeds(addresses []string) {
	m.step(func(now time.Time) gossip.Output {
		m.node.SetSeeds(addresses)
		return m.node.Tick(now)
	})
}

// RaiseIncarnation raises this host's incarnation above that of an earlier start.
func (m *Membership) RaiseIncarnation(incarnation uint64) {
	m.step(func(now time.Time) gossip.Output { return m.node.RaiseIncarnation(now, incarnation) })
}

// Publish spreads a notice within the availability zone. This host's own
// callbacks are not called.
func (m *Membership) Publish(notice gossip.Update) {
	m.step(func(now time.Time) gossip.Output { return m.node.Publish(now, notice) })
}

// Updates returns the notices that hold, this host's own included.
func (m *Membership) Updates() []gossip.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Updates(time.Now())
}

// step runs one step of the state machine and carries out its output.
// Callbacks run after the lock is released.
func (m *Membership) step(run func(now time.Time) gossip.Output) {
	m.mu.Lock()
	out := run(time.Now())
	if len(out.Changed) > 0 || len(out.Removed) > 0 {
		m.publishView()
		m.events.viewChanged()
	}
	m.events.gather(&out)
	m.mu.Unlock()

	m.send(out.Packets)
	m.events.deliver(m.Members)
}

// publishView swaps the view. The caller holds mu.
func (m *Membership) publishView() {
	view := m.node.Members()
	m.view.Store(&view)
	m.stale = false
}

// viewInterval bounds how old the revisions in the view may be.
const viewInterval = time.Second

func (m *Membership) tickLoop(ctx context.Context) {
	defer m.done.Done()
	ticker := time.NewTicker(m.config.Gossip.RumourInterval)
	defer ticker.Stop()
	refreshed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.step(m.node.Tick)
			if now.Sub(refreshed) >= viewInterval {
				refreshed = now
				m.refreshView()
			}
		}
	}
}

// refreshView takes over revisions heard since the view was published.
func (m *Membership) refreshView() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stale {
		m.publishView()
	}
}
