package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
)

// held is a configuration that a test sets.
type held struct {
	configuration
	snapshot *revision.Snapshot
}

func (h *held) Snapshot() *revision.Snapshot { return h.snapshot }

type view []gossip.Member

func (v *view) Members() []gossip.Member { return *v }

func TestReadyWithAConfigurationAndTargets(t *testing.T) {
	is := is.New(t)
	desk, err := revision.Compose(1, 1, []revision.Resource{
		{Service: &revision.Service{Name: "desk"}},
		{Split: &revision.Split{Service: "desk", Shares: []revision.Share{{Version: revision.AnyVersion, Weight: revision.FullShare}}}},
	})
	is.NoErr(err)
	now := time.Unix(1700000000, 0)
	var known view
	c := &held{}
	r := &readiness{configuration: c, members: &known}
	is.True(!r.ready(now)) // no configuration
	c.snapshot = desk
	is.True(!r.ready(now)) // no target to send a request to
	known = view{{Record: gossip.Record{Targets: []gossip.Target{{Service: "desk", State: gossip.TargetReady}}}}}
	is.True(r.ready(now))
	known = nil
	is.True(r.ready(now)) // targets may go again
	r.stop()
	is.True(!r.Ready())

	late := &readiness{configuration: c, members: &view{}}
	is.True(!late.ready(now))
	is.True(late.ready(now.Add(viewWait))) // the service may have none
}
