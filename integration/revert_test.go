package integration

import (
	"errors"
	"testing"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/platformserver"
)

// TestNeverOlder checks that the applied revision of no daemon decreases under any of the faults, and that
// the latest revision is in force everywhere within the time convergence once that is possible.
func TestNeverOlder(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name         string
		seed         uint64
		zones, hosts int
		fail         func(s *scenario)
	}{
		{"a third of the daemons is killed repeatedly", 1, 3, 3, func(s *scenario) {
			for range 3 {
				stop := s.submitContinuously(s.Daemons...)
				s.sleep(500 * time.Millisecond)
				restart(s.randomThird())
				s.sleep(time.Second)
				stop()
				s.waitConverged(s.Daemons...)
			}
		}},
		{"a third of the daemons is killed while the platform is unavailable", 2, 3, 3, func(s *scenario) {
			for range 3 {
				stop := s.submitContinuously(s.Daemons[:3]...)
				s.sleep(500 * time.Millisecond)
				s.SetPlatformFaults(platformserver.Faults{Outage: true})
				restart(s.randomThird())
				stop()
				s.waitConverged(s.Daemons...)
				s.SetPlatformFaults(platformserver.Faults{})
				s.mustSubmit(s.Daemons[0])
				s.waitConverged(s.Daemons...)
				s.waitFullMembership(s.Daemons...)
			}
		}},
		{"a zone of three is killed one by one while the platform doesn't respond", 3, 2, 3, func(s *scenario) {
			inside, _ := s.splitByZone(0)
			s.mustSubmit(inside[0])
			s.SetPlatformFaults(platformserver.Faults{Unresponsive: true})
			for _, daemon := range inside {
				daemon.Restart()
				s.waitConverged(s.Daemons...)
			}
			s.SetPlatformFaults(platformserver.Faults{})
		}},
		{"updates arrive out of order and more than once", 4, 3, 2, func(s *scenario) {
			s.delayLinks(150 * time.Millisecond)
			stop := s.submitContinuously(s.Daemons...)
			s.sleep(4 * time.Second)
			stop()
			s.waitConverged(s.Daemons...)
		}},
		{"the platform is unavailable for a while", 5, 3, 2, func(s *scenario) {
			stop := s.submitContinuously(s.Daemons...)
			for range 2 {
				s.sleep(time.Second)
				s.SetPlatformFaults(platformserver.Faults{Outage: true})
				s.sleep(time.Second)
				s.SetPlatformFaults(platformserver.Faults{DropWriteResponses: 3})
			}
			s.sleep(time.Second)
			stop()
			s.waitConverged(s.Daemons...)
		}},
		{"a zone is partitioned for a while", 6, 3, 2, func(s *scenario) {
			inside, outside := s.splitByZone(1)
			stop := s.submitContinuously(outside...)
			s.sleep(500 * time.Millisecond)
			s.partition(inside, outside)
			s.sleep(5 * time.Second)
			stop()
			s.waitConverged(outside...)
			s.Network.ClearFaults()
			s.waitConverged(s.Daemons...)
		}},
		{"a daemon of a partitioned zone is killed", 7, 3, 3, func(s *scenario) {
			inside, outside := s.splitByZone(1)
			s.mustSubmit(inside[0])
			s.partition(inside, outside)
			s.sleep(time.Second)
			inside[0].Restart()
			s.waitConverged(inside...)
			s.mustSubmit(outside[0])
			s.Network.ClearFaults()
			s.waitConverged(s.Daemons...)
		}},
		{"a paused daemon needs the snapshot while changes continue", 8, 3, 2, func(s *scenario) {
			paused := s.Daemons[3]
			paused.Pause()
			s.trimLog()
			stop := s.submitContinuously(s.Daemons[0], s.Daemons[1])
			paused.Resume()
			s.sleep(2 * time.Second)
			stop()
			s.waitConverged(s.Daemons...)
		}},
		{"a partitioned zone needs the snapshot while changes continue", 9, 3, 2, func(s *scenario) {
			inside, outside := s.splitByZone(2)
			s.partition(inside, outside)
			s.trimLog()
			stop := s.submitContinuously(outside...)
			s.Network.ClearFaults()
			s.sleep(2 * time.Second)
			stop()
			s.waitConverged(s.Daemons...)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(t, c.seed, c.zones, c.hosts)
			c.fail(s)
			s.waitConverged(s.Daemons...)
			s.checkInvariants()
		})
	}
}

// snapshotGap is a number of revisions greater than the log keeps before a stored snapshot.
const snapshotGap = 220

// trimLog submits snapshotGap tickets, so that the revisions before a stored snapshot are trimmed from the
// log, and waits until revision 1 is.
func (s *scenario) trimLog() {
	s.t.Helper()
	s.submitMany(snapshotGap)
	cluster.Eventually(s.t, convergence, "the log is trimmed", func() error {
		rows, err := s.PlatformClient().Scan(s.t.Context(), "rev/", "", 1)
		if err == nil && rows[0].Key == revision.ChangeKey(1) {
			err = errors.New("the log starts with revision 1")
		}
		return err
	})
}

// submitMany submits count tickets one after the other and fails the test if one of them fails.
func (s *scenario) submitMany(count int) {
	s.t.Helper()
	for range count {
		s.mustSubmit(s.Daemons[0])
	}
}
