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

const trialRollouts = 30

// The target values of checkTargets apply to the default window; other windows and seeds only
// produce the table: go test -run TestTrials -v ./coord/rollout -args -window 30m
var (
	trialSeed   = flag.Uint64("seed", 101, "seed of the first rollout of each scenario")
	trialWindow = flag.Duration("window", defaultWindow, "time up to the deadline of a rollout")
)

const defaultWindow = 5 * time.Minute

// controllerDecider runs a rollout with the detectors and decisions of a controller.
type controllerDecider struct {
	state         State
	detector      *detect.Detector
	zoneDetectors map[string]*ZoneDetector
	halted        []string
	rate          float64
	maxHosts      int
}

func startController(preference revision.Preference) func(now, by time.Time) trial.Decider {
	return func(now, by time.Time) trial.Decider {
		c := &controllerDecider{detector: NewDetector(preference, by.Sub(now)), zoneDetectors: make(map[string]*ZoneDetector)}
		for _, zone := range []string{"a", "b", "c"} {
			c.zoneDetectors[zone] = NewZoneDetector(zone, preference, by.Sub(now))
		}
		c.state = NewState("orders", revision.Rollout{From: "v1", To: "v2", By: by}, preference, now)
		return c
	}
}

func (c *controllerDecider) Decide(samples []detect.Sample, now time.Time) trial.Decision {
	reporting := false
	requests := uint64(0)
	for _, s := range samples {
		reporting = reporting || s.Requests > 0
		requests += s.Requests
		c.detector.Observe(s)
		c.zoneDetectors[s.Zone].Observe(s)
	}
	c.detector.EndWindow()
	c.rate += 0.3 * (float64(requests) - c.rate)
	for zone, zoneDetector := range c.zoneDetectors {
		if _, halt := zoneDetector.EndWindow(); halt {
			c.halted = append(c.halted, zone)
		}
	}
	next, _ := Next(c.state, Evidence{
		Verdict: c.detector.Verdict(), Halted: c.halted, Reporting: reporting, Rate: c.rate,
		Hosts: Hosts{From: trial.OldHosts, To: trial.NewHosts},
	}, now)
	if next.Share != c.state.Share || next.Hosts != c.state.Hosts {
		c.detector.BeginStep()
	}
	if hosts := MaxHosts(revision.Rollout{Step: next.Step, Hosts: next.Hosts}); hosts > c.maxHosts {
		c.maxHosts = hosts
		c.detector.StartWarmUp()
		for _, zoneDetector := range c.zoneDetectors {
			zoneDetector.StartWarmUp()
		}
	}
	c.state = next
	return trial.Decision{Share: next.Share, Hosts: next.Hosts, Verdict: next.Verdict, Reason: next.Reason}
}

type trialDecider struct {
	name  string
	start func(now, by time.Time) trial.Decider
}

func deciders() []trialDecider {
	return []trialDecider{
		{"safety", startController(revision.PreferSafety)},
		{"deadline", startController(revision.PreferDeadline)},
		{"fixed steps", trial.NewFixedSteps},
		{"plain ramp", func(now, by time.Time) trial.Decider {
			return trial.NewTimedRamp(now, by, NewDetector(revision.PreferSafety, by.Sub(now)))
		}},
	}
}

// run runs the rollouts of one scenario and returns their summary and the row of the table.
func (d trialDecider) run(scenario trial.Scenario) (trial.Summary, string) {
	var s trial.Summary
	for i := range uint64(trialRollouts) {
		s.Add(trial.Run(scenario, *trialSeed+i, *trialWindow, d.start))
	}
	row := fmt.Sprintf("| %s | %s | %d | %d | %d |", scenario.Name, d.name, s.Done, s.TakenBack, s.MissedDeadline)
	if scenario.Bad {
		slices.Sort(s.ExposedRequests)
		slices.Sort(s.TimeToZero)
		row += fmt.Sprintf(" %.1f %% | %d | %d | %v | %v |", float64(s.MaxShare)/100,
			s.ExposedRequests[trialRollouts/2], s.ExposedRequests[trialRollouts-1], s.TimeToZero[trialRollouts/2], s.TimeToZero[trialRollouts-1])
	} else {
		row += " | | | | |"
	}
	return s, row
}

// TestTrials checks the policies of both preferences against their target values in every
// scenario. With -v it also runs the baselines and prints the table of docs/design/moves.md.
func TestTrials(t *testing.T) {
	compared := deciders()
	if !testing.Verbose() {
		compared = compared[:2]
	}
	rows := make([]string, len(trial.Scenarios())*len(compared))
	t.Run("rollouts", func(t *testing.T) {
		for k, scenario := range trial.Scenarios() {
			for i, d := range compared {
				t.Run(scenario.Name+"/"+d.name, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s, row := d.run(scenario)
					rows[k*len(compared)+i] = row
					if i < 2 && *trialWindow == defaultWindow {
						checkTargets(is, scenario, d.name, s)
					}
				})
			}
		}
	})
	t.Logf("seeds %d to %d, deadline after %v\n%s", *trialSeed, *trialSeed+trialRollouts-1, *trialWindow, strings.Join(rows, "\n"))
}

// checkTargets allows one wrong verdict of 30, which follows from the detector's error
// probabilities. At low traffic, the policy for safety may roll back any number of good versions
// because the evidence does not suffice.
func checkTargets(is *is.I, scenario trial.Scenario, decider string, s trial.Summary) {
	is.Equal(s.MissedDeadline, 0)
	switch {
	case scenario.Bad:
		is.True(s.TakenBack >= trialRollouts-1)
	case scenario.Name != "low traffic" || decider == "deadline":
		is.True(s.Done >= trialRollouts-1)
	}
}
