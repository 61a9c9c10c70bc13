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

// secondOfReports is bench.second with reports that go only where a daemon sends
// them.
func (b *bench) secondOfReports(failEvery uint64, controllers ...*Controller) {
	b.secondOf(400, failEvery, controllers...)
}

func (b *bench) secondOf(requests, failEvery uint64, controllers ...*Controller) {
	b.now = b.now.Add(time.Second)
	report := b.report(requests, failEvery)
	receivers := make(map[string]bool)
	for _, m := range b.RunningRollouts() {
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

// join adds two hosts that rank before all others for the move of the service.
func (b *bench) join(is *is.I) {
	var hosts []string
	for _, m := range b.members {
		hosts = append(hosts, m.Host)
	}
	first := rendezvous.Top(rollout.Key("orders"), hosts, 1)[0]
	for i, joined := len(hosts), 0; joined < reportHosts; i++ {
		is.True(i < 1000)
		if m := testMember(i); rendezvous.Top(rollout.Key("orders"), []string{first, m.Host}, 1)[0] == m.Host {
			b.members = append(b.members, m)
			joined++
		}
	}
}

// cutTable answers nothing while the host is cut off from the platform.
type cutTable struct {
	store.Table
	cut *bool
}

func (t cutTable) Get(ctx context.Context, key string) (store.Row, error) {
	if *t.cut {
		return store.Row{}, store.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

// TestHandover disturbs the host that controls a move and checks that the move
// still gets its verdict: a good one by its deadline, a bad one soon.
func TestHandover(t *testing.T) {
	const window = 20 * time.Second
	disturbances := []struct {
		name string
		// act runs after the given number of seconds.
		after int
		act   func(is *is.I, b *bench, holder int, cut *bool)
		// resign makes the holder give up its moves.
		resign bool
	}{
		{"hosts that rank first join before the first step", 1, func(is *is.I, b *bench, _ int, _ *bool) { b.join(is) }, false},
		{"hosts that rank first join at the first share", 4, func(is *is.I, b *bench, _ int, _ *bool) { b.join(is) }, false},
		{"the holder leaves", 4, func(_ *is.I, b *bench, holder int, _ *bool) { b.members[holder].Leaving = true }, false},
		{"the holder resigns", 4, func(*is.I, *bench, int, *bool) {}, true},
		{"the holder is cut off from the platform", 4, func(_ *is.I, _ *bench, _ int, cut *bool) { *cut = true }, false},
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
				b := newBench(is, window)
				began := b.now
				cuts := make([]bool, len(b.members))
				all := b.all()
				for i, c := range all {
					c.config.Table = cutTable{b, &cuts[i]}
				}
				for range d.after {
					b.secondOfReports(0, all...)
				}
				present := holder(is, all)
				known := len(b.members)
				d.act(is, b, present, &cuts[present])
				if d.resign {
					all[present].Resign()
				}
				for _, m := range b.members[known:] {
					all = append(all, b.controller(m.Host))
				}
				for b.now.Before(began.Add(window)) && b.split.Rollout != nil {
					b.secondOfReports(v.failEvery, all...)
				}
				t.Logf("after %s, shares %v", b.now.Sub(began), b.shares)
				is.Equal(b.status(is).Verdict, v.want)
				is.True(b.now.Sub(began) <= v.within)
			})
		}
	}
}
