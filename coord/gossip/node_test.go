package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// healLimit is the time within which a healed cut must be whole again.
const healLimit = 12 * time.Second

func inZone(name string) func(*peer) bool {
	return func(p *peer) bool { return p.record.Zone == name }
}

func failOnDeath(t *testing.T) func(*peer, *Output) {
	return func(at *peer, out *Output) {
		for i := range out.Changed {
			if out.Changed[i].Status == Dead {
				t.Fatalf("%s took %s for dead", at.record.Host, out.Changed[i].Host)
			}
		}
	}
}

func TestNoFalseDeathUnderLoss(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			l := newLoop(seed, 2, 30)
			l.converge(t)
			l.fault = lose(0.2)
			l.watcher = failOnDeath(t)
			l.run(5 * time.Minute)
		})
	}
}

func TestCutIsHeldAndHeals(t *testing.T) {
	tests := []struct {
		name   string
		zones  int
		size   int
		inside func(*peer) bool
	}{
		{"zone of three", 3, 8, inZone("zone-1")},
		{"zone of one host each", 3, 1, inZone("zone-2")},
		{"zone of four large ones", 4, 30, inZone("zone-0")},
		{"halves of one zone", 1, 20, func(p *peer) bool { return p.record.Host < hostName(0, 10) }},
		{"halves of every zone", 3, 10, func(p *peer) bool { return p.record.Host[len(hostName(0, 0))-1] < '5' }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := newLoop(1, tt.zones, tt.size)
			l.converge(t)
			l.fault = cut(tt.inside)
			l.watcher = failOnDeath(t)
			l.run(2 * time.Minute)
			is.True(l.every(func(view []Member) bool { // the other side is kept as suspect
				return len(view) == len(l.peers) && slices.ContainsFunc(view, func(m Member) bool { return m.Status == Suspect })
			}))
			l.fault = nil
			took, ok := l.runUntil(healLimit, l.allAlive)
			t.Logf("healed after %v", took)
			is.True(ok)
		})
	}
}

func TestIsolatedHostKeepsOthersAndRejoins(t *testing.T) {
	is := is.New(t)
	l := newLoop(3, 1, 40)
	l.converge(t)
	alone := func(p *peer) bool { return p.record.Host == hostName(0, 7) }
	l.fault = cut(alone)
	l.run(2 * time.Minute)
	for _, p := range l.peers {
		dead := slices.IndexFunc(p.node.Members(), func(m Member) bool { return m.Status == Dead })
		if alone(p) {
			is.Equal(dead, -1) // it suspects itself first
		} else {
			is.Equal(dead, 7) // the others lost only one
		}
	}
	l.fault = nil
	took, ok := l.runUntil(healLimit, l.allAlive)
	t.Logf("rejoined after %v", took)
	is.True(ok)
}

func TestHalvesThatNeverMetFindEachOther(t *testing.T) {
	is := is.New(t)
	l := newLoop(4, 2, 6)
	l.fault = cut(inZone("zone-1"))
	l.run(time.Minute)
	l.fault = nil
	took, ok := l.runUntil(healLimit, l.allAlive)
	t.Logf("met after %v", took)
	is.True(ok)
}

func TestHostsThatHoldEachOtherDeadMeetAgain(t *testing.T) {
	is := is.New(t)
	l := newLoop(14, 1, 2)
	l.converge(t)
	l.fault = cut(func(p *peer) bool { return p == l.peers[0] })
	for _, p := range l.peers {
		p.node.SetSeeds(nil)
	}
	_, ok := l.runUntil(time.Minute, func() bool {
		return l.peers[0].node.Members()[1].Status == Dead && l.peers[1].node.Members()[0].Status == Dead
	})
	is.True(ok)
	l.fault = nil
	_, ok = l.runUntil(healLimit, l.allAlive)
	is.True(ok)
}

func TestHerdRestart(t *testing.T) {
	tests := []struct {
		name    string
		absence time.Duration
	}{
		{"back at once", 0},
		{"back before the verdict", 4 * time.Second},
		{"back after the verdict", time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := newLoop(5, 3, 12)
			l.converge(t)
			var herd []*peer
			for i, p := range l.peers {
				if i%3 == 0 {
					p.down = true
					herd = append(herd, p)
				}
			}
			l.run(tt.absence)
			for _, p := range herd {
				l.boot(p)
			}
			took, ok := l.runUntil(healLimit, func() bool { return l.allAlive() && l.allCurrent() })
			t.Logf("whole after %v", took)
			is.True(ok)
		})
	}
}

// allCurrent reports whether every view has every record's last version.
func (l *loop) allCurrent() bool {
	return l.every(func(view []Member) bool {
		for i, p := range l.peers {
			if view[i].Incarnation != p.record.Incarnation {
				return false
			}
		}
		return true
	})
}

func TestScrambledMessagesNeverLowerARecord(t *testing.T) {
	is := is.New(t)
	l := newLoop(6, 2, 10)
	held := make(map[[2]string]Record)
	l.watcher = func(at *peer, out *Output) {
		for _, m := range out.Changed {
			key := [2]string{at.record.Host, m.Host}
			before, known := held[key]
			if known && before.NewerThan(&m.Record) {
				t.Fatalf("%s went back on %s", at.record.Host, m.Host)
			}
			held[key] = m.Record
		}
	}
	l.fault = scramble
	for round := range 60 {
		p := l.peers[round%len(l.peers)]
		targets := []Target{{Service: "desk", Version: fmt.Sprintf("v%d", round), Slots: 1, State: TargetCold}}
		l.carry(p, p.node.SetTargets(l.now(), targets))
		l.run(time.Second)
	}
	l.fault = nil
	_, ok := l.runUntil(time.Minute, func() bool { return l.sameRoots() && l.allAlive() })
	is.True(ok)
}

func (l *loop) sameRoots() bool {
	root := l.peers[0].node.table.root()
	return !slices.ContainsFunc(l.peers, func(p *peer) bool { return !p.down && p.node.table.root() != root })
}

func TestLeavingReachesAll(t *testing.T) {
	tests := []struct {
		zones, size int
		fault       fault
		tokens      float64 // of each member's budget
	}{
		{1, 40, nil, 1000},
		{1, 143, nil, 1000},
		{4, 143, nil, 1000},
		{4, 40, lose(0.05), 1000},
		{4, 40, nil, -20000},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d by %d", tt.zones, tt.size), func(t *testing.T) {
			is := is.New(t)
			l := newLoop(7, tt.zones, tt.size)
			l.converge(t)
			l.fault = tt.fault
			for _, p := range l.peers {
				p.node.budget.tokens = tt.tokens
			}
			l.carry(l.peers[9], l.peers[9].node.Leave(l.now()))
			took, ok := l.runUntil(3*time.Second, func() bool {
				return l.every(func(view []Member) bool { return view[9].Leaving })
			})
			t.Logf("known to all after %v", took)
			is.True(ok)
		})
	}
}

func TestDeathIsKnownInEveryZone(t *testing.T) {
	for _, size := range []int{3, 40, 143} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			l := newLoop(8, 2, size)
			l.converge(t)
			l.peers[1].down = true
			suspected, ok := l.runUntil(time.Minute, func() bool {
				return l.peers[0].node.Members()[1].Status != Alive
			})
			is.True(ok)
			known, ok := l.runUntil(time.Minute, func() bool {
				return l.every(func(view []Member) bool { return view[1].Status == Dead })
			})
			t.Logf("suspect in its zone after %v, dead everywhere after %v", suspected, suspected+known)
			is.True(ok)
		})
	}
}

func TestEndedMembersAreForgotten(t *testing.T) {
	tests := []struct {
		name string
		end  func(l *loop, p *peer)
	}{
		{"died", func(*loop, *peer) {}},
		{"left", func(l *loop, p *peer) {
			l.carry(p, p.node.Leave(l.now()))
			l.run(5 * time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := newLoop(13, 2, 6)
			l.converge(t)
			tt.end(l, l.peers[1])
			l.peers[1].down = true
			l.run(l.cfg.RemoveAfter - time.Minute)
			is.True(l.every(func(view []Member) bool { return len(view) == len(l.peers) }))
			l.run(2 * time.Minute)
			is.True(l.every(func(view []Member) bool { return len(view) == len(l.peers)-1 }))
		})
	}
}

func TestPausedHostJudgesNobody(t *testing.T) {
	is := is.New(t)
	l := newLoop(9, 1, 20)
	l.converge(t)
	l.peers[5].frozen = true // suspected, and back while peer 4 is paused
	_, ok := l.runUntil(healLimit, func() bool { return l.peers[4].node.Members()[5].Status == Suspect })
	is.True(ok)
	l.peers[4].frozen = true
	l.peers[5].frozen = false
	l.run(20 * time.Second)
	l.peers[4].frozen = false
	l.watcher = func(at *peer, out *Output) {
		if at == l.peers[4] {
			failOnDeath(t)(at, out)
		}
	}
	l.carry(l.peers[4], l.peers[4].node.Tick(l.now())) // before any message
	_, ok = l.runUntil(healLimit, l.allAlive)
	is.True(ok)
}

func TestEarlierIncarnationIsOutbid(t *testing.T) {
	is := is.New(t)
	l := newLoop(10, 1, 5)
	l.converge(t)
	p := l.peers[2]
	old := p.node.self.record.Incarnation
	l.boot(p)
	p.record.Incarnation = old - 1000 // the clock went back
	p.node = New(l.cfg, p.record, 1, l.now())
	p.node.SetSeeds([]string{l.peers[0].record.GossipAddress})
	_, ok := l.runUntil(healLimit, func() bool {
		return l.every(func(view []Member) bool { return len(view) == 5 && view[2].Incarnation == old+1 })
	})
	is.True(ok)
}

func TestNoticesReachTheZoneOnly(t *testing.T) {
	is := is.New(t)
	l := newLoop(11, 2, 20)
	l.converge(t)
	trip := Update{TTL: time.Minute, Halt: &Halt{Service: "desk", Version: "v2", Ticket: 3}}
	l.carry(l.peers[0], l.peers[0].node.Publish(l.now(), trip))
	l.run(3 * time.Second)
	l.boot(l.peers[5]) // a host that returns learns what still holds
	l.run(10 * time.Second)
	for _, p := range l.peers {
		is.Equal(len(p.node.Updates(l.now())) == 1, p.record.Zone == "zone-0")
	}
	l.run(time.Minute)
	is.Equal(len(l.peers[5].node.Updates(l.now())), 0) // expired
}

func TestNoticesAreBoundedAndKeepTrips(t *testing.T) {
	is := is.New(t)
	l := newLoop(15, 1, 1)
	node := l.peers[0].node
	node.Publish(l.now(), Update{TTL: time.Minute, Halt: &Halt{Service: "desk", Version: "v2", Ticket: 1}})
	for i := range 2 * l.cfg.MaxUpdates {
		node.Publish(l.now(), Update{TTL: time.Minute, Crash: &Crash{Fingerprint: uint64(i)}})
	}
	held := node.Updates(l.now())
	is.Equal(len(held), l.cfg.MaxUpdates)
	is.True(slices.ContainsFunc(held, func(n Update) bool { return n.Halt != nil }))
}

func TestNewestRevisionAndItsHolders(t *testing.T) {
	is := is.New(t)
	l := newLoop(12, 2, 4)
	l.converge(t)
	l.peers[1].node.SetRevision(9)
	l.peers[2].node.SetRevision(9)
	l.peers[3].node.SetRevision(8)
	l.run(20 * time.Second)
	revision, hosts := l.peers[0].node.NewestRevision()
	is.Equal(revision, uint64(9))
	is.Equal(hosts, []string{hostName(0, 1), hostName(0, 2)})
}

func TestCrashesOfOneHostAreToldApart(t *testing.T) {
	is := is.New(t)
	l := newLoop(13, 1, 5)
	l.converge(t)
	for number := range uint64(2) {
		crash := Update{TTL: time.Minute, Crash: &Crash{Fingerprint: 1, Number: number}}
		l.carry(l.peers[0], l.peers[0].node.Publish(l.now(), crash))
	}
	l.run(10 * time.Second)
	for _, p := range l.peers {
		is.Equal(len(p.node.Updates(l.now())), 2)
	}
}
