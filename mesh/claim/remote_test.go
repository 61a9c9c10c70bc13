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

var errConnectionReset = errors.New("connection reset")

// peerFault is the effect injected into messages to a host.
type peerFault int

const (
	peerServes peerFault = iota
	peerDown
	peerReplyLost // the message is carried out, but the reply is lost
	peerWrongStep // the reply is an error of another step
)

// zone holds the daemons of one availability zone over one table. It implements Peers and Members.
type zone struct {
	hosts    map[string]*Claimer
	mutex    sync.Mutex
	faults   map[string]peerFault
	messages map[string]int // control messages by host
}

func newZone(table store.Table, names ...string) *zone {
	z := &zone{hosts: map[string]*Claimer{}, faults: map[string]peerFault{}, messages: map[string]int{}}
	for _, name := range names {
		claimer := NewZoned(Self{Host: name, Zone: "a"}, z, z, table, zap.NewNop())
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
	z.messages[host]++
	fault := z.faults[host]
	z.mutex.Unlock()
	switch fault {
	case peerDown:
		return nil, errConnectionReset
	case peerWrongStep:
		return &peerpb.ControlReply{Body: &peerpb.ControlReply_Error{Error: &peerpb.ControlError{Step: "dispatch"}}}, nil
	}
	reply := z.hosts[host].Serve(ctx, request.GetClaim())
	if fault == peerReplyLost {
		return nil, errConnectionReset
	}
	return &peerpb.ControlReply{Body: &peerpb.ControlReply_Claim{Claim: reply}}, nil
}

// nonBatcher returns the claimer of a host that does not batch, and the two hosts that do.
func (z *zone) nonBatcher(key string) (nonBatcher *Claimer, batchers []string) {
	for _, claimer := range z.hosts {
		members := claimer.backend.(*zoneBackend).batchersFor(key)
		if len(members) == batchersPerZone {
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
		{"first replies with an error", peerWrongStep, peerServes, nil, claim.Granted},
		{"store unavailable for all", peerServes, peerServes, []fault{unavailable, unavailable, unavailable}, refused},
		{"store unavailable for the first", peerServes, peerServes, []fault{unavailable}, claim.Granted},
		{"reply lost, then store unavailable", peerReplyLost, peerServes, []fault{noFault, unavailable, unavailable}, refused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(test.table...)
			z := newZone(table, "h1", "h2", "h3", "h4")
			sender, batchers := z.nonBatcher(claim.RowKey("orders", "k"))
			z.faults[batchers[0]], z.faults[batchers[1]] = test.first, test.second

			got := refused
			decision, err := sender.Claim(t.Context(), request("k", "first"))
			if err == nil {
				got = decision.Verdict
			}
			is.Equal(got, test.want)
			if got == claim.Granted {
				sender.Record(request("k", "first"), claim.Outcome{Status: 201, Body: []byte("order")})
			}
			z.close(t)

			// A repetition of the request at another host, after any fault of the first attempt.
			table.faults = nil
			again := newZone(table, "h1", "h2", "h3", "h4")
			decision, err = again.hosts[batchers[1]].Claim(t.Context(), request("k", "second"))
			is.NoErr(err)
			if got == claim.Granted {
				is.Equal(decision.Verdict, claim.Recorded)
				is.Equal(string(decision.Outcome.Body), "order")
			} else {
				is.Equal(decision.Verdict, claim.Granted) // it certainly did not run
			}
			again.close(t)
		})
	}
}

// The claims of many hosts pass through two of them.
func TestClaimsOfAZoneShareTransactions(t *testing.T) {
	is := is.New(t)
	table := newTable()
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("h", i))
	}
	z := newZone(table, names...)
	var attempts sync.WaitGroup
	for i := range 200 {
		attempts.Go(func() {
			decision, err := z.hosts[names[i%len(names)]].Claim(t.Context(), request(fmt.Sprint("k", i), fmt.Sprint("attempt", i)))
			if err != nil || decision.Verdict != claim.Granted {
				t.Errorf("claim %d: %v, %v", i, decision.Verdict, err)
			}
		})
	}
	attempts.Wait()
	is.True(len(z.messages) <= batchersPerZone)
	z.close(t)
}

func TestOneDaemonSweeps(t *testing.T) {
	is := is.New(t)
	z := newZone(newTable(), "h1", "h2", "h3")
	sweepers := 0
	for _, self := range []string{"h1", "h2", "h3", "elsewhere"} {
		if isSweeper(Self{Host: self, Zone: "a"}, z.Members()) {
			sweepers++
		}
	}
	is.Equal(sweepers, 1)
}
