package source

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// countedRequests returns the requests of a host to the store that returned rows.
func (z *zone) countedRequests(host string) int {
	z.mu.Lock()
	l := z.links[host]
	z.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests
}

// restart starts a new source of the host.
func (z *zone) restart(host string, r *fakeStore) *Source {
	z.sources[host].Stop()
	s := z.add(host, r)
	s.Start()
	z.t.Cleanup(s.Stop)
	return s
}

// A follower that restarts beside others takes the rows from one of them, without a request to the
// store, and has the next configuration in time.
func TestRestartedFollowerDoesNotReadTheStore(t *testing.T) {
	const soon = 500 * time.Millisecond
	is := is.New(t)
	r := newFakeStore()
	r.configure(1, "/a")
	z := startZone(t, r, 6)
	z.waitApplied(1)
	z.waitFollowing()
	var host string
	for host = range z.followers() {
		break
	}
	s := z.restart(host, r)
	began := time.Now()
	eventually(t, "the restarted daemon has the configuration", func() bool { return s.number() == 1 })
	is.True(time.Since(began) < soon)
	time.Sleep(soon)
	r.configure(2, "/a", "/b")
	written := time.Now()
	eventually(t, "the restarted daemon has the next configuration", func() bool { return s.number() == 2 })
	is.True(time.Since(written) < testTiming.ApplyWithin)
	is.Equal(z.countedRequests(host), 0)
}

// Daemons whose neighbours hold no maintained rows, as after a restart of all, or don't reply read the
// store.
func TestRestartOfAllReadsTheStore(t *testing.T) {
	const soon = 500 * time.Millisecond
	is := is.New(t)
	r := newFakeStore()
	r.configure(1, "/a")
	z := startZone(t, r, 6)
	began := time.Now()
	z.waitApplied(1)
	is.True(time.Since(began) < soon)
	z.mu.Lock()
	for host := range z.sources {
		z.silent[host] = true
	}
	z.mu.Unlock()
	s := z.restart("host-0", r)
	began = time.Now()
	eventually(t, "the restarted daemon has the configuration", func() bool { return s.number() == 1 })
	is.True(time.Since(began) < soon)
}

// A zone reader that restarts takes the rows from another daemon too, and then follows the store.
func TestRestartedReaderFollowsTheStore(t *testing.T) {
	is := is.New(t)
	r := newFakeStore()
	r.configure(1, "/a")
	z := startZone(t, r, 6)
	z.waitApplied(1)
	z.waitFollowing()
	host := z.readers()[0]
	s := z.restart(host, r)
	eventually(t, "the restarted reader has the configuration", func() bool { return s.number() == 1 })
	eventually(t, "the restarted reader follows the store", s.followsStore.Load)
	is.True(z.countedRequests(host) > 0)
}
