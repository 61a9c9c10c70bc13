// Package distribution brings every accepted revision to every daemon. The
// daemon that wrote a revision tells one host of each other availability zone;
// within a zone, changes go down a relay tree over the peer sessions. Two
// readers in each zone poll the platform for what was missed, and every daemon
// repairs its own gaps by pulling from a peer or, failing that, the platform.
package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/readers"
)

const (
	pollInterval    = time.Second            // between reads of the head
	controlTimeout  = 500 * time.Millisecond // one exchange with a peer
	platformTimeout = 3 * time.Second        // one catch-up from the platform
	stageWait       = 2 * time.Second        // wait for other holders
	staleAfter      = time.Second            // wait for the proof of a staged change
	readersPerZone  = readers.Least
	witnesses       = 2  // other hosts that hold a change before it is applied
	fanOut          = 8  // children of a host in the relay tree
	compactSpacing  = 16 // revisions between two looks at the stored snapshots
	auditRounds     = 3  // polls between two questions to a reader
)

// Peers exchanges control messages with other daemons.
type Peers interface {
	Control(ctx context.Context, host, address string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error)
}

// Membership is the membership view.
type Membership interface {
	Members() []gossip.Member
	// SetRevision announces the applied revision to the other daemons.
	SetRevision(revision uint64)
	// NewestRevision returns the newest revision that members reported, and
	// hosts that reported it.
	NewestRevision() (uint64, []string)
}

// RejectionReporter records changes that could not be applied.
type RejectionReporter interface {
	Report(ctx context.Context, revision uint64, step, peer string, cause error)
}

// Identity names a daemon.
type Identity struct {
	Host string
	Zone string
}

// Distributor keeps the daemon's replica of the configuration.
type Distributor struct {
	self       Identity
	log        *revision.Log
	peers      Peers
	members    Membership
	rejections RejectionReporter
	logger     *zap.Logger

	applied   atomic.Pointer[applied]
	rejected  atomic.Pointer[string]
	reachable atomic.Bool
	head      atomic.Uint64
	onApply   []func(*revision.Snapshot)

	// publishing serialises changes of the replica with their publication. It
	// is locked before mu, which no callback is called under.
	publishing sync.Mutex
	open       bool // guarded by publishing
	mu         sync.Mutex
	replica    *revision.Replica // guarded by mu

	// The goroutine that polls owns the counts of its rounds and compactAt, a
	// revision.
	rounds     int
	unrepaired int
	compactAt  uint64
	pulling    atomic.Bool
	reading    atomic.Bool
	confirming atomic.Bool
	spawned    sync.WaitGroup
	stopping   context.Context
	stop       context.CancelFunc
}

// applied is the snapshot in force and the time it was applied.
type applied struct {
	snapshot *revision.Snapshot
	at       time.Time
}

// New returns a distributor that holds no revision yet.
func New(self Identity, log *revision.Log, peers Peers, members Membership, rejections RejectionReporter, logger *zap.Logger) *Distributor {
	ctx, cancel := context.WithCancel(context.Background())
	return &Distributor{
		self:       self,
		log:        log,
		peers:      peers,
		members:    members,
		rejections: rejections,
		logger:     logger,
		replica:    revision.NewReplica(self.Host, stageWait),
		stopping:   ctx,
		stop:       cancel,
	}
}

// Snapshot returns the configuration in force, or nil if there is none yet.
func (d *Distributor) Snapshot() *revision.Snapshot {
	if current := d.applied.Load(); current != nil {
		return current.snapshot
	}
	return nil
}

// AppliedAt returns the time at which the present revision came into force.
func (d *Distributor) AppliedAt() time.Time {
	if current := d.applied.Load(); current != nil {
		return current.at
	}
	return time.Time{}
}

// Head returns the newest revision known to exist.
func (d *Distributor) Head() uint64 {
	newest, _ := d.members.NewestRevision()
	return max(newest, d.head.Load())
}

// PlatformReachable reports whether the last exchange with the platform worked.
func (d *Distributor) PlatformReachable() bool { return d.reachable.Load() }

// LastRejection describes the last change that could not be applied.
func (d *Distributor) LastRejection() string {
	if text := d.rejected.Load(); text != nil {
		return *text
	}
	return ""
}

// OnApply registers a function that is called with each snapshot that comes
// into force, in order. It is called before Start.
func (d *Distributor) OnApply(notify func(*revision.Snapshot)) {
	d.onApply = append(d.onApply, notify)
}

// Tip returns the newest snapshot that is staged or applied.
func (d *Distributor) Tip() *revision.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replica.Tip()
}

// Start begins to follow the log.
func (d *Distributor) Start() {
	d.run(func() {
		d.bootstrap()
		d.follow()
	})
}

// Stop ends all activity and waits for it.
func (d *Distributor) Stop() {
	d.stop()
	d.spawned.Wait()
}

// run starts a goroutine that Stop waits for.
func (d *Distributor) run(work func()) {
	d.spawned.Add(1)
	go func() {
		defer d.spawned.Done()
		work()
	}()
}

// follow polls until the distributor stops.
func (d *Distributor) follow() {
	d.rounds = rand.IntN(auditRounds)
	for d.sleep(jitter(pollInterval)) {
		d.poll()
	}
}

// poll does one round: readers read the platform, the others ask a reader now
// and then, and all repair.
func (d *Distributor) poll() {
	d.rounds++
	d.update(func(replica *revision.Replica) { replica.Advance(time.Now()) })
	if d.IsZoneReader() {
		d.catchUp()
		d.compact()
	} else if d.rounds%auditRounds == 0 {
		d.audit()
	}
	d.confirmStaged()
	d.repair()
}

// sleep waits and reports false when the distributor stops.
func (d *Distributor) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.stopping.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jitter spreads an interval over 80 to 120 percent of its length.
func jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.8 + 0.4*rand.Float64()))
}
