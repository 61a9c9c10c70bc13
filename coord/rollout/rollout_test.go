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

func testMove(window time.Duration) revision.Rollout {
	return revision.Rollout{Ticket: 1, From: "v1", To: "v2", By: testStart.Add(window)}
}

// drawEvidence draws evidence without regard to what went before.
func drawEvidence(t *rapid.T) Evidence {
	e := Evidence{
		Reporting: rapid.IntRange(0, 9).Draw(t, "reporting") > 0,
		Rate:      rapid.Float64Range(0, 1000).Draw(t, "rate"),
		Hosts:     Hosts{From: rapid.IntRange(0, 100).Draw(t, "from"), To: rapid.IntRange(0, 100).Draw(t, "to")},
	}
	e.Verdict = detect.Verdict{
		Kind:         rapid.SampledFrom([]detect.Kind{detect.Undecided, detect.Good, detect.Good, detect.Good}).Draw(t, "kind"),
		Excess:       rapid.Float64Range(0.005, 1).Draw(t, "excess"),
		StepExcess:   rapid.Float64Range(0.005, 1).Draw(t, "step excess"),
		StepRequests: uint64(rapid.IntRange(0, 100).Draw(t, "requests")),
		Suspicion:    rapid.Float64Range(0, 1).Draw(t, "suspicion"),
	}
	if rapid.IntRange(0, 99).Draw(t, "bad") == 0 {
		e.Verdict.Kind = detect.Bad
	}
	if rapid.IntRange(0, 99).Draw(t, "tripped") == 0 {
		e.Tripped = []string{"a"}
	}
	return e
}

// checkStep holds one decision against the invariants.
func checkStep(t *rapid.T, before, after State, e Evidence, now time.Time) {
	is := is.New(t)
	policy := PolicyFor(before.Preference)
	grown := after.Share > before.Share && after.Verdict == ticket.Running
	if grown {
		is.True(e.Reporting && e.Hosts.To > 0)                        // growth without evidence
		is.True(e.Verdict.Kind != detect.Bad && len(e.Tripped) == 0)  // growth of a bad version
		is.True(after.Share <= min(after.Target, revision.FullShare)) // beyond the target
		is.True(now.Before(after.By))
	}
	if grown && before.Share == 0 {
		is.True(after.Share <= policy.CanaryMost)
	}
	if grown && before.Share > 0 {
		is.True(e.Verdict.StepRequests > 0)
		is.True(e.Verdict.Suspicion < suspicious)
		is.True(float64(after.Share)*e.Verdict.Excess <= policy.Harm*revision.FullShare+1)
	}
	if e.Verdict.Kind == detect.Bad || len(e.Tripped) > 0 {
		is.Equal(after.Verdict, ticket.RolledBack)
	}
	switch after.Verdict {
	case ticket.RolledBack:
		is.Equal(after.Share, 0)
		is.True(after.Reason != "")
	case ticket.Completed:
		is.Equal(after.Share, after.Target)
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
		move := testMove(window)
		move.Target = rapid.IntRange(1, revision.FullShare).Draw(t, "target")
		preference := rapid.SampledFrom([]revision.Preference{"", revision.PreferSafety, revision.PreferDeadline}).Draw(t, "preference")
		s := Start("orders", move, preference, testStart)
		for now := testStart; now.Before(move.By); now = now.Add(time.Second) {
			data, err := Encode(s) // another controller goes on from the row
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
	good := detect.Verdict{Kind: detect.Good, Excess: 0.01, StepExcess: 0.01, StepRequests: 100}
	hosts := Hosts{From: 5, To: 5}
	cases := []struct {
		name     string
		evidence Evidence
		reason   string
	}{
		{"no targets", Evidence{Reporting: true}, "not proved good by its deadline: no ready target of v2"},
		{"no reports", Evidence{Hosts: hosts}, "not proved good by its deadline: no outcome reports"},
		{"local trip", Evidence{Hosts: hosts, Reporting: true, Tripped: []string{"zone a"}}, "stopped in zone a"},
		{"suspicion", Evidence{Hosts: hosts, Reporting: true, Verdict: func() detect.Verdict {
			v := good
			v.Suspicion = 0.9
			return v
		}()}, "not proved good by its deadline: at step canary and a share of 5.00%, some route or zone is close to a verdict of worse"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := Start("orders", testMove(time.Minute), revision.PreferSafety, testStart)
			for now := testStart; now.Before(s.By); now = now.Add(time.Second) {
				s, _ = Next(s, c.evidence, now)
			}
			is.Equal(s.Verdict, ticket.RolledBack)
			is.Equal(s.Reason, c.reason)
		})
	}
}

// TestSettlesOnEnoughHosts ends the old version's hosts only when those of the new
// one can carry its calls.
func TestSettlesOnEnoughHosts(t *testing.T) {
	good := detect.Verdict{Kind: detect.Good, Excess: 0.01, StepExcess: 0.01, Requests: 500, StepRequests: 100}
	cases := []struct {
		name   string
		hosts  Hosts
		lost   int // hosts of the new version, once it gets all calls
		want   ticket.Verdict
		reason string
	}{
		{"as many", Hosts{From: 5, To: 5}, 0, ticket.Completed, "excess of failures and slow answers below 1.0% over 500 calls"},
		{"one less", Hosts{From: 5, To: 4}, 0, ticket.Completed, "excess of failures and slow answers below 1.0% over 500 calls"},
		{"two lost", Hosts{From: 5, To: 3}, 0, ticket.RolledBack, "not completed by its deadline: 3 ready hosts of v2 can't carry the calls of 5"},
		{"two lost at the end", Hosts{From: 5, To: 5}, 2, ticket.RolledBack, "not completed by its deadline: 3 ready hosts of v2 can't carry the calls of 5"},
		{"old ones lost too", Hosts{From: 3, To: 3}, 0, ticket.Completed, "excess of failures and slow answers below 1.0% over 500 calls"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			move := testMove(shortWindow)
			move.Settle = revision.Duration(shortSettle)
			s := Start("orders", move, revision.PreferBounded, testStart)
			for now := testStart; now.Before(s.By); now = now.Add(time.Second) {
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

// TestCatchesUpAfterAPause gives a move to another controller after a pause: levels
// whose time is over are passed over as far as the evidence supports.
func TestCatchesUpAfterAPause(t *testing.T) {
	evidence := func(excess float64) Evidence {
		return Evidence{Hosts: Hosts{From: 3, To: 3}, Reporting: true, Rate: 200, Verdict: detect.Verdict{
			Kind: detect.Good, Excess: excess, StepExcess: excess, Requests: 500, StepRequests: 100,
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
			move := testMove(2 * shortWindow)
			move.Settle = revision.Duration(shortSettle)
			s := Start("orders", move, revision.PreferBounded, testStart)
			s, _ = Next(s, evidence(c.excess), testStart)
			is.True(len(s.Levels) > 3)
			wanted := map[string]int{"next": s.Levels[1].Share, "last but one": s.Levels[len(s.Levels)-2].Share}
			s, _ = Next(s, evidence(c.excess), s.Levels[len(s.Levels)-1].At.Add(-time.Second))
			is.Equal(s.Share, wanted[c.want])
		})
	}
}

// TestSettlesLateAfterALateTick completes a move that has settled a moment after
// the planned time for its verdict.
func TestSettlesLateAfterALateTick(t *testing.T) {
	is := is.New(t)
	move := testMove(shortWindow)
	move.Settle = revision.Duration(time.Second)
	s := Start("orders", move, revision.PreferBounded, testStart)
	s.Step, s.Share = "settle", revision.FullShare
	s.StepAt = s.writeBy().Add(-s.Settle.Std() + 5*time.Millisecond)
	enough := Evidence{Hosts: Hosts{From: 5, To: 5}, Reporting: true, Rate: 200}
	s, _ = Next(s, enough, s.writeBy())
	is.Equal(s.Verdict, ticket.Running) // not settled yet
	s, _ = Next(s, enough, s.writeBy().Add(time.Second))
	is.Equal(s.Verdict, ticket.Completed)
}

func TestDecodeRejects(t *testing.T) {
	for name, data := range map[string]string{
		"not JSON":     `{`,
		"unknown step": `{"step":"leap"}`,
		"no levels":    `{"step":"canary"}`,
		"beyond them":  `{"step":"ramp","level":1,"levels":[{"share":100}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(data))
			is.New(t).True(err != nil)
		})
	}
}

func TestHosts(t *testing.T) {
	cases := []struct {
		hosts        Hosts
		share, carry int
	}{
		{Hosts{From: 6, To: 6}, 100, 0},     // too little for one host: all of them
		{Hosts{From: 6, To: 6}, 1666, 1},    // one host, its usual load
		{Hosts{From: 6, To: 6}, 2000, 2},    // more than one can bear
		{Hosts{From: 6, To: 6}, 5000, 3},    //
		{Hosts{From: 6, To: 6}, 9900, 0},    // all
		{Hosts{From: 200, To: 200}, 100, 2}, // a large service shows load at 1 %
		{Hosts{From: 6, To: 3}, 3333, 1},    // fewer new hosts, each with more to bear
		{Hosts{}, 100, 0},
	}
	for _, c := range cases {
		is := is.New(t)
		is.Equal(c.hosts.carrying(c.share), c.carry)
	}
}

func ExampleNext() {
	now := testStart
	move := revision.Rollout{Ticket: 1, From: "v1", To: "v2", By: now.Add(time.Minute)}
	state := Start("orders", move, revision.PreferSafety, now)
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
