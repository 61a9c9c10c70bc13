// Package distribution brings every accepted revision to every daemon. The daemon that wrote a
// revision sends it to one host of each other availability zone; within a zone, changes are relayed
// down a tree over the peer sessions. Two zone readers in each zone poll the store for changes that
// were missed, and every daemon repairs its own gaps by pulling from a peer or, if that fails, from
// the store.
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
	pollInterval            = time.Second            // mean time between two polls
	controlTimeout          = 500 * time.Millisecond // for one request to a peer
	storeTimeout            = 3 * time.Second        // for one access to the store
	maxHolderWait           = 2 * time.Second        // longest wait of a change for other holders
	confirmTimeout          = time.Second            // until an unconfirmed change is spread again
	readersPerZone          = readers.MinPerZone     // hosts of each zone that read the store
	requiredHolders         = 2                      // other holders of a change before it is applied
	relayFanout             = 8                      // children of a host in the relay tree
	compactionCheckInterval = 16                     // revisions between two compaction checks
	pollsPerAudit           = 3                      // polls between two pulls from a zone reader
)

// Peers exchanges control messages with other daemons.
type Peers interface {
	// Control sends one request to the host at the peer address and returns its reply.
	Control(ctx context.Context, host, address string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error)
}

// Membership is the part of the cluster membership that a Distributor needs.
type Membership interface {
	// Members returns all members, this host included.
	Members() []gossip.Member
	// SetRevision reports the applied revision to the other daemons.
	SetRevision(revision uint64)
	// LatestRevision returns the latest revision that members reported, and hosts that reported it.
	LatestRevision() (uint64, []string)
}

// RejectionReporter records changes that could not be applied.
type RejectionReporter interface {
	// Report records the revision, the step that failed, the peer that the change came from and the
	// cause.
	Report(ctx context.Context, revision uint64, step, peer string, cause error)
}

// Identity identifies a daemon by its host and availability zone.
type Identity struct {
	Host string
	Zone string
}

// Distributor keeps the daemon's replica of the configuration current.
type Distributor struct {
	self       Identity
	log        *revision.Log
	peers      Peers
	membership Membership
	rejections RejectionReporter
	logger     *zap.Logger

	applied        atomic.Pointer[appliedSnapshot]
	lastRejection  atomic.Pointer[string]
	storeReachable atomic.Bool
	latest         atomic.Uint64
	onApply        []func(*revision.Snapshot)

	// publishMu serializes changes of the replica with their publication. It is locked before mu;
	// no callback is called while mu is held.
	publishMu      sync.Mutex
	publishEnabled bool // guarded by publishMu; set once the initial revision is found
	mu             sync.Mutex
	replica        *revision.Replica // guarded by mu

	// The polling goroutine owns polls, failedRepairs and nextCompactionCheck, the applied
	// revision from which compact calls revision.Log.Compact again.
	polls               int
	failedRepairs       int
	nextCompactionCheck uint64
	pullPending         atomic.Bool
	storeReadPending    atomic.Bool
	confirmPending      atomic.Bool
	goroutines          sync.WaitGroup
	ctx                 context.Context
	cancel              context.CancelFunc
}

// appliedSnapshot is the snapshot in force with the time at which it was applied.
type appliedSnapshot struct {
	snapshot *revision.Snapshot
	at       time.Time
}

// New returns a distributor that holds no revision yet. rejections may be nil.
func New(self Identity, log *revision.Log, peers Peers, membership Membership, rejections RejectionReporter, logger *zap.Logger) *Distributor {
	ctx, cancel := context.WithCancel(context.Background())
	return &Distributor{
		self:       self,
		log:        log,
		peers:      peers,
		membership: membership,
		rejections: rejections,
		logger:     logger,
		replica:    revision.NewReplica(self.Host, maxHolderWait),
		ctx:        ctx,
		cancel:     cancel,
	}
}

// Snapshot returns the configuration in force, or nil if there is none yet.
func (d *Distributor) Snapshot() *revision.Snapshot {
	if current := d.applied.Load(); current != nil {
		return current.snapshot
	}
	return nil
}

// AppliedAt returns the time at which the current revision came into force, or the zero time if
// there is none yet.
func (d *Distributor) AppliedAt() time.Time {
	if current := d.applied.Load(); current != nil {
		return current.at
	}
	return time.Time{}
}

// LatestRevision returns the latest revision known to exist.
func (d *Distributor) LatestRevision() uint64 {
	latest, _ := d.membership.LatestRevision()
	return max(latest, d.latest.Load())
}

// StoreReachable reports whether the store responded to the last read of the log.
func (d *Distributor) StoreReachable() bool { return d.storeReachable.Load() }

// LastRejection describes the last change that could not be applied, or returns "" if there is
// none.
func (d *Distributor) LastRejection() string {
	if description := d.lastRejection.Load(); description != nil {
		return *description
	}
	return ""
}

// OnApply registers a function that is called with each snapshot that comes into force, in order.
// OnApply must be called before Start.
func (d *Distributor) OnApply(notify func(*revision.Snapshot)) {
	d.onApply = append(d.onApply, notify)
}

// Latest returns the latest snapshot that is staged or applied.
func (d *Distributor) Latest() *revision.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replica.Latest()
}

// Start finds the latest revision and then polls until Stop, in a goroutine of its own.
func (d *Distributor) Start() {
	d.run(func() {
		d.bootstrap()
		d.pollLoop()
	})
}

// Stop ends all activity and waits until its goroutines have returned.
func (d *Distributor) Stop() {
	d.cancel()
	d.goroutines.Wait()
}

// run starts a goroutine that Stop waits for.
func (d *Distributor) run(work func()) {
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		work()
	}()
}

// pollLoop polls until the distributor stops.
func (d *Distributor) pollLoop() {
	d.polls = rand.IntN(pollsPerAudit)
	for d.sleep(jitter(pollInterval)) {
		d.poll()
	}
}

// poll runs one round: a zone reader reads the store and compacts the log, any other host pulls
// from a zone reader every pollsPerAudit rounds, and every host repairs its gaps.
func (d *Distributor) poll() {
	d.polls++
	d.updateReplica(func(replica *revision.Replica) { replica.Advance(time.Now()) })
	if d.IsZoneReader() {
		d.catchUp()
		d.compact()
	} else if d.polls%pollsPerAudit == 0 {
		d.audit()
	}
	d.confirmStaged()
	d.repair()
}

// sleep waits and reports whether the time has passed; it returns false early when the distributor
// stops.
func (d *Distributor) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jitter returns a random duration of 80 to 120 percent of the interval.
func jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.8 + 0.4*rand.Float64()))
}
