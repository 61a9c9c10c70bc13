package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recoveryLimit is the time within which all members must be alive again in every member list
// after a partition, pause or restart.
const recoveryLimit = 12 * time.Second

func inZone(name string) func(*peer) bool {
	return func(p *peer) bool { return p.record.Zone == name }
}

// failOnDeath returns a function that fails the test when a node declares a member dead.
func failOnDeath(t *testing.T) func(*peer, *Output) {
	return func(at *peer, out *Output) {
		for i := range out.Changed {
			if out.Changed[i].Status == Dead {
				t.Fatalf("%s declared %s dead", at.record.Host, out.Changed[i].Host)
			}
		}
	}
}

func TestNoFalseDeathUnderLoss(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			net := newNetwork(seed, 2, 30)
			net.converge(t)
			net.deliver = dropShare(0.2)
			net.onOutput = failOnDeath(t)
			net.run(5 * time.Minute)
		})
	}
}

// While a partition lasts, no side declares the other dead; after it, all members are alive
// again everywhere within recoveryLimit.
func TestPartitionIsHeldAndHeals(t *testing.T) {
	tests := []struct {
		name   string
		zones  int
		size   int
		inside func(*peer) bool
	}{
		{"one of three zones", 3, 8, inZone("zone-1")},
		{"one of three zones of one host each", 3, 1, inZone("zone-2")},
		{"one of four large zones", 4, 30, inZone("zone-0")},
		{"halves of one zone", 1, 20, func(p *peer) bool { return p.record.Host < hostName(0, 10) }},
		{"halves of every zone", 3, 10, func(p *peer) bool { return p.record.Host[len(hostName(0, 0))-1] < '5' }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			net := newNetwork(1, tt.zones, tt.size)
			net.converge(t)
			net.deliver = partition(tt.inside)
			net.onOutput = failOnDeath(t)
			net.run(2 * time.Minute)
			is.True(net.allMembers(func(members []Member) bool { // the other side is kept as suspect
				return len(members) == len(net.peers) && slices.ContainsFunc(members, func(m Member) bool { return m.Status == Suspect })
			}))
			net.deliver = nil
			elapsed, ok := net.runUntil(recoveryLimit, net.allAlive)
			t.Logf("healed after %v", elapsed)
			is.True(ok)
		})
	}
}

// A host whose own connection fails must not declare its whole zone dead.
func TestIsolatedHostKeepsOthersAndRejoins(t *testing.T) {
	is := is.New(t)
	net := newNetwork(3, 1, 40)
	net.converge(t)
	alone := func(p *peer) bool { return p.record.Host == hostName(0, 7) }
	net.deliver = partition(alone)
	net.run(2 * time.Minute)
	for _, p := range net.peers {
		dead := slices.IndexFunc(p.node.Members(), func(m Member) bool { return m.Status == Dead })
		if alone(p) {
			is.Equal(dead, -1) // most of its own probes fail, so it holds the suspects
		} else {
			is.Equal(dead, 7) // the others declare only that host dead
		}
	}
	net.deliver = nil
	elapsed, ok := net.runUntil(recoveryLimit, net.allAlive)
	t.Logf("rejoined after %v", elapsed)
	is.True(ok)
}

func TestZonesPartitionedFromTheStartMerge(t *testing.T) {
	is := is.New(t)
	net := newNetwork(4, 2, 6)
	net.deliver = partition(inZone("zone-1"))
	net.run(time.Minute)
	net.deliver = nil
	elapsed, ok := net.runUntil(recoveryLimit, net.allAlive)
	t.Logf("merged after %v", elapsed)
	is.True(ok)
}

// Without seeds, only the probes of dead members let two hosts rejoin that declared each other
// dead.
func TestHostsThatDeclaredEachOtherDeadRejoin(t *testing.T) {
	is := is.New(t)
	net := newNetwork(14, 1, 2)
	net.converge(t)
	net.deliver = partition(func(p *peer) bool { return p == net.peers[0] })
	for _, p := range net.peers {
		p.node.SetSeeds(nil)
	}
	_, ok := net.runUntil(time.Minute, func() bool {
		return net.peers[0].node.Members()[1].Status == Dead && net.peers[1].node.Members()[0].Status == Dead
	})
	is.True(ok)
	net.deliver = nil
	_, ok = net.runUntil(recoveryLimit, net.allAlive)
	is.True(ok)
}

// A third of the hosts restarts at once; the new incarnations must replace the old ones
// everywhere.
func TestMassRestart(t *testing.T) {
	tests := []struct {
		name    string
		absence time.Duration
	}{
		{"back at once", 0},
		{"back before the declaration of death", 4 * time.Second},
		{"back after the declaration of death", time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			net := newNetwork(5, 3, 12)
			net.converge(t)
			var restarted []*peer
			for i, p := range net.peers {
				if i%3 == 0 {
					p.down = true
					restarted = append(restarted, p)
				}
			}
			net.run(tt.absence)
			for _, p := range restarted {
				net.restart(p)
			}
			elapsed, ok := net.runUntil(recoveryLimit, func() bool { return net.allAlive() && net.allHaveLatestRecords() })
			t.Logf("recovered after %v", elapsed)
			is.True(ok)
		})
	}
}

// allHaveLatestRecords reports whether every member list has the latest incarnation of every
// record.
func (net *network) allHaveLatestRecords() bool {
	return net.allMembers(func(members []Member) bool {
		for i, p := range net.peers {
			if members[i].Incarnation != p.record.Incarnation {
				return false
			}
		}
		return true
	})
}

// Messages that arrive late, out of order or twice must not replace a record by an older
// version.
func TestReorderedMessagesNeverRevertARecord(t *testing.T) {
	is := is.New(t)
	net := newNetwork(6, 2, 10)
	held := make(map[[2]string]Record)
	net.onOutput = func(at *peer, out *Output) {
		for _, m := range out.Changed {
			key := [2]string{at.record.Host, m.Host}
			before, known := held[key]
			if known && before.NewerThan(&m.Record) {
				t.Fatalf("%s reverted the record of %s to an older version", at.record.Host, m.Host)
			}
			held[key] = m.Record
		}
	}
	net.deliver = reorderAndDuplicate
	for round := range 60 {
		p := net.peers[round%len(net.peers)]
		targets := []Target{{Service: "desk", Version: fmt.Sprintf("v%d", round), Slots: 1, State: TargetCold}}
		net.send(p, p.node.SetTargets(net.now(), targets))
		net.run(time.Second)
	}
	net.deliver = nil
	_, ok := net.runUntil(time.Minute, func() bool { return net.sameRoots() && net.allAlive() })
	is.True(ok)
}

// sameRoots reports whether the tables of all running peers have the same root hash.
func (net *network) sameRoots() bool {
	root := net.peers[0].node.table.root()
	return !slices.ContainsFunc(net.peers, func(p *peer) bool { return !p.down && p.node.table.root() != root })
}

func TestLeavingReachesAll(t *testing.T) {
	tests := []struct {
		zones, size int
		deliver     deliveryFunc
		tokens      float64 // of each member's budget
	}{
		{1, 40, nil, 1000},
		{1, 143, nil, 1000},
		{4, 143, nil, 1000},
		{4, 40, dropShare(0.05), 1000},
		{4, 40, nil, -20000},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d by %d", tt.zones, tt.size), func(t *testing.T) {
			is := is.New(t)
			net := newNetwork(7, tt.zones, tt.size)
			net.converge(t)
			net.deliver = tt.deliver
			for _, p := range net.peers {
				p.node.budget.tokens = tt.tokens
			}
			net.send(net.peers[9], net.peers[9].node.Leave(net.now()))
			elapsed, ok := net.runUntil(3*time.Second, func() bool {
				return net.allMembers(func(members []Member) bool { return members[9].Leaving })
			})
			t.Logf("known to all after %v", elapsed)
			is.True(ok)
		})
	}
}

func TestDeathIsKnownInEveryZone(t *testing.T) {
	for _, size := range []int{3, 40, 143} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			net := newNetwork(8, 2, size)
			net.converge(t)
			net.peers[1].down = true
			suspected, ok := net.runUntil(time.Minute, func() bool {
				return net.peers[0].node.Members()[1].Status != Alive
			})
			is.True(ok)
			known, ok := net.runUntil(time.Minute, func() bool {
				return net.allMembers(func(members []Member) bool { return members[1].Status == Dead })
			})
			t.Logf("suspect in its zone after %v, dead everywhere after %v", suspected, suspected+known)
			is.True(ok)
		})
	}
}

func TestDeadAndLeavingMembersAreRemoved(t *testing.T) {
	tests := []struct {
		name string
		end  func(net *network, p *peer)
	}{
		{"died", func(*network, *peer) {}},
		{"left", func(net *network, p *peer) {
			net.send(p, p.node.Leave(net.now()))
			net.run(5 * time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			net := newNetwork(13, 2, 6)
			net.converge(t)
			tt.end(net, net.peers[1])
			net.peers[1].down = true
			net.run(net.cfg.RemoveAfter - time.Minute)
			is.True(net.allMembers(func(members []Member) bool { return len(members) == len(net.peers) }))
			net.run(2 * time.Minute)
			is.True(net.allMembers(func(members []Member) bool { return len(members) == len(net.peers)-1 }))
		})
	}
}

// A host that resumes after a pause must not apply the deadlines that passed during the pause.
func TestPausedHostDeclaresNobodyDead(t *testing.T) {
	is := is.New(t)
	net := newNetwork(9, 1, 20)
	net.converge(t)
	net.peers[5].paused = true // becomes a suspect and resumes while peer 4 is paused
	_, ok := net.runUntil(recoveryLimit, func() bool { return net.peers[4].node.Members()[5].Status == Suspect })
	is.True(ok)
	net.peers[4].paused = true
	net.peers[5].paused = false
	net.run(20 * time.Second)
	net.peers[4].paused = false
	net.onOutput = func(at *peer, out *Output) {
		if at == net.peers[4] {
			failOnDeath(t)(at, out)
		}
	}
	net.send(net.peers[4], net.peers[4].node.Tick(net.now())) // before any message
	_, ok = net.runUntil(recoveryLimit, net.allAlive)
	is.True(ok)
}

// A host that restarts with its clock set back must raise its incarnation above the earlier
// one, or the members would ignore its records.
func TestEarlierIncarnationIsSuperseded(t *testing.T) {
	is := is.New(t)
	net := newNetwork(10, 1, 5)
	net.converge(t)
	p := net.peers[2]
	old := p.node.self.record.Incarnation
	net.restart(p)
	p.record.Incarnation = old - 1000 // the clock was set back
	p.node = New(net.cfg, p.record, 1, net.now())
	p.node.SetSeeds([]string{net.peers[0].record.GossipAddress})
	_, ok := net.runUntil(recoveryLimit, func() bool {
		return net.allMembers(func(members []Member) bool { return len(members) == 5 && members[2].Incarnation == old+1 })
	})
	is.True(ok)
}

func TestUpdatesReachOnlyTheirZone(t *testing.T) {
	is := is.New(t)
	net := newNetwork(11, 2, 20)
	net.converge(t)
	halt := Update{TTL: time.Minute, Halt: &Halt{Service: "desk", Version: "v2", Ticket: 3}}
	net.send(net.peers[0], net.peers[0].node.Publish(net.now(), halt))
	net.run(3 * time.Second)
	net.restart(net.peers[5]) // a restarted host receives the updates that have not expired
	net.run(10 * time.Second)
	for _, p := range net.peers {
		is.Equal(len(p.node.Updates(net.now())) == 1, p.record.Zone == "zone-0")
	}
	net.run(time.Minute)
	is.Equal(len(net.peers[5].node.Updates(net.now())), 0) // expired
}

func TestUpdatesAreBoundedAndKeepHalts(t *testing.T) {
	is := is.New(t)
	net := newNetwork(15, 1, 1)
	node := net.peers[0].node
	node.Publish(net.now(), Update{TTL: time.Minute, Halt: &Halt{Service: "desk", Version: "v2", Ticket: 1}})
	for i := range 2 * net.cfg.MaxUpdates {
		node.Publish(net.now(), Update{TTL: time.Minute, Crash: &Crash{Fingerprint: uint64(i)}})
	}
	held := node.Updates(net.now())
	is.Equal(len(held), net.cfg.MaxUpdates)
	is.True(slices.ContainsFunc(held, func(n Update) bool { return n.Halt != nil }))
}

func TestLatestRevisionAndItsHosts(t *testing.T) {
	is := is.New(t)
	net := newNetwork(12, 2, 4)
	net.converge(t)
	net.peers[1].node.SetRevisions(Revisions{Latest: 9})
	net.peers[2].node.SetRevisions(Revisions{Latest: 9})
	net.peers[3].node.SetRevisions(Revisions{Latest: 8})
	net.run(20 * time.Second)
	revision, hosts := net.peers[0].node.LatestRevision()
	is.Equal(revision, uint64(9))
	is.Equal(hosts, []string{hostName(0, 1), hostName(0, 2)})
}

func TestCrashesOfOneHostAreDistinct(t *testing.T) {
	is := is.New(t)
	net := newNetwork(13, 1, 5)
	net.converge(t)
	for number := range uint64(2) {
		crash := Update{TTL: time.Minute, Crash: &Crash{Fingerprint: 1, Number: number}}
		net.send(net.peers[0], net.peers[0].node.Publish(net.now(), crash))
	}
	net.run(10 * time.Second)
	for _, p := range net.peers {
		is.Equal(len(p.node.Updates(net.now())), 2)
	}
}
