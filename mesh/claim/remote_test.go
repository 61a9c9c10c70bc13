package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

var errCut = errors.New("connection reset")

// peerFault is what becomes of messages to a host.
type peerFault int

const (
	peerServes peerFault = iota
	peerDown
	peerReplyLost // the message is carried out and the reply lost
	peerConfused  // another part of the daemon answers
)

// zone is a zone of daemons over one table.
type zone struct {
	hosts  map[string]*Claimer
	mutex  sync.Mutex
	faults map[string]peerFault
	asked  map[string]int
}

func newZone(table store.Table, names ...string) *zone {
	z := &zone{hosts: map[string]*Claimer{}, faults: map[string]peerFault{}, asked: map[string]int{}}
	for _, name := range names {
		claimer := NewZoned(Self{Host: name, Zone: "a"}, z, z, table, zap.NewNop())
		claimer.lateFor = time.Millisecond // one try
		claimer.backend.(*zoneBackend).timeout = 20 * time.Second
		z.hosts[name] = claimer
	}
	return z
}

func (z *zone) Members() []gossip.Member {
	var members []gossip.Member
	for name := range z.hosts {
		members = append(members, gossip.Member{Record: gossip.Record{Host: name, Zone: "a", PeerAddress: name}})
	}
	other := gossip.Record{Host: "elsewhere", Zone: "b"}
	return append(members, gossip.Member{Record: other})
}

func (z *zone) Control(ctx context.Context, host, _ string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	z.mutex.Lock()
	z.asked[host]++
	fault := z.faults[host]
	z.mutex.Unlock()
	switch fault {
	case peerDown:
		return nil, errCut
	case peerConfused:
		return &peerpb.ControlReply{Body: &peerpb.ControlReply_Error{Error: &peerpb.ControlError{Step: "dispatch"}}}, nil
	}
	reply := z.hosts[host].Serve(ctx, request.GetClaim())
	if fault == peerReplyLost {
		return nil, errCut
	}
	return &peerpb.ControlReply{Body: &peerpb.ControlReply_Claim{Claim: reply}}, nil
}

// asker returns a host that is no batching daemon, and the two that are.
func (z *zone) asker(key string) (asker *Claimer, receivers []string) {
	for _, claimer := range z.hosts {
		members := claimer.backend.(*zoneBackend).receivers(key)
		if len(members) == batchers {
			return claimer, []string{members[0].Host, members[1].Host}
		}
	}
	return nil, nil
}

func (z *zone) close(t *testing.T) {
	for _, claimer := range z.hosts {
		claimer.Close(t.Context())
	}
}

func TestZonedClaimByFault(t *testing.T) {
	const refused = claim.Verdict(-1)
	tests := []struct {
		name          string
		first, second peerFault
		table         []fault
		want          claim.Verdict
	}{
		{"both serve", peerServes, peerServes, nil, claim.Granted},
		{"first down", peerDown, peerServes, nil, claim.Granted},
		{"both down", peerDown, peerDown, nil, claim.Granted},
		{"first's reply lost", peerReplyLost, peerServes, nil, claim.Granted},
		{"both replies lost", peerReplyLost, peerReplyLost, nil, claim.Granted},
		{"first without the handler", peerConfused, peerServes, nil, claim.Granted},
		{"platform out for all", peerServes, peerServes, []fault{unavailable, unavailable, unavailable}, refused},
		{"platform out for the first", peerServes, peerServes, []fault{unavailable}, claim.Granted},
		{"reply lost, then platform out", peerReplyLost, peerServes, []fault{none, unavailable, unavailable}, refused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(test.table...)
			z := newZone(table, "h1", "h2", "h3", "h4")
			asker, receivers := z.asker(claim.RowKey("orders", "k"))
			z.faults[receivers[0]], z.faults[receivers[1]] = test.first, test.second

			got := refused
			decision, err := asker.Claim(t.Context(), request("k", "first"))
			if err == nil {
				got = decision.Verdict
			}
			is.Equal(got, test.want)
			if got == claim.Granted {
				asker.Record(request("k", "first"), claim.Outcome{Status: 201, Body: []byte("swan")})
			}
			z.close(t)

			// A second arrival at another host, whatever the first one met.
			table.faults = nil
			again := newZone(table, "h1", "h2", "h3", "h4")
			decision, err = again.hosts[receivers[1]].Claim(t.Context(), request("k", "second"))
			is.NoErr(err)
			if got == claim.Granted {
				is.Equal(decision.Verdict, claim.Recorded)
				is.Equal(string(decision.Outcome.Body), "swan")
			} else {
				is.Equal(decision.Verdict, claim.Granted) // it certainly did not run
			}
			again.close(t)
		})
	}
}

// Many hosts' claims go through two of them.
func TestClaimsOfAZoneShareTransactions(t *testing.T) {
	is := is.New(t)
	table := newTable()
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("h", i))
	}
	z := newZone(table, names...)
	var arrivals sync.WaitGroup
	for i := range 200 {
		arrivals.Go(func() {
			decision, err := z.hosts[names[i%len(names)]].Claim(t.Context(), request(fmt.Sprint("k", i), fmt.Sprint("attempt", i)))
			if err != nil || decision.Verdict != claim.Granted {
				t.Errorf("claim %d: %v, %v", i, decision.Verdict, err)
			}
		})
	}
	arrivals.Wait()
	is.True(len(z.asked) <= batchers)
	z.close(t)
}

func TestOneDaemonSweeps(t *testing.T) {
	is := is.New(t)
	z := newZone(newTable(), "h1", "h2", "h3")
	turns := 0
	for _, self := range []string{"h1", "h2", "h3", "elsewhere"} {
		if sweeps(Self{Host: self, Zone: "a"}, z.Members()) {
			turns++
		}
	}
	is.Equal(turns, 1)
}
