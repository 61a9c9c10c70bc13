package source

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// waitAppliedInTime waits until a version is in force at all daemons that the filter selects, and fails
// the test if that takes longer than Timing.ApplyWithin.
func (z *zone) waitAppliedInTime(number uint64, selects func(host string) bool) {
	z.t.Helper()
	written := time.Now()
	for host, s := range z.sources {
		if selects(host) {
			eventually(z.t, fmt.Sprintf("version %d at %s", number, host), func() bool { return s.number() == number })
		}
	}
	if took := time.Since(written); took > testTiming.ApplyWithin {
		z.t.Fatalf("version %d was in force after %s", number, took)
	}
}

func TestSilentStoreOfReadersDelaysNoFollower(t *testing.T) {
	r := newFakeStore()
	r.configure(1, "/a/")
	z := startZone(t, r, 6)
	z.waitApplied(1)
	z.waitFollowing()
	readers := z.readers()
	for _, reader := range readers {
		z.links[reader].setSilent(true)
	}
	time.Sleep(testTiming.ApplyWithin / 20) // beyond the responses under way
	r.configure(2, "/a/", "/b/")
	z.waitAppliedInTime(2, func(host string) bool { return !slices.Contains(readers, host) })
}

func TestZoneThatLosesTheStoreGetsConfigurationsFromAnother(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(l *link)
	}{
		{"refused", func(l *link) { l.setCut(true) }},
		{"silent", func(l *link) { l.setSilent(true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newFakeStore()
			r.configure(1, "/a/")
			z := startZone(t, r, 6)
			for i := range 3 {
				s := z.add(fmt.Sprint("b-", i), r)
				s.Start()
				t.Cleanup(s.Stop)
			}
			z.waitApplied(1)
			eventually(t, "all daemons follow the store or a zone reader", func() bool {
				for _, s := range z.sources {
					if !s.followsReader() && !s.followsStore.Load() {
						return false
					}
				}
				return true
			})
			for host, l := range z.links {
				if zoneOf(host) == "a" {
					c.fail(l)
				}
			}
			time.Sleep(testTiming.ApplyWithin / 20) // beyond the responses under way
			r.configure(2, "/a/", "/b/")
			z.waitAppliedInTime(2, func(string) bool { return true })
		})
	}
}

func TestReplyIsNotHeldBackBeyondTheAgeOfCurrentRows(t *testing.T) {
	is := is.New(t)
	s := newSource(newFakeStore())
	s.applyOperator(OperatorChanges{Configurations: []Configuration{configuration(1, 1, "/a/")}})
	query := s.state.heldVersions()
	query.WaitMillis = uint32(s.timing.ApplyWithin.Milliseconds())

	asked := time.Now()
	reply, err := s.ServeRows(t.Context(), query)
	is.NoErr(err)
	is.True(!reply.GetCurrent() && !reply.GetMaintained() && reply.AgeMillis == nil) // never confirmed
	is.True(time.Since(asked) < s.bounds.CurrentLimit())

	s.copy.Confirm(time.Now().Add(-s.bounds.CurrentLimit() / 2))
	asked = time.Now()
	reply, err = s.ServeRows(t.Context(), query)
	is.NoErr(err)
	is.True(!reply.GetCurrent() && reply.GetMaintained())
	held := time.Since(asked)
	is.True(held >= s.bounds.CurrentLimit()/2 && held < s.bounds.CurrentLimit())
	is.True(time.Duration(reply.GetAgeMillis())*time.Millisecond >= s.bounds.CurrentLimit())
}

func TestAgeOfRowsIsPassedOn(t *testing.T) {
	is := is.New(t)
	const age = 700 * time.Millisecond
	r := newFakeStore()
	r.configure(1, "/a/")
	z := &zone{t: t, sources: make(map[string]*Source), links: make(map[string]*link), silent: make(map[string]bool)}
	holder, follower := z.add("host-0", r), z.add("host-1", r)
	holder.copy.Confirm(time.Now().Add(-age))
	reply, err := follower.pullRows(t.Context(), "host-0", 0, time.Second)
	is.NoErr(err)
	is.True(reply.GetCurrent())
	is.True(follower.Age() >= age && follower.Age() < 2*age)

	follower.confirmFromPeer(&peerpb.RowsReply{Current: true}) // of a release without ages
	is.True(follower.Age() < age)
}
