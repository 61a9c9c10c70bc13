package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/rendezvous"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
)

// tickCandidatesAtUsualRate is tickCandidates with 400 requests per second.
func (h *harness) tickCandidatesAtUsualRate(failEvery uint64, controllers ...*Controller) {
	h.tickCandidates(400, failEvery, controllers...)
}

// tickCandidates advances the clock by a second, sends the report to the candidates only, as
// daemons do, and ticks all controllers.
func (h *harness) tickCandidates(requests, failEvery uint64, controllers ...*Controller) {
	h.now = h.now.Add(time.Second)
	report := h.report(requests, failEvery)
	receivers := make(map[string]bool)
	for _, m := range h.RunningRollouts() {
		for _, host := range controllers[0].CandidateHosts(m) {
			receivers[host] = true
		}
	}
	for _, c := range controllers {
		if receivers[c.config.Host] {
			c.HandleReport(report)
		}
		c.Tick(context.Background())
	}
}

// addHigherRankedHosts adds reportHosts hosts that rank before all others for the rollout.
func (h *harness) addHigherRankedHosts(is *is.I) {
	var hosts []string
	for _, m := range h.members {
		hosts = append(hosts, m.Host)
	}
	first := rendezvous.Top(rollout.Key("orders"), hosts, 1)[0]
	for i, joined := len(hosts), 0; joined < reportHosts; i++ {
		is.True(i < 1000)
		if m := testMember(i); rendezvous.Top(rollout.Key("orders"), []string{first, m.Host}, 1)[0] == m.Host {
			h.members = append(h.members, m)
			joined++
		}
	}
}

// unreachableTable is a store.Table whose reads fail while the host is cut off from the store.
type unreachableTable struct {
	store.Table
	cut *bool
}

func (t unreachableTable) Get(ctx context.Context, key string) (store.Row, error) {
	if *t.cut {
		return store.Row{}, store.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

// TestHandover removes or displaces the host that controls a rollout, and checks that the rollout
// still gets its verdict: a good version by the deadline, a bad one within 12 s.
func TestHandover(t *testing.T) {
	const window = 20 * time.Second
	disturbances := []struct {
		name string
		// act runs after this number of seconds.
		after int
		act   func(is *is.I, h *harness, holder int, cut *bool)
		// resign makes the lease holder call Resign.
		resign bool
	}{
		{"higher-ranked hosts join before the first step", 1, func(is *is.I, h *harness, _ int, _ *bool) { h.addHigherRankedHosts(is) }, false},
		{"higher-ranked hosts join at the first share", 4, func(is *is.I, h *harness, _ int, _ *bool) { h.addHigherRankedHosts(is) }, false},
		{"the lease holder leaves", 4, func(_ *is.I, h *harness, holder int, _ *bool) { h.members[holder].Leaving = true }, false},
		{"the lease holder resigns", 4, func(*is.I, *harness, int, *bool) {}, true},
		{"the lease holder is cut off from the store", 4, func(_ *is.I, _ *harness, _ int, cut *bool) { *cut = true }, false},
	}
	versions := []struct {
		failEvery uint64
		want      ticket.Verdict
		within    time.Duration
	}{
		{0, ticket.Completed, window},
		{2, ticket.RolledBack, 12 * time.Second},
	}
	for _, d := range disturbances {
		for _, v := range versions {
			t.Run(fmt.Sprintf("%s, %s", d.name, v.want), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(is, window)
				started := h.now
				cuts := make([]bool, len(h.members))
				all := h.controllers()
				for i, c := range all {
					c.config.Table = unreachableTable{h, &cuts[i]}
				}
				for range d.after {
					h.tickCandidatesAtUsualRate(0, all...)
				}
				present := holderIndex(is, all)
				known := len(h.members)
				d.act(is, h, present, &cuts[present])
				if d.resign {
					all[present].Resign()
				}
				for _, m := range h.members[known:] {
					all = append(all, h.controller(m.Host))
				}
				for h.now.Before(started.Add(window)) && h.split.Rollout != nil {
					h.tickCandidatesAtUsualRate(v.failEvery, all...)
				}
				t.Logf("after %s, shares %v", h.now.Sub(started), h.shares)
				is.Equal(h.status(is).Verdict, v.want)
				is.True(h.now.Sub(started) <= v.within)
			})
		}
	}
}
