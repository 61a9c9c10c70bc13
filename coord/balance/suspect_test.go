package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
)

// cutLoad is a zone of a large fleet in which some hosts are cut off for a while. An entry sends to
// each host once in five seconds, so that by itself it learns of the cut slowly.
const (
	cutEntries, cutHosts = 39, 20
	cutOff               = 3 // hosts
	cutLasts             = 12 * time.Second
	// suspectedAfter is the time until the membership suspects a host that is cut off, of probes at
	// intervals of a second.
	suspectedAfter = 3 * time.Second
	silenceAfter   = time.Second // until an entry gives a request up
	entryRate      = 4.0         // requests a second
)

// playCut returns the requests that were sent to hosts while they were cut off, those of them that
// were sent when the membership had suspected these hosts, and the number of all requests.
func playCut(suspicion bool) (lost, lostLater, sent int) {
	random := rand.New(rand.NewPCG(1, 1))
	members := func(status gossip.Status) (members []gossip.Member) {
		for i := range cutHosts {
			target := gossip.Target{Service: "s", Version: "v", Slots: 11}
			member := gossip.Member{Record: gossip.Record{Host: fmt.Sprintf("h%02d", i), Zone: "a", Targets: []gossip.Target{target}}}
			if i < cutOff {
				member.Status = status
			}
			members = append(members, member)
		}
		return members
	}
	isCut := make(map[string]bool)
	for _, member := range members(gossip.Alive)[:cutOff] {
		isCut[member.Host] = true
	}
	for range cutEntries {
		index := balance.NewIndex(balance.Locality{Zone: "a"}, members(gossip.Alive), nil)
		suspected := false
		var silences []*balance.Endpoint
		var silentAt []time.Duration
		for now := time.Duration(0); now < cutLasts; now += time.Duration(random.ExpFloat64() / entryRate * float64(time.Second)) {
			if suspicion && !suspected && now >= suspectedAfter {
				index = balance.NewIndex(balance.Locality{Zone: "a"}, members(gossip.Suspect), index)
				suspected = true
			}
			group := index.Group("s", "v")
			for len(silentAt) > 0 && silentAt[0] <= now {
				group.RecordSilence(silences[0], silentAt[0])
				silences, silentAt = silences[1:], silentAt[1:]
			}
			sent++
			endpoint := balance.NewSearch(group, time.Second).Next(random, now+1, nil).Endpoint
			if isCut[endpoint.Host] {
				lost++
				if now >= suspectedAfter {
					lostLater++
				}
				silences, silentAt = append(silences, endpoint), append(silentAt, now+silenceAfter)
			}
		}
	}
	return lost, lostLater, sent
}

// TestSuspectHostsGetNoRequests plays a cut with and without the suspicions of the membership. With
// them, no request may be lost that is sent after the suspicion.
func TestSuspectHostsGetNoRequests(t *testing.T) {
	is := is.New(t)
	for _, suspicion := range []bool{false, true} {
		lost, lostLater, sent := playCut(suspicion)
		t.Logf("suspicions %t: lost %d of %d, %d of them later than %v after the cut", suspicion, lost, sent, lostLater, suspectedAfter)
		is.Equal(lostLater == 0, suspicion)
	}
}

// Suspects are the last choice, but a choice: a daemon that is cut off suspects all others.
func TestSuspectsAreChosenOnlyWithoutOthers(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	group := func(statuses ...gossip.Status) *balance.Group {
		var members []gossip.Member
		for i, status := range statuses {
			target := gossip.Target{Service: "s", Version: "v", Slots: 2}
			member := gossip.Member{Record: gossip.Record{Host: fmt.Sprint("h", i), Zone: "a", Targets: []gossip.Target{target}}, Status: status}
			members = append(members, member)
		}
		return balance.NewIndex(balance.Locality{Zone: "a"}, members, nil).Group("s", "v")
	}
	for range 20 {
		is.Equal(balance.NewSearch(group(gossip.Suspect, gossip.Alive, gossip.Suspect), 0).Next(random, time.Second, nil).Endpoint.Host, "h1")
		is.True(balance.NewSearch(group(gossip.Suspect, gossip.Suspect), 0).Next(random, time.Second, nil).Endpoint != nil)
	}
	is.Equal(balance.NewSearch(group(gossip.Suspect, gossip.Alive), 0).Next(random, time.Second, []string{"h1"}).Endpoint.Host, "h0")
}
