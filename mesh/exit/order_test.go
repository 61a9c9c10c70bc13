package exit_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

// Guards against an exit that does not pass a request's tenant, or that it is nested, to admission control.
func TestQueueOrderFollowsTheRequestHead(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, func(s *settings.Settings) { s.Exit.QueueLength = 16 })
	finish := make(chan struct{})
	end := sync.OnceFunc(func() { close(finish) })
	defer end()
	var mu sync.Mutex
	var ran []string
	fx.target(1, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran = append(ran, r.URL.Path)
		mu.Unlock()
		if r.URL.Path == "/first" {
			<-finish
		}
	})
	first := fx.send(requestHead(http.MethodGet, "/first", ""))
	defer first.Discard()
	fx.waitForLoad(exit.Load{Outstanding: 1, Slots: 1})
	var streams []*peer.Stream
	for i, r := range []struct {
		path, tenant string
		nested       bool
	}{{"/flood1", "flood", false}, {"/flood2", "flood", false}, {"/other", "other", false}, {"/nested", "flood", true}} {
		head := requestHead(http.MethodGet, r.path, "")
		head.Tenant, head.Nested = r.tenant, r.nested
		stream := fx.send(head)
		defer stream.Discard()
		streams = append(streams, stream)
		fx.waitForLoad(exit.Load{Outstanding: 1, Queued: i + 1, Slots: 1})
	}
	end()
	for _, stream := range streams {
		is.True(receive(t, stream).GetAnswer() != nil)
	}
	is.Equal(ran, []string{"/first", "/nested", "/other", "/flood1", "/flood2"})
}

// Guards against a queue that holds a request although its objective passes there: the time that its entry
// states counts, in place of the whole objective of the route.
func TestObjectiveOfTheHeadReplacesThatOfTheRoute(t *testing.T) {
	is := is.New(t)
	wholeObjective := exit.WithLatencyBound(func(string, string) time.Duration { return time.Hour })
	fx := newFixtureOf(t, []exit.Option{wholeObjective}, func(s *settings.Settings) { s.Exit.QueueLength = 16 })
	finish := make(chan struct{})
	end := sync.OnceFunc(func() { close(finish) })
	defer end()
	fx.target(1, func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/first":
			<-finish
		case "/estimate":
			time.Sleep(20 * time.Millisecond)
		}
	})
	is.True(fx.roundTrip(requestHead(http.MethodGet, "/estimate", "")).GetAnswer() != nil)
	fx.waitForLoad(exit.Load{Slots: 1})
	for i, path := range []string{"/first", "/second", "/third"} {
		stream := fx.send(requestHead(http.MethodGet, path, ""))
		defer stream.Discard()
		fx.waitForLoad(exit.Load{Outstanding: 1, Queued: i, Slots: 1})
	}
	head := requestHead(http.MethodGet, "/late", "")
	head.ObjectiveMicros = 1
	is.Equal(fx.roundTrip(head).GetRefusal().GetReason(), peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED)
	end()
}
