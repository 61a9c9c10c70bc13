package exit

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/settings"
)

// TestAnnouncementsOfLifetimes checks announcements that arrive out of order, and those of targets
// that succeed each other with the same instance name or address.
func TestAnnouncementsOfLifetimes(t *testing.T) {
	const address, other = "127.0.0.1:9", "127.0.0.1:8"
	announcement := func(instance, address string, incarnation, sequence uint64, leaving bool) admin.Announcement {
		return admin.Announcement{
			Instance: instance, Service: "desk", Version: "v1", Address: address, Slots: 4,
			Incarnation: incarnation, Sequence: sequence, Leaving: leaving,
		}
	}
	ready := func(instance string) string { return instance + " " + string(gossip.TargetReady) }
	leaving := func(instance string) string { return instance + " " + string(gossip.TargetLeaving) }
	cases := []struct {
		name     string
		announce func(e *Exit) error // the error of the last announcement
		want     []string            // instances with their states
		stale    bool
	}{
		{"a late ready announcement does not revoke a leave notice", func(e *Exit) error {
			_ = e.Announce(announcement("i1", address, 100, 5, true))
			return e.Announce(announcement("i1", address, 100, 4, false))
		}, []string{leaving("i1")}, true},
		{"a leave notice holds for the incarnation", func(e *Exit) error {
			_ = e.Announce(announcement("i1", address, 100, 5, true))
			return e.Announce(announcement("i1", address, 100, 6, false))
		}, []string{leaving("i1")}, false},
		{"a withdrawal holds for the incarnation", func(e *Exit) error {
			_ = e.Announce(announcement("i1", address, 100, 5, false))
			e.Withdraw("i1")
			return e.Announce(announcement("i1", address, 100, 6, false))
		}, nil, true},
		{"a withdrawal of an unknown target holds", func(e *Exit) error {
			e.Withdraw("i1")
			return e.Announce(announcement("i1", address, 100, 6, false))
		}, nil, true},
		{"the same instance restarts", func(e *Exit) error {
			_ = e.Announce(announcement("i1", address, 100, 5, true))
			return e.Announce(announcement("i1", address, 200, 1, false))
		}, []string{ready("i1")}, false},
		{"an earlier incarnation arrives late", func(e *Exit) error {
			_ = e.Announce(announcement("i1", address, 200, 1, false))
			return e.Announce(announcement("i1", address, 100, 9, true))
		}, []string{ready("i1")}, true},
		{"another target uses the address", func(e *Exit) error {
			_ = e.Announce(announcement("i1", address, 100, 5, false))
			return e.Announce(announcement("i2", address, 200, 1, false))
		}, []string{ready("i2")}, false},
		{"the previous target at the address arrives late", func(e *Exit) error {
			_ = e.Announce(announcement("i2", address, 200, 1, false))
			return e.Announce(announcement("i1", address, 100, 9, false))
		}, []string{ready("i2")}, true},
		{"two targets at two addresses", func(e *Exit) error {
			_ = e.Announce(announcement("i1", address, 100, 1, false))
			return e.Announce(announcement("i2", other, 50, 1, false))
		}, []string{ready("i1"), ready("i2")}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := New(settings.Default().Exit, peer.Identity{Host: "h1", Zone: "a"}, zap.NewNop())
			is.Equal(errors.Is(c.announce(e), ErrStaleAnnouncement), c.stale)
			var got []string
			e.mu.Lock()
			for _, target := range e.sortedTargets() {
				got = append(got, target.Instance+" "+string(target.stateAt(time.Now())))
			}
			e.mu.Unlock()
			is.Equal(got, c.want)
		})
	}
}

func TestOnlyTheConfiguredTargetAddressIsAccepted(t *testing.T) {
	is := is.New(t)
	s := settings.Default().Exit
	s.Target = "127.0.0.1:9"
	e := New(s, peer.Identity{Host: "h1"}, zap.NewNop())
	a := admin.Announcement{Instance: "i1", Service: "desk", Version: "v1", Address: "127.0.0.1:8", Slots: 1}
	is.True(e.Announce(a) != nil)
	a.Address = s.Target
	is.NoErr(e.Announce(a))
}

// TestColdTargetOffersAllItsSlots announces a target that states how long it is cold: all its slots
// are open at once.
func TestColdTargetOffersAllItsSlots(t *testing.T) {
	is := is.New(t)
	s := settings.Default()
	e := New(s.Exit, peer.Identity{Host: "h1", Zone: "a"}, zap.NewNop())
	is.NoErr(e.Announce(admin.Announcement{
		Instance: "i1", Service: "desk", Version: "v1", Address: "127.0.0.1:9", Slots: 12,
		Incarnation: 100, Sequence: 1, ColdRemaining: revision.Duration(time.Minute),
	}))
	is.Equal(e.VersionLoad("desk", "v1"), Load{Slots: 12})
	is.Equal(e.Targets()[0].State, gossip.TargetCold)
}

func TestOddAnnouncementNamesNoTargetAndKeepsTheOthers(t *testing.T) {
	valid := admin.Announcement{
		Instance: "i1", Service: "desk", Version: "v1", Address: "127.0.0.1:9", Slots: 4, Incarnation: 100, Sequence: 1,
	}
	for name, change := range map[string]func(*admin.Announcement){
		"too many slots":    func(a *admin.Announcement) { a.Slots = gossip.MaxSlots + 1 },
		"long service":      func(a *admin.Announcement) { a.Service = strings.Repeat("s", 1<<14) },
		"long version":      func(a *admin.Announcement) { a.Version = strings.Repeat("v", 1<<14) },
		"port too large":    func(a *admin.Announcement) { a.Address = "127.0.0.1:99999" },
		"port 0":            func(a *admin.Announcement) { a.Address = "127.0.0.1:0" },
		"port not a number": func(a *admin.Announcement) { a.Address = "127.0.0.1:http" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := New(settings.Default().Exit, peer.Identity{Host: "h1", Zone: "a"}, zap.NewNop())
			is.NoErr(e.Announce(valid))
			odd := valid
			odd.Sequence++
			change(&odd)
			is.True(e.Announce(odd) != nil)
			odd.Instance = "i2"
			is.True(e.Announce(odd) != nil)
			targets := e.Targets()
			is.Equal(len(targets), 1)
			is.Equal(targets[0].Slots, 4)
		})
	}
}
