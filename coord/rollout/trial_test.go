package rollout

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/internal/trial"
	"sassafrasnotch.example/coord/revision"
)

const trialMoves = 30

// The targets hold for the default window; other windows and seeds are for the
// table alone: go test -run TestTrials -v ./coord/rollout -args -window 30m
var (
	trialSeed   = flag.Uint64("seed", 101, "seed of the first move of each kind")
	trialWindow = flag.Duration("window", defaultWindow, "time up to the deadline of a move")
)

const defaultWindow = 5 * time.Minute

// controlled runs a move as a controller does.
type controlled struct {
	state    State
	detector *detect.Detector
	trips    map[string]*ZoneTrip
	tripped  []string
	rate     float64
	reach    int
}

func startControlled(preference revision.Preference) func(now, by time.Time) trial.Decider {
	return func(now, by time.Time) trial.Decider {
		c := &controlled{detector: NewDetector(preference, by.Sub(now)), trips: make(map[string]*ZoneTrip)}
		for _, zone := range []string{"a", "b", "c"} {
			c.trips[zone] = NewZoneTrip(zone, preference, by.Sub(now))
		}
		c.state = Start("orders", revision.Rollout{From: "v1", To: "v2", By: by}, preference, now)
		return c
	}
}

func (c *controlled) Decide(samples []detect.Sample, now time.Time) trial.Setting {
	reporting := false
	requests := uint64(0)
	for _, s := range samples {
		reporting = reporting || s.Requests > 0
		requests += s.Requests
		c.detector.Observe(s)
		c.trips[s.Zone].Observe(s)
	}
	c.detector.EndWindow()
	c.rate += 0.3 * (float64(requests) - c.rate)
	for zone, trip := range c.trips {
		if _, tripped := trip.EndWindow(); tripped {
			c.tripped = append(c.tripped, zone)
		}
	}
	next, _ := Next(c.state, Evidence{
		Verdict: c.detector.Verdict(), Tripped: c.tripped, Reporting: reporting, Rate: c.rate,
		Hosts: Hosts{From: trial.OldHosts, To: trial.NewHosts},
	}, now)
	if next.Share != c.state.Share || next.Hosts != c.state.Hosts {
		c.detector.BeginStep()
	}
	if hosts := Reach(revision.Rollout{Step: next.Step, Hosts: next.Hosts}); hosts > c.reach {
		c.reach = hosts
		c.detector.WarmUp()
		for _, trip := range c.trips {
			trip.WarmUp()
		}
	}
	c.state = next
	return trial.Setting{Share: next.Share, Hosts: next.Hosts, Verdict: next.Verdict, Reason: next.Reason}
}

type decider struct {
	name  string
	start func(now, by time.Time) trial.Decider
}

func deciders() []decider {
	return []decider{
		{"safety", startControlled(revision.PreferSafety)},
		{"deadline", startControlled(revision.PreferDeadline)},
		{"fixed steps", trial.NewFixedSteps},
		{"plain ramp", func(now, by time.Time) trial.Decider {
			return trial.NewPlainRamp(now, by, NewDetector(revision.PreferSafety, by.Sub(now)))
		}},
	}
}

// run runs the moves of one kind and returns the row of the table.
func (d decider) run(kind trial.Kind) (trial.Summary, string) {
	var s trial.Summary
	for i := range uint64(trialMoves) {
		s.Add(trial.Run(kind, *trialSeed+i, *trialWindow, d.start))
	}
	row := fmt.Sprintf("| %s | %s | %d | %d | %d |", kind.Name, d.name, s.Done, s.TakenBack, s.Late)
	if kind.Bad {
		slices.Sort(s.Exposed)
		slices.Sort(s.Zero)
		row += fmt.Sprintf(" %.1f %% | %d | %d | %v | %v |", float64(s.Largest)/100,
			s.Exposed[trialMoves/2], s.Exposed[trialMoves-1], s.Zero[trialMoves/2], s.Zero[trialMoves-1])
	} else {
		row += " | | | | |"
	}
	return s, row
}

// TestTrials holds both preferences to their targets on every kind of move.
// With -v it prints the table of docs/design/moves.md, baselines included.
func TestTrials(t *testing.T) {
	compared := deciders()
	if !testing.Verbose() {
		compared = compared[:2]
	}
	rows := make([]string, len(trial.Kinds())*len(compared))
	t.Run("moves", func(t *testing.T) {
		for k, kind := range trial.Kinds() {
			for i, d := range compared {
				t.Run(kind.Name+"/"+d.name, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s, row := d.run(kind)
					rows[k*len(compared)+i] = row
					if i < 2 && *trialWindow == defaultWindow {
						checkTargets(is, kind, d.name, s)
					}
				})
			}
		}
	})
	t.Logf("seeds %d to %d, deadline after %v\n%s", *trialSeed, *trialSeed+trialMoves-1, *trialWindow, strings.Join(rows, "\n"))
}

// checkTargets allows one wrong verdict of 30, by the stated error rates, and at
// little traffic any number of good moves that safety does not see proved.
func checkTargets(is *is.I, kind trial.Kind, decider string, s trial.Summary) {
	is.Equal(s.Late, 0)
	switch {
	case kind.Bad:
		is.True(s.TakenBack >= trialMoves-1)
	case kind.Name != "low traffic" || decider == "deadline":
		is.True(s.Done >= trialMoves-1)
	}
}
