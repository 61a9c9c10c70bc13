package membership

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
)

const (
	testInterval = 200 * time.Millisecond
	waitLimit    = 60 * time.Second
	fleetSize    = 8
)

func startMember(t *testing.T, host string) *Membership {
	t.Helper()
	return startAdvertised(t, host, "")
}

func startAdvertised(t *testing.T, host, address string) *Membership {
	t.Helper()
	config := Config{Listen: "127.0.0.1:0", Gossip: gossip.DefaultConfig(testInterval)}
	self := gossip.Record{Host: host, Zone: "a", Region: "r", PeerAddress: "127.0.0.1:1", GossipAddress: address, AdminAddress: "127.0.0.1:2"}
	m, err := New(config, self, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	return m
}

// startFleet starts members and waits until each lists all of them as alive.
func startFleet(t *testing.T) []*Membership {
	t.Helper()
	fleet := make([]*Membership, fleetSize)
	for i := range fleet {
		fleet[i] = startMember(t, fmt.Sprintf("host-%d", i))
		fleet[i].SetSeeds([]string{fleet[0].Address()})
	}
	eventually(t, "all members alive in every member list", func() bool {
		return everyMemberList(fleet, func(list []gossip.Member) bool {
			return len(list) == fleetSize && !slices.ContainsFunc(list, notAlive)
		})
	})
	return fleet
}

func notAlive(m gossip.Member) bool { return m.Status != gossip.Alive }

func everyMemberList(fleet []*Membership, holds func([]gossip.Member) bool) bool {
	return !slices.ContainsFunc(fleet, func(m *Membership) bool { return !holds(m.Members()) })
}

// eventually polls until holds returns true, and fails the test after waitLimit.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.After(waitLimit)
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for !holds() {
		select {
		case <-deadline:
			t.Fatalf("not within %v: %s", waitLimit, what)
		case <-poll.C:
		}
	}
}

func TestChangesReachAllMembers(t *testing.T) {
	fleet := startFleet(t)
	target := gossip.Target{Service: "desk", Version: "v1", Slots: 12, State: gossip.TargetReady}
	tests := []struct {
		name     string
		change   func()
		observed func(list []gossip.Member) bool
	}{
		{
			name:     "targets",
			change:   func() { fleet[3].SetTargets([]gossip.Target{target}) },
			observed: func(list []gossip.Member) bool { return slices.Contains(list[3].Targets, target) },
		},
		{
			name:     "leaving",
			change:   func() { fleet[5].Leave() },
			observed: func(list []gossip.Member) bool { return list[5].Leaving },
		},
		{
			name:     "death",
			change:   func() { _ = fleet[7].Stop(context.Background()) },
			observed: func(list []gossip.Member) bool { return list[7].Status == gossip.Dead },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.change()
			eventually(t, tt.name, func() bool { return everyMemberList(fleet[:7], tt.observed) })
		})
	}
}

// A host that restarts without leaving must be listed as alive with its new incarnation.
func TestReturningHostIsAlive(t *testing.T) {
	fleet := startFleet(t)
	_ = fleet[2].Stop(context.Background())
	old := fleet[0].Members()[2].Incarnation
	fleet[2] = startMember(t, "host-2")
	fleet[2].SetSeeds([]string{fleet[1].Address()})
	eventually(t, "the new incarnation in every member list", func() bool {
		return everyMemberList(fleet, func(list []gossip.Member) bool {
			return len(list) == fleetSize && list[2].Status == gossip.Alive && list[2].Incarnation > old
		})
	})
}

func TestNewerRevisionIsReported(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t)
	var reported atomic.Uint64
	fleet[6].OnNewerRevision(func(report gossip.RevisionReport) {
		if report.Host == "host-1" {
			reported.Store(report.Revisions.Latest)
		}
	})
	fleet[1].SetRevision(42)
	eventually(t, "the report", func() bool { return reported.Load() == 42 })
	latest, hosts := fleet[6].LatestRevision()
	is.Equal(latest, uint64(42))
	is.Equal(hosts, []string{"host-1"})
	eventually(t, "the revision in the member list", func() bool { return fleet[6].Members()[1].Revision == 42 })
}

func TestUpdatesReachTheZone(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t)
	var calls atomic.Int64
	for _, m := range fleet {
		m.OnUpdate(func(n gossip.Update) {
			if n.Halt != nil && n.Halt.Ticket == 7 {
				calls.Add(1)
			}
		})
	}
	fleet[0].Publish(gossip.Update{TTL: time.Hour, Halt: &gossip.Halt{Service: "desk", Version: "v2", Ticket: 7}})
	eventually(t, "the update at all other members", func() bool { return calls.Load() == fleetSize-1 })
	is.Equal(len(fleet[4].Updates()), 1)
}

func TestOnChangeReceivesTheMemberList(t *testing.T) {
	fleet := startFleet(t)
	var received atomic.Bool
	fleet[4].OnChange(func(list []gossip.Member) {
		if list[1].Leaving {
			received.Store(true)
		}
	})
	fleet[1].Leave()
	eventually(t, "the callback", received.Load)
}

func TestMalformedDatagramsAreCountedAndDropped(t *testing.T) {
	is := is.New(t)
	m := startMember(t, "host-0")
	conn, err := net.Dial("udp", m.Address())
	is.NoErr(err)
	defer conn.Close()
	for _, data := range [][]byte{{0xff}, {}, []byte("no datagram at all"), {0x10, 0x09}} {
		_, err = conn.Write(data)
		is.NoErr(err)
	}
	eventually(t, "all malformed datagrams dropped", func() bool { return m.MalformedDatagrams() == 4 })
	is.Equal(len(m.Members()), 1)
}

// forward relays datagrams to the address that to returns, from another source address, until the
// test ends. It returns the address that it receives on.
func forward(t *testing.T, to func() string) (address string) {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			length, err := conn.Read(buffer)
			if err != nil {
				return
			}
			if target, err := net.ResolveUDPAddr("udp", to()); err == nil {
				_, _ = conn.WriteToUDP(buffer[:length], target)
			}
		}
	}()
	return conn.LocalAddr().String()
}

// Replies go to the advertised address and not to the source address of the packet, so members
// behind a forwarder must find each other.
func TestMembersBehindForwardersUseAdvertisedAddresses(t *testing.T) {
	var members [3]atomic.Pointer[Membership]
	addresses := make([]string, len(members))
	for i := range members {
		addresses[i] = forward(t, func() string {
			if m := members[i].Load(); m != nil {
				return m.Address()
			}
			return ""
		})
	}
	for i := range members {
		members[i].Store(startAdvertised(t, fmt.Sprintf("host-%d", i), addresses[i]))
		members[i].Load().SetSeeds(addresses[:1])
	}
	eventually(t, "all alive at their advertised addresses", func() bool {
		for i := range members {
			list := members[i].Load().Members()
			if len(list) != len(members) || slices.ContainsFunc(list, notAlive) || list[0].GossipAddress != addresses[0] {
				return false
			}
		}
		return true
	})
}

// BenchmarkDatagram measures a probe and its reply, system calls of both ends included.
func BenchmarkDatagram(b *testing.B) {
	config := Config{Listen: "127.0.0.1:0", Gossip: gossip.DefaultConfig(time.Second)}
	m, err := New(config, gossip.Record{Host: "host-0", Zone: "a", Region: "r"}, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	_ = m.Start(context.Background())
	defer func() { _ = m.Stop(context.Background()) }()
	conn, err := net.Dial("udp", m.Address())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	probe := gossip.Message{
		From: gossip.Sender{Host: "host-1", Zone: "a", Address: conn.LocalAddr().String()},
		Body: gossip.Probe{Number: 1, Target: "host-0"},
	}
	data, err := Encode(&probe)
	if err != nil {
		b.Fatal(err)
	}
	buffer := make([]byte, maxDatagram)
	for b.Loop() {
		_, _ = conn.Write(data)
		if _, err := conn.Read(buffer); err != nil {
			b.Fatal(err)
		}
	}
}
