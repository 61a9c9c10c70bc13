package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
)

// fixedConfiguration is a configuration with a snapshot that the test sets.
type fixedConfiguration struct {
	configuration
	snapshot *revision.Snapshot
}

func (f *fixedConfiguration) Snapshot() *revision.Snapshot { return f.snapshot }

// memberList is a member list that the test sets.
type memberList []gossip.Member

func (l *memberList) Members() []gossip.Member { return *l }

func (l *memberList) Isolated() bool { return false }

// isolatedMembers is the membership of a host that may be isolated.
type isolatedMembers struct {
	memberList
	isolated bool
}

func (m *isolatedMembers) Isolated() bool { return m.isolated }

// acceptingPorts are ports that all accept connections, or do not.
type acceptingPorts bool

func (p acceptingPorts) Accepting(time.Time) bool { return bool(p) }

func TestDaemonThatCannotAcceptConnectionsIsNotReady(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	r := &readiness{members: &isolatedMembers{}, logger: zap.New(core), becameReady: true}
	for _, accepting := range []bool{true, false, false, true, true} {
		r.ports = acceptingPorts(accepting)
		is.Equal(r.Ready(), accepting)
	}
	is.Equal(logs.Len(), 2) // one line for each change
}

// A daemon that can't reach the others sends its callers elsewhere, and takes them back.
func TestIsolatedDaemonIsNotReady(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	members := &isolatedMembers{}
	r := &readiness{members: members, ports: acceptingPorts(true), logger: zap.New(core), becameReady: true}
	for _, isolated := range []bool{false, true, true, false, false} {
		members.isolated = isolated
		is.Equal(r.Ready(), !isolated)
	}
	is.Equal(logs.Len(), 2) // one line for each change
}

// A daemon must not be ready before it can send a request to a target of each service, and must not
// become unready when targets leave later. A service without targets must not keep it unready
// forever. A daemon that stops must be unready.
func TestReadyWithAConfigurationAndTargets(t *testing.T) {
	is := is.New(t)
	desk, err := revision.NewSnapshot(1, 1, []revision.Resource{
		{Service: &revision.Service{Name: "desk"}},
		{Split: &revision.Split{Service: "desk", Shares: []revision.Share{{Version: revision.AnyVersion, Weight: revision.FullShare}}}},
	})
	is.NoErr(err)
	now := time.Unix(1700000000, 0)
	var members memberList
	c := &fixedConfiguration{}
	r := &readiness{configuration: c, members: &members}
	is.True(!r.readyAt(now)) // no configuration
	c.snapshot = desk
	is.True(!r.readyAt(now)) // no target is known
	members = memberList{{Record: gossip.Record{Targets: []gossip.Target{{Service: "desk", State: gossip.TargetReady}}}}}
	is.True(r.readyAt(now))
	members = nil
	is.True(r.readyAt(now)) // targets may leave later
	r.stop()
	is.True(!r.Ready())

	late := &readiness{configuration: c, members: &memberList{}}
	is.True(!late.readyAt(now))
	is.True(late.readyAt(now.Add(targetWait))) // the service may have no targets
}
