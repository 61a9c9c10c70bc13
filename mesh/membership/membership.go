// Package membership drives the membership state machine of coord/gossip over UDP. It provides the
// socket and the clock, publishes the member list and calls the registered callbacks.
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
	// Listen is the UDP address that all packets are sent from and received on.
	Listen string
	// Gossip holds the parameters of the state machine.
	Gossip gossip.Config
}

// Membership keeps the list of all members current. Its methods may be called from any goroutine.
type Membership struct {
	log    *zap.Logger
	config Config

	// mu guards node, revisionsChanged and the order in which member lists are published.
	mu   sync.Mutex
	node *gossip.Node
	// revisionsChanged is set if a revision may have changed since the last publication.
	revisionsChanged bool
	members          atomic.Pointer[[]gossip.Member]
	events           events

	socket  *net.UDPConn
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	traffic traffic
}

// New opens the UDP socket. An empty GossipAddress in self is replaced by the socket's address, and
// an Incarnation of 0 by the current Unix time in nanoseconds. The error names the step that failed
// and the listen address.
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
	m.publishMembers()
	return m, nil
}

// Start starts to send and receive messages in two goroutines. The error is always nil.
func (m *Membership) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.loops.Add(2)
	go m.receiveLoop()
	go m.tickLoop(ctx)
	return nil
}

// Stop closes the socket and waits until the goroutines of Start have returned. It does not announce
// that the host leaves; see Leave.
func (m *Membership) Stop(context.Context) error {
	if m.cancel != nil {
		m.cancel()
	}
	err := m.socket.Close()
	m.loops.Wait()
	return steperr.Wrap(err, "close the gossip socket", m.config.Listen)
}

// Members returns all members sorted by host, this host included. The slice is shared and must not
// be changed.
func (m *Membership) Members() []gossip.Member { return *m.members.Load() }

// Isolated reports whether this host receives nothing from the other members.
func (m *Membership) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Isolated(time.Now())
}

// Address returns the UDP address of the socket.
func (m *Membership) Address() string { return m.socket.LocalAddr().String() }

// SetTargets replaces the targets of this host.
func (m *Membership) SetTargets(targets []gossip.Target) {
	m.step(func(now time.Time) gossip.Output { return m.node.SetTargets(now, targets) })
}

// SetRevision sets the configuration revision in force at this host, which its messages report.
func (m *Membership) SetRevision(revision uint64) {
	m.SetRevisions(gossip.Revisions{Latest: revision})
}

// SetRevisions is SetRevision with the revisions of the parts of the configuration.
func (m *Membership) SetRevisions(revisions gossip.Revisions) {
	m.step(func(time.Time) gossip.Output {
		m.node.SetRevisions(revisions)
		m.revisionsChanged = true
		return gossip.Output{}
	})
}

// LatestRevision returns the latest revision that this host or any member that is not dead has in
// force, and the other hosts that reported it.
func (m *Membership) LatestRevision() (revision uint64, hosts []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.LatestRevision()
}

// Leave marks this host as leaving and sends that to several members at once.
func (m *Membership) Leave() { m.step(m.node.Leave) }

// SetSeeds replaces the gossip addresses through which unknown members are found, and advances the
// state machine at once.
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

// Publish spreads an update within the local availability zone. This host's own callbacks are not
// called.
func (m *Membership) Publish(update gossip.Update) {
	m.step(func(now time.Time) gossip.Output { return m.node.Publish(now, update) })
}

// Updates returns the updates that have not expired, this host's own included.
func (m *Membership) Updates() []gossip.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Updates(time.Now())
}

// step runs one transition of the state machine and carries out its output. Packets are sent and
// callbacks called after mu is released.
func (m *Membership) step(transition func(now time.Time) gossip.Output) {
	m.mu.Lock()
	out := transition(time.Now())
	if len(out.Changed) > 0 || len(out.Removed) > 0 {
		m.publishMembers()
		m.events.membersChanged()
	}
	m.events.enqueue(&out)
	m.mu.Unlock()

	m.send(out.Packets)
	m.events.deliver(m.Members)
}

// publishMembers replaces the published member list. The caller holds mu.
func (m *Membership) publishMembers() {
	members := m.node.Members()
	m.members.Store(&members)
	m.revisionsChanged = false
}

// refreshInterval bounds how old the revisions in the member list may be.
const refreshInterval = time.Second

// tickLoop advances the state machine at every rumour interval until ctx is cancelled.
func (m *Membership) tickLoop(ctx context.Context) {
	defer m.loops.Done()
	ticker := time.NewTicker(m.config.Gossip.RumourInterval)
	defer ticker.Stop()
	lastRefresh := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.step(m.node.Tick)
			if now.Sub(lastRefresh) >= refreshInterval {
				lastRefresh = now
				m.refreshMembers()
			}
		}
	}
}

// refreshMembers publishes the member list if a revision may have changed since the last
// publication.
func (m *Membership) refreshMembers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revisionsChanged {
		m.publishMembers()
	}
}
