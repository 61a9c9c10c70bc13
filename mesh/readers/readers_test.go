package readers

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
)

// zoneOf returns the members of zone "a" with the given number of hosts, and one of another zone.
func zoneOf(hosts int) (members []gossip.Member) {
	for i := range hosts {
		record := gossip.Record{Host: fmt.Sprintf("host-%d", i), Zone: "a"}
		members = append(members, gossip.Member{Record: record, Status: gossip.Alive})
	}
	return append(members, gossip.Member{Record: gossip.Record{Host: "elsewhere", Zone: "b"}, Status: gossip.Alive})
}

func TestReadersShareTheFollowers(t *testing.T) {
	for _, c := range []struct{ hosts, readers int }{{1, 1}, {2, 2}, {4, 2}, {28, 2}, {36, 3}, {143, 9}} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			is := is.New(t)
			members := zoneOf(c.hosts)
			followers := make(map[string]int) // by zone reader
			followNone := 0
			for i := range c.hosts {
				self := fmt.Sprintf("host-%d", i)
				chosen := Choose(self, "a", members, true)
				is.True(!slices.Contains(chosen, self))
				if len(chosen) == 0 {
					followNone++
					continue
				}
				is.Equal(len(chosen), c.readers)
				followers[chosen[0]]++
			}
			is.Equal(followNone, c.readers)
			for _, count := range followers {
				is.True(count <= maxFollowersPerReader)
			}
		})
	}
}

func TestReaderWithoutTheStoreFollowsAnother(t *testing.T) {
	is := is.New(t)
	members := zoneOf(4)
	readers := Rank("host-0", "a", members)[:2]
	is.Equal(Choose(readers[0], "a", members, true), nil)
	is.Equal(Choose(readers[0], "a", members, false), readers[1:])
	is.Equal(len(Choose("host-0", "a", zoneOf(1), false)), 0) // the only host
}

func TestSuspectDeadAndLeavingHostsAreNotRanked(t *testing.T) {
	for name, change := range map[string]func(*gossip.Member){
		"suspect": func(m *gossip.Member) { m.Status = gossip.Suspect },
		"dead":    func(m *gossip.Member) { m.Status = gossip.Dead },
		"leaving": func(m *gossip.Member) { m.Leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := zoneOf(6)
			first := Rank("host-0", "a", members)[0]
			for i := range members {
				if members[i].Host == first {
					change(&members[i])
				}
			}
			ranked := Rank("other", "a", members)
			is.True(!slices.Contains(ranked, first))
			is.Equal(len(ranked), 6) // the remaining five and "other"
		})
	}
}
