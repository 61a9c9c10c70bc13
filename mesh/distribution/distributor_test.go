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

const limit = 10 * time.Second // cap for what other goroutines do

// network joins distributors directly.
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
		return nil, errors.New("down")
	}
	if stage := request.GetStage(); stage != nil {
		return &peerpb.ControlReply{Body: &peerpb.ControlReply_Stage{Stage: d.ServeStage(from, stage)}}, nil
	}
	reply, err := d.ServePull(request.GetPull())
	return &peerpb.ControlReply{Body: &peerpb.ControlReply_Pull{Pull: reply}}, err
}

// view is the membership of one host. Like the real one it calls back for the
// tip when a revision is announced.
type view struct {
	network *network
	self    string
}

func (v *view) Members() []gossip.Member {
	v.network.mu.Lock()
	defer v.network.mu.Unlock()
	var members []gossip.Member
	for host, zone := range v.network.zones {
		members = append(members, gossip.Member{Record: gossip.Record{Host: host, Zone: zone, PeerAddress: host}})
	}
	return members
}

func (v *view) SetRevision(number uint64) {
	v.network.mu.Lock()
	d := v.network.hosts[v.self]
	v.network.mu.Unlock()
	d.NoteRevision(number, v.self)
}

func (v *view) NewestRevision() (uint64, []string) { return 0, nil }

// report is one rejection.
type report struct {
	revision   uint64
	step, peer string
}

type reports chan report

func (r reports) Report(_ context.Context, number uint64, step, peer string, _ error) {
	r <- report{number, step, peer}
}

// host adds a distributor that is not started.
func (n *network) host(t *testing.T, name, zone string, backing store.Store, rejections RejectionReporter) *Distributor {
	d := New(Identity{name, zone}, revision.NewLog(backing), n, &view{n, name}, rejections, zap.NewNop())
	n.mu.Lock()
	n.hosts[name], n.zones[name] = d, zone
	n.mu.Unlock()
	t.Cleanup(d.Stop)
	return d
}

func newNetwork() *network {
	return &network{hosts: make(map[string]*Distributor), zones: make(map[string]string)}
}

// down is a platform that does not answer.
type down struct{ store.Store }

func (down) Get(context.Context, string) (store.Row, error) {
	return store.Row{}, store.ErrUnavailable
}

// log returns a written log of count revisions.
func log(t *testing.T, count int) (store.Store, *revision.Snapshot, []revision.Encoded) {
	t.Helper()
	backing := store.NewMemory()
	state := revision.Empty()
	var changes []revision.Encoded
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

// appliedSoon waits until the distributor has a revision in force.
func appliedSoon(t *testing.T, d *Distributor) uint64 {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if snapshot := d.Snapshot(); snapshot != nil {
			return snapshot.Revision()
		}
	}
	t.Fatalf("no revision within %v", limit)
	return 0
}

func TestStartTakesTheNewestThatPeersHold(t *testing.T) {
	is := is.New(t)
	_, state, changes := log(t, 3)
	n := newNetwork()
	behind := n.host(t, "behind", "a", down{}, nil)
	witness := n.host(t, "witness", "a", down{}, nil)
	behind.open, witness.open = true, true
	for _, d := range []*Distributor{behind, witness} {
		d.stage(changes[:1], nil, "test")
		d.update(func(r *revision.Replica) { r.ApplyThrough(1) })
	}
	witness.stage(changes[1:], nil, "test") // held, not in force
	is.Equal(witness.Snapshot().Revision(), uint64(1))

	fresh := n.host(t, "fresh", "a", down{}, nil)
	fresh.Start()
	is.Equal(appliedSoon(t, fresh), state.Revision())
}

func TestStartTakesThePlatformsNewest(t *testing.T) {
	is := is.New(t)
	backing, state, _ := log(t, 3)
	fresh := newNetwork().host(t, "fresh", "a", backing, nil)
	fresh.Start()
	is.Equal(appliedSoon(t, fresh), state.Revision())
}

func TestDamagedChangeFromAPeer(t *testing.T) {
	is := is.New(t)
	_, _, changes := log(t, 2)
	rejections := make(reports, 4)
	d := newNetwork().host(t, "host", "a", down{}, rejections)
	d.open = true
	message := &peerpb.StageChanges{Changes: wireChanges(changes)}
	message.Changes[1].Value = append([]byte(nil), message.Changes[1].Value...)
	message.Changes[1].Value[10] ^= 1
	reply := d.ServeStage(Identity{"sender", "a"}, message)
	is.True(reply.Rejection != "")
	is.Equal(reply.Staged, uint64(0)) // not even the first one
	is.True(d.Snapshot() == nil)
	is.Equal(<-rejections, report{1, "decode", "sender"})
	is.Equal(d.LastRejection(), "decode from sender: revision: corrupt encoding")
}

func TestWriterTellsOtherZones(t *testing.T) {
	is := is.New(t)
	backing, state, changes := log(t, 1)
	n := newNetwork()
	var all []*Distributor
	for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "b3", "b4"} {
		d := n.host(t, name, name[:1], backing, nil)
		d.open = true
		all = append(all, d)
	}
	all[0].Distribute(state, changes)
	for _, d := range all {
		is.Equal(appliedSoon(t, d), uint64(1))
	}
}
