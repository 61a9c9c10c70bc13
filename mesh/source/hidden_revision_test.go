package source

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/ticket"
)

func TestNewerRolloutRowHidesNoConfigurationFromGossip(t *testing.T) {
	const (
		configurationVersion, rolloutVersion = 20, 30
		older                                = 10
	)
	for _, c := range []struct {
		name        string
		held, other func(*Source)
	}{
		{"the configuration is older here", func(s *Source) {
			s.applyOperator(OperatorChanges{Configurations: []Configuration{configuration(4, older, "/a/")}})
			s.applyRollouts(RolloutChanges{Rollouts: []RolloutRow{rolloutOf("v2", 5, 500, ticket.Running, rolloutVersion)}})
		}, func(s *Source) {
			s.applyOperator(OperatorChanges{Configurations: []Configuration{configuration(5, configurationVersion, "/a/", "/b/")}})
		}},
		{"the rollout is older here", func(s *Source) {
			s.applyOperator(OperatorChanges{Configurations: []Configuration{configuration(4, rolloutVersion, "/a/")}})
			s.applyRollouts(RolloutChanges{Rollouts: []RolloutRow{rolloutOf("v2", 5, 500, ticket.Running, older)}})
		}, func(s *Source) {
			s.applyOperator(OperatorChanges{Configurations: []Configuration{configuration(4, older, "/a/")}})
			s.applyRollouts(RolloutChanges{Rollouts: []RolloutRow{rolloutOf("v2", 5, 0, ticket.RolledBack, configurationVersion)}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			z := &zone{t: t, sources: make(map[string]*Source), links: make(map[string]*link), silent: make(map[string]bool)}
			r := newFakeStore()
			here, there := z.add("host-0", r), z.add("host-1", r)
			here.stopped, here.stop = context.WithCancel(t.Context()) // nothing is followed
			t.Cleanup(here.Stop)
			c.held(here)
			c.other(there)
			here.ObserveRevision(gossip.RevisionReport{Revisions: there.applied.Load().revisions, Host: "host-1"})
			eventually(t, "the newer rows", func() bool { return here.hasApplied(there.applied.Load().revisions) })
			is.True(!there.hasApplied(here.applied.Load().revisions)) // each had something newer
		})
	}
}
