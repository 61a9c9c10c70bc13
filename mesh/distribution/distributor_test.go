package distribution

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

const waitLimit = 10 * time.Second // for results of other goroutines

// network connects distributors by direct function calls.
type network struct {
	mu    sync.Mutex
	hosts map[string]*Distributor
	zones map[string]string
}

// Control implements Peers.
func (n *network) Control(_ context.Context, host, _ string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	n.mu.Lock()
	d := n.hosts[host]
	from := Identity{Host: request.From, Zone: n.zones[request.From]}
	n.mu.Unlock()
	if d == nil {
		return nil, errors.New("host is not running")
	}
	if stage := request.GetStage(); stage != nil {
		return &peerpb.ControlReply{Body: &peerpb.ControlReply_Stage{Stage: d.ServeStage(from, stage)}}, nil
	}
	reply, err := d.ServePull(request.GetPull())
	return &peerpb.ControlReply{Body: &peerpb.ControlReply_Pull{Pull: reply}}, err
}

// memberList is the membership of one host. Like the real one, it calls ObserveRevision while a
// revision is set, here for the host's own revision.
type memberList struct {
	network *network
	self    string
}

func (l *memberList) Members() []gossip.Member {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	var members []gossip.Member
	for host, zone := range l.network.zones {
		members = append(members, gossip.Member{Record: gossip.Record{Host: host, Zone: zone, PeerAddress: host}})
	}
	return members
}

func (l *memberList) SetRevision(number uint64) {
	l.network.mu.Lock()
	d := l.network.hosts[l.self]
	l.network.mu.Unlock()
	d.ObserveRevision(gossip.RevisionReport{Revisions: gossip.Revisions{Latest: number}, Host: l.self})
}

func (l *memberList) LatestRevision() (uint64, []string) { return 0, nil }

// rejection is one reported rejection.
type rejection struct {
	revision   uint64
	step, peer string
}

type recordedRejections chan rejection

func (r recordedRejections) Report(_ context.Context, number uint64, step, peer string, _ error) {
	r <- rejection{number, step, peer}
}

// addHost adds a distributor that is not started.
func (n *network) addHost(t *testing.T, name, zone string, backing store.Store, rejections RejectionReporter) *Distributor {
	d := New(Identity{name, zone}, revision.NewLog(backing), n, &memberList{n, name}, rejections, zap.NewNop())
	n.mu.Lock()
	n.hosts[name], n.zones[name] = d, zone
	n.mu.Unlock()
	t.Cleanup(d.Stop)
	return d
}

func newNetwork() *network {
	return &network{hosts: make(map[string]*Distributor), zones: make(map[string]string)}
}

// unavailableStore is a store whose reads of rows fail.
type unavailableStore struct{ store.Store }

func (unavailableStore) Get(context.Context, string) (store.Row, error) {
	return store.Row{}, store.ErrUnavailable
}

// writeLog writes a log of count revisions and returns its store, the last state and the changes.
func writeLog(t *testing.T, count int) (store.Store, *revision.Snapshot, []revision.EncodedChange) {
	t.Helper()
	backing := store.NewMemory()
	state := revision.Empty()
	var changes []revision.EncodedChange
	for i := range count {
		build := func(*revision.Snapshot) (revision.Draft, error) {
			put := revision.Resource{Service: &revision.Service{Name: string(rune('a' + i))}}
			return revision.Draft{Ticket: uint64(i + 1), Put: []revision.Resource{put}}, nil
		}
		next, more, err := revision.NewLog(backing).Append(t.Context(), state, string(rune('a'+i)), build)
		is.New(t).NoErr(err)
		state, changes = next, append(changes, more...)
	}
	return backing, state, changes
}

// awaitApplied waits until the distributor has a revision in force and returns it.
func awaitApplied(t *testing.T, d *Distributor) uint64 {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if snapshot := d.Snapshot(); snapshot != nil {
			return snapshot.Revision()
		}
	}
	t.Fatalf("no revision within %v", waitLimit)
	return 0
}

// Without the store, a host must start on the latest revision that any peer holds, even if that
// peer has only staged it: the host may have had it in force before a restart.
func TestStartAppliesLatestRevisionOfPeers(t *testing.T) {
	is := is.New(t)
	_, state, changes := writeLog(t, 3)
	n := newNetwork()
	behind := n.addHost(t, "behind", "a", unavailableStore{}, nil)
	holder := n.addHost(t, "holder", "a", unavailableStore{}, nil)
	behind.publishEnabled, holder.publishEnabled = true, true
	for _, d := range []*Distributor{behind, holder} {
		d.stage(changes[:1], nil, "test")
		d.updateReplica(func(r *revision.Replica) { r.ApplyThrough(1) })
	}
	holder.stage(changes[1:], nil, "test") // staged, not in force
	is.Equal(holder.Snapshot().Revision(), uint64(1))

	fresh := n.addHost(t, "fresh", "a", unavailableStore{}, nil)
	fresh.Start()
	is.Equal(awaitApplied(t, fresh), state.Revision())
}

func TestStartAppliesLatestRevisionOfStore(t *testing.T) {
	is := is.New(t)
	backing, state, _ := writeLog(t, 3)
	fresh := newNetwork().addHost(t, "fresh", "a", backing, nil)
	fresh.Start()
	is.Equal(awaitApplied(t, fresh), state.Revision())
}

// A message with one damaged change must be rejected whole, and the rejection reported with the
// step and the peer.
func TestDamagedChangeFromAPeerIsRejected(t *testing.T) {
	is := is.New(t)
	_, _, changes := writeLog(t, 2)
	rejections := make(recordedRejections, 4)
	d := newNetwork().addHost(t, "host", "a", unavailableStore{}, rejections)
	d.publishEnabled = true
	message := &peerpb.StageChanges{Changes: encodeChanges(changes)}
	message.Changes[1].Value = append([]byte(nil), message.Changes[1].Value...)
	message.Changes[1].Value[10] ^= 1
	reply := d.ServeStage(Identity{"sender", "a"}, message)
	is.True(reply.Rejection != "")
	is.Equal(reply.Staged, uint64(0)) // nor is the undamaged first change staged
	is.True(d.Snapshot() == nil)
	is.Equal(<-rejections, rejection{1, "decode", "sender"})
	is.Equal(d.LastRejection(), "decode from sender: revision: corrupt encoding")
}

// Changes that one host distributes must come into force on every host of every zone.
func TestDistributeReachesAllZones(t *testing.T) {
	is := is.New(t)
	backing, state, changes := writeLog(t, 1)
	n := newNetwork()
	var all []*Distributor
	for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "b3", "b4"} {
		d := n.addHost(t, name, name[:1], backing, nil)
		d.publishEnabled = true
		all = append(all, d)
	}
	all[0].Distribute(state, changes)
	for _, d := range all {
		is.Equal(awaitApplied(t, d), uint64(1))
	}
}
