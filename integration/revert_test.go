package integration

import (
	"errors"
	"testing"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/platformserver"
)

// TestNeverOlder checks that no daemon's revision falls, whatever fails, and
// that the newest one is in force everywhere within the target once it can be.
func TestNeverOlder(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name         string
		seed         uint64
		zones, hosts int
		fail         func(s *scenario)
	}{
		{"a third of the daemons is killed again and again", 1, 3, 3, func(s *scenario) {
			for range 3 {
				stop := s.operators(s.Daemons...)
				s.pass(500 * time.Millisecond)
				restart(s.herd())
				s.pass(time.Second)
				stop()
				s.converge(s.Daemons...)
			}
		}},
		{"a third of the daemons is killed while the platform is out", 2, 3, 3, func(s *scenario) {
			for range 3 {
				stop := s.operators(s.Daemons[:3]...)
				s.pass(500 * time.Millisecond)
				s.SetPlatformFaults(platformserver.Faults{Outage: true})
				restart(s.herd())
				stop()
				s.converge(s.Daemons...)
				s.SetPlatformFaults(platformserver.Faults{})
				s.mustSubmit(s.Daemons[0])
				s.converge(s.Daemons...)
				s.waitMembers(s.Daemons...)
			}
		}},
		{"a zone of three is killed one by one while the platform hangs", 3, 2, 3, func(s *scenario) {
			inside, _ := s.zone(0)
			s.mustSubmit(inside[0])
			s.SetPlatformFaults(platformserver.Faults{Silent: true})
			for _, daemon := range inside {
				daemon.Restart()
				s.converge(s.Daemons...)
			}
			s.SetPlatformFaults(platformserver.Faults{})
		}},
		{"updates cross and come twice", 4, 3, 2, func(s *scenario) {
			s.disorder(150 * time.Millisecond)
			stop := s.operators(s.Daemons...)
			s.pass(4 * time.Second)
			stop()
			s.converge(s.Daemons...)
		}},
		{"the platform is out and comes back", 5, 3, 2, func(s *scenario) {
			stop := s.operators(s.Daemons...)
			for range 2 {
				s.pass(time.Second)
				s.SetPlatformFaults(platformserver.Faults{Outage: true})
				s.pass(time.Second)
				s.SetPlatformFaults(platformserver.Faults{LoseWriteAnswers: 3})
			}
			s.pass(time.Second)
			stop()
			s.converge(s.Daemons...)
		}},
		{"a zone is cut off and comes back", 6, 3, 2, func(s *scenario) {
			inside, outside := s.zone(1)
			stop := s.operators(outside...)
			s.pass(500 * time.Millisecond)
			s.cutOff(inside, outside)
			s.pass(5 * time.Second)
			stop()
			s.converge(outside...)
			s.Network.ClearFaults()
			s.converge(s.Daemons...)
		}},
		{"a daemon of a zone that is cut off is killed", 7, 3, 3, func(s *scenario) {
			inside, outside := s.zone(1)
			s.mustSubmit(inside[0])
			s.cutOff(inside, outside)
			s.pass(time.Second)
			inside[0].Restart()
			s.converge(inside...)
			s.mustSubmit(outside[0])
			s.Network.ClearFaults()
			s.converge(s.Daemons...)
		}},
		{"a frozen daemon needs the snapshot while changes go on", 8, 3, 2, func(s *scenario) {
			frozen := s.Daemons[3]
			frozen.Pause()
			s.outrunLog()
			stop := s.operators(s.Daemons[0], s.Daemons[1])
			frozen.Resume()
			s.pass(2 * time.Second)
			stop()
			s.converge(s.Daemons...)
		}},
		{"a zone that is cut off needs the snapshot while changes go on", 9, 3, 2, func(s *scenario) {
			inside, outside := s.zone(2)
			s.cutOff(inside, outside)
			s.outrunLog()
			stop := s.operators(outside...)
			s.Network.ClearFaults()
			s.pass(2 * time.Second)
			stop()
			s.converge(s.Daemons...)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(t, c.seed, c.zones, c.hosts)
			c.fail(s)
			s.converge(s.Daemons...)
			s.noViolation()
		})
	}
}

// snapshotGap is more revisions than the log keeps behind a stored snapshot.
const snapshotGap = 220

// outrunLog submits so many tickets that the log is trimmed behind a stored
// snapshot, and waits until it is.
func (s *scenario) outrunLog() {
	s.t.Helper()
	s.submitMany(snapshotGap)
	cluster.Eventually(s.t, convergence, "the log is trimmed", func() error {
		rows, err := s.PlatformClient().Scan(s.t.Context(), "rev/", "", 1)
		if err == nil && rows[0].Key == revision.ChangeKey(1) {
			err = errors.New("it starts with revision 1")
		}
		return err
	})
}

// submitMany submits tickets one after the other.
func (s *scenario) submitMany(count int) {
	s.t.Helper()
	for range count {
		s.mustSubmit(s.Daemons[0])
	}
}
