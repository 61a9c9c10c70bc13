package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
)

var testStart = time.Unix(1700000000, 0).UTC()

func testRollout(window time.Duration) revision.Rollout {
	return revision.Rollout{Ticket: 1, From: "v1", To: "v2", By: testStart.Add(window)}
}

// drawEvidence draws evidence independent of earlier draws.
func drawEvidence(t *rapid.T) Evidence {
	e := Evidence{
		Reporting: rapid.IntRange(0, 9).Draw(t, "reporting") > 0,
		Rate:      rapid.Float64Range(0, 1000).Draw(t, "rate"),
		Hosts:     Hosts{From: rapid.IntRange(0, 100).Draw(t, "from"), To: rapid.IntRange(0, 100).Draw(t, "to")},
	}
	e.Verdict = detect.Verdict{
		Kind:            rapid.SampledFrom([]detect.Kind{detect.Undecided, detect.Good, detect.Good, detect.Good}).Draw(t, "kind"),
		ExcessBound:     rapid.Float64Range(0.005, 1).Draw(t, "excess"),
		StepExcessBound: rapid.Float64Range(0.005, 1).Draw(t, "step excess"),
		StepRequests:    uint64(rapid.IntRange(0, 100).Draw(t, "requests")),
		BadEvidence:     rapid.Float64Range(0, 1).Draw(t, "suspicion"),
	}
	if rapid.IntRange(0, 99).Draw(t, "bad") == 0 {
		e.Verdict.Kind = detect.Bad
	}
	if rapid.IntRange(0, 99).Draw(t, "halted") == 0 {
		e.Halted = []string{"a"}
	}
	return e
}

// checkStep checks one decision against the invariants.
func checkStep(t *rapid.T, before, after State, e Evidence, now time.Time) {
	is := is.New(t)
	policy := PolicyFor(before.Preference)
	grown := after.Share > before.Share && after.Verdict == ticket.Running
	if grown {
		is.True(e.Reporting && e.Hosts.To > 0)                             // no growth without evidence
		is.True(e.Verdict.Kind != detect.Bad && len(e.Halted) == 0)        // no growth of a bad version
		is.True(after.Share <= min(after.TargetShare, revision.FullShare)) // at most the final share
		is.True(now.Before(after.Deadline))
	}
	if grown && before.Share == 0 {
		is.True(after.Share <= policy.MaxCanaryShare)
	}
	if grown && before.Share > 0 {
		is.True(e.Verdict.StepRequests > 0)
		is.True(e.Verdict.BadEvidence < badEvidenceLimit)
		is.True(float64(after.Share)*e.Verdict.ExcessBound <= policy.MaxHarm*revision.FullShare+1)
	}
	if e.Verdict.Kind == detect.Bad || len(e.Halted) > 0 {
		is.Equal(after.Verdict, ticket.RolledBack)
	}
	switch after.Verdict {
	case ticket.RolledBack:
		is.Equal(after.Share, 0)
		is.True(after.Reason != "")
	case ticket.Completed:
		is.Equal(after.Share, after.TargetShare)
		is.Equal(before.Step, "bake")
	}
	split := after.Split()
	sum := 0
	for _, share := range split.Shares {
		sum += share.Weight
	}
	is.Equal(sum, revision.FullShare)
	is.Equal(split.Rollout == nil, after.Verdict != ticket.Running)
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		window := time.Duration(rapid.IntRange(5, 200).Draw(t, "window")) * time.Second
		rollout := testRollout(window)
		rollout.Target = rapid.IntRange(1, revision.FullShare).Draw(t, "target")
		preference := rapid.SampledFrom([]revision.Preference{"", revision.PreferSafety, revision.PreferDeadline}).Draw(t, "preference")
		s := NewState("orders", rollout, preference, testStart)
		for now := testStart; now.Before(rollout.By); now = now.Add(time.Second) {
			data, err := Encode(s) // another controller continues from the row
			is.NoErr(err)
			s, err = Decode(data)
			is.NoErr(err)
			e := drawEvidence(t)
			next, actions := Next(s, e, now)
			is.True(len(actions) <= 1)
			if s.Verdict != ticket.Running {
				is.Equal(len(actions), 0) // a verdict is final
				is.Equal(next.Verdict, s.Verdict)
			} else {
				checkStep(t, s, next, e, now)
			}
			s = next
		}
		is.True(s.Verdict != ticket.Running) // a verdict by the deadline
	})
}

func TestReasons(t *testing.T) {
	good := detect.Verdict{Kind: detect.Good, ExcessBound: 0.01, StepExcessBound: 0.01, StepRequests: 100}
	hosts := Hosts{From: 5, To: 5}
	cases := []struct {
		name     string
		evidence Evidence
		reason   string
	}{
		{"no ready targets", Evidence{Reporting: true}, "not proved good by its deadline: no ready target of v2"},
		{"no outcome reports", Evidence{Hosts: hosts}, "not proved good by its deadline: no outcome reports"},
		{"halt in one zone", Evidence{Hosts: hosts, Reporting: true, Halted: []string{"zone a"}}, "stopped in zone a"},
		{"evidence close to a bad verdict", Evidence{Hosts: hosts, Reporting: true, Verdict: func() detect.Verdict {
			v := good
			v.BadEvidence = 0.9
			return v
		}()}, "not proved good by its deadline: at step canary and a share of 5.00%, some route or zone is close to a verdict of worse"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState("orders", testRollout(time.Minute), revision.PreferSafety, testStart)
			for now := testStart; now.Before(s.Deadline); now = now.Add(time.Second) {
				s, _ = Next(s, c.evidence, now)
			}
			is.Equal(s.Verdict, ticket.RolledBack)
			is.Equal(s.Reason, c.reason)
		})
	}
}

// TestSettlesOnEnoughHosts checks that the old version's hosts stop only if those of the new
// version can carry their requests, also when new hosts are lost after the new version received
// all traffic.
func TestSettlesOnEnoughHosts(t *testing.T) {
	good := detect.Verdict{Kind: detect.Good, ExcessBound: 0.01, StepExcessBound: 0.01, Requests: 500, StepRequests: 100}
	cases := []struct {
		name   string
		hosts  Hosts
		lost   int // hosts of the new version lost once it receives all requests
		want   ticket.Verdict
		reason string
	}{
		{"as many hosts", Hosts{From: 5, To: 5}, 0, ticket.Completed, "excess of failures and slow answers below 1.0% over 500 calls"},
		{"one host fewer", Hosts{From: 5, To: 4}, 0, ticket.Completed, "excess of failures and slow answers below 1.0% over 500 calls"},
		{"two hosts fewer", Hosts{From: 5, To: 3}, 0, ticket.RolledBack, "not completed by its deadline: 3 ready hosts of v2 can't carry the calls of 5"},
		{"two hosts lost while settling", Hosts{From: 5, To: 5}, 2, ticket.RolledBack, "not completed by its deadline: 3 ready hosts of v2 can't carry the calls of 5"},
		{"targets that name a small rate", Hosts{From: 5, To: 5, FromSlots: 60, ToSlots: 20}, 0, ticket.RolledBack, "not completed by its deadline: 5 ready hosts of v2 can't carry the calls of 5"},
		{"targets of both versions that do", Hosts{From: 5, To: 5, FromSlots: 20, ToSlots: 20}, 0, ticket.Completed, "excess of failures and slow answers below 1.0% over 500 calls"},
		{"old hosts lost too", Hosts{From: 3, To: 3}, 0, ticket.Completed, "excess of failures and slow answers below 1.0% over 500 calls"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rollout := testRollout(shortWindow)
			rollout.Settle = revision.Duration(shortSettle)
			s := NewState("orders", rollout, revision.PreferBounded, testStart)
			for now := testStart; now.Before(s.Deadline); now = now.Add(time.Second) {
				hosts := c.hosts
				if s.Step == "settle" {
					hosts.To -= c.lost
				}
				s, _ = Next(s, Evidence{Hosts: hosts, Reporting: true, Rate: 200, Verdict: good}, now)
			}
			is.Equal(s.Verdict, c.want)
			is.Equal(s.Reason, c.reason)
		})
	}
}

// TestSkipsOverdueLevelsAfterAPause continues a rollout on another controller after a pause:
// levels whose planned time has passed are skipped as far as the evidence supports.
func TestSkipsOverdueLevelsAfterAPause(t *testing.T) {
	evidence := func(excess float64) Evidence {
		return Evidence{Hosts: Hosts{From: 3, To: 3}, Reporting: true, Rate: 200, Verdict: detect.Verdict{
			Kind: detect.Good, ExcessBound: excess, StepExcessBound: excess, Requests: 500, StepRequests: 100,
		}}
	}
	cases := []struct {
		name   string
		excess float64
		want   string // the first level after the pause
	}{
		{"good", 0.01, "last but one"},
		{"evidence for the next level only", 0.9, "next"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rollout := testRollout(2 * shortWindow)
			rollout.Settle = revision.Duration(shortSettle)
			s := NewState("orders", rollout, revision.PreferBounded, testStart)
			s, _ = Next(s, evidence(c.excess), testStart)
			is.True(len(s.Levels) > 3)
			wanted := map[string]int{"next": s.Levels[1].Share, "last but one": s.Levels[len(s.Levels)-2].Share}
			s, _ = Next(s, evidence(c.excess), s.Levels[len(s.Levels)-1].StartAt.Add(-time.Second))
			is.Equal(s.Share, wanted[c.want])
		})
	}
}

// TestSettlesLateAfterALateTick guards against rolling back a rollout that settles just after the
// planned time for its verdict because a tick came late; it completes instead.
func TestSettlesLateAfterALateTick(t *testing.T) {
	is := is.New(t)
	rollout := testRollout(shortWindow)
	rollout.Settle = revision.Duration(time.Second)
	s := NewState("orders", rollout, revision.PreferBounded, testStart)
	s.Step, s.Share = "settle", revision.FullShare
	s.StepAt = s.verdictWriteDeadline().Add(-s.Settle.Std() + 5*time.Millisecond)
	enough := Evidence{Hosts: Hosts{From: 5, To: 5}, Reporting: true, Rate: 200}
	s, _ = Next(s, enough, s.verdictWriteDeadline())
	is.Equal(s.Verdict, ticket.Running) // not settled yet
	s, _ = Next(s, enough, s.verdictWriteDeadline().Add(time.Second))
	is.Equal(s.Verdict, ticket.Completed)
}

func TestDecodeRejects(t *testing.T) {
	for name, data := range map[string]string{
		"not JSON":                      `{`,
		"no versions":                   `{"service":"desk","step":"announced"}`,
		"one version":                   `{"service":"desk","from":"v1","to":"v1","step":"announced"}`,
		"share above the whole":         `{"service":"desk","from":"v1","to":"v2","step":"announced","share":10001}`,
		"negative share":                `{"service":"desk","from":"v1","to":"v2","step":"announced","share":-1}`,
		"unknown step":                  `{"service":"desk","from":"v1","to":"v2","step":"leap"}`,
		"no planned levels":             `{"service":"desk","from":"v1","to":"v2","step":"canary"}`,
		"level beyond the planned ones": `{"service":"desk","from":"v1","to":"v2","step":"ramp","level":1,"levels":[{"share":100}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(data))
			is.New(t).True(err != nil)
		})
	}
}

func TestHosts(t *testing.T) {
	cases := []struct {
		hosts       Hosts
		share, want int
	}{
		{Hosts{From: 6, To: 6}, 100, 0},     // too little for one host: all hosts
		{Hosts{From: 6, To: 6}, 1666, 1},    // the regular load of one host
		{Hosts{From: 6, To: 6}, 2000, 2},    // more than the load of one host
		{Hosts{From: 6, To: 6}, 5000, 3},    // half of the hosts
		{Hosts{From: 6, To: 6}, 9900, 0},    // all hosts
		{Hosts{From: 200, To: 200}, 100, 2}, // in a large service 1 % loads two hosts
		{Hosts{From: 6, To: 3}, 3333, 1},    // fewer new hosts, each with more load
		{Hosts{}, 100, 0},
	}
	for _, c := range cases {
		is := is.New(t)
		is.Equal(c.hosts.hostsFor(c.share), c.want)
	}
}

func ExampleNext() {
	now := testStart
	rollout := revision.Rollout{Ticket: 1, From: "v1", To: "v2", By: now.Add(time.Minute)}
	state := NewState("orders", rollout, revision.PreferSafety, now)
	evidence := Evidence{Hosts: Hosts{From: 6, To: 6}, Reporting: true, Rate: 200}

	state, actions := Next(state, evidence, now)
	fmt.Printf("%+v\n", actions[0])

	evidence.Verdict = detect.Verdict{Kind: detect.Bad, Reason: detect.Reason{
		Metric: detect.Failures, OldRequests: 800, NewRequests: 16, NewEvents: 12,
	}}
	_, actions = Next(state, evidence, now.Add(4*time.Second))
	fmt.Println(actions[0].(Finish).Reason)
	// Output:
	// {Share:100 Hosts:0 Step:canary}
	// worse than v1: failures in total: new 12 of 16, old 0 of 800
}
