package outcomes

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/controller"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// fakeMesh is a mesh with a rollout that the host "a0" controls and has halted in all zones.
type fakeMesh struct {
	members []gossip.Member
	learned chan []*peerpb.Trip // halts that the reporting host received
}

func (f *fakeMesh) Members() []gossip.Member { return f.members }

func (f *fakeMesh) RunningRollouts() []controller.Rollout {
	return []controller.Rollout{{Service: "orders", Rollout: revision.Rollout{Ticket: 3, To: "v2"}}}
}

func (f *fakeMesh) CandidateHosts(controller.Rollout) []string { return []string{"a0"} }
func (f *fakeMesh) Halts() []*peerpb.Trip                      { return nil }
func (f *fakeMesh) AddHalts(halts []*peerpb.Trip)              { f.learned <- halts }

func (f *fakeMesh) Control(_ context.Context, host, _ string, _ *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	reply := new(peerpb.OutcomeReply)
	if host == "a0" {
		reply.Trips = []*peerpb.Trip{{Service: "orders", Version: "v2", Ticket: 3}}
	}
	return &peerpb.ControlReply{Body: &peerpb.ControlReply_Outcomes{Outcomes: reply}}, nil
}

func TestZoneWithoutTargetsOfTheServiceLearnsOfHalts(t *testing.T) {
	is := is.New(t)
	mesh := &fakeMesh{learned: make(chan []*peerpb.Trip, 10)}
	for _, host := range []string{"a0", "b0", "b1", "b2"} {
		mesh.members = append(mesh.members, gossip.Member{Record: gossip.Record{Host: host, Zone: host[:1]}})
	}
	for _, host := range []string{"b0", "b1", "b2"} { // none has counts to report
		reporter := New(Config{
			Host: host, Zone: "b", Members: mesh, Rollouts: mesh, Controllers: mesh, Peers: mesh, Logger: zap.NewNop(),
		})
		reporter.report(t.Context())
	}
	for {
		select {
		case halts := <-mesh.learned:
			if len(halts) == 1 {
				is.Equal(halts[0].GetVersion(), "v2")
				return
			}
		case <-time.After(time.Second):
			t.Fatal("no host of the zone learned of the halt")
		}
	}
}
