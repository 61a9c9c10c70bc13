package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/load"
	"sassafrasnotch.example/mesh/standin/platformserver"
)

const (
	// cutNoticed is the time within which a zone that was cut off calls only
	// the targets that it reaches.
	cutNoticed = 12 * time.Second
	sharePoll  = 100 * time.Millisecond
)

// targets runs both versions of the counter on every host.
func (s *scenario) targets() {
	s.t.Helper()
	for _, daemon := range s.Daemons {
		s.StartTarget(daemon, "counter", "v1", nil)
		s.StartTarget(daemon, "counter", "v2", nil)
	}
	s.WaitTargets("counter", "v1", len(s.Daemons))
	s.WaitTargets("counter", "v2", len(s.Daemons))
}

// entries returns the addresses that the daemons' callers use.
func entries(daemons []*cluster.Daemon) []string {
	var addresses []string
	for _, daemon := range daemons {
		addresses = append(addresses, daemon.Settings.Entry.Listen)
	}
	return addresses
}

// TestCutZoneServes checks that a zone which is cut off from the others and from
// the platform serves its callers from its own targets, also when its daemons
// are restarted, and has the newest revision soon after the cut.
func TestCutZoneServes(t *testing.T) {
	t.Parallel()
	s := newScenario(t, 1, 3, 2)
	s.targets()
	inside, outside := s.zone(1)
	s.cutOff(inside, outside)
	s.pass(cutNoticed)

	config := mixture(s.Cluster, 200, time.Minute)
	config.Entries = entries(inside)
	calls := startLoad(t, config)
	s.pass(2 * time.Second)
	s.mustSubmit(outside[0])
	s.converge(outside...)
	s.pass(2 * time.Second)
	report := calls.stop()
	allAnswered(t, report)

	inside[0].Restart()
	inside[0].WaitReady()
	cluster.Eventually(t, convergence, "the restarted daemon of the cut zone serves", func() error {
		return call(inside[0].Settings.Entry.Listen)
	})
	s.Network.ClearFaults()
	s.converge(s.Daemons...)
	s.noViolation()
}

// call sends one request and returns an error if it has no good answer.
func call(entry string) error {
	response, err := http.Get("http://" + entry + "/counter/lookups/1")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %v", response.StatusCode, response.Header)
	}
	return nil
}

// allAnswered checks that every call has a good answer of its own.
func allAnswered(t *testing.T, report load.Report) {
	t.Helper()
	bad := 0
	for _, answer := range report.Answers {
		if answer.Outcome != load.OutcomeAnswered || answer.Status != http.StatusOK {
			if bad++; bad <= 5 {
				t.Errorf("call %s to %s: %s, status %d, %s", answer.RequestID, answer.Path, answer.Outcome, answer.Status, answer.Error)
			}
		}
	}
	is.New(t).Equal(report.Summary.Crossed, uint64(0))
	t.Logf("%d calls, %d without a good answer, p99 %v", len(report.Answers), bad, report.Summary.P99.Std())
}

// TestShareNeverGrowsWithoutPlatform checks that the share of a running move
// stays while its controller can't reach the platform, everywhere, and that the
// move gets its verdict afterwards.
func TestShareNeverGrowsWithoutPlatform(t *testing.T) {
	t.Parallel()
	s := newScenario(t, 2, 3, 2)
	s.targets()
	calls := startLoad(t, mixture(s.Cluster, 400, 2*time.Minute))
	s.accepted(s.Daemons[1].MustSubmit(move(2, 50*time.Second)))
	s.waitShare(s.Daemons[0], 1)

	s.SetPlatformFaults(platformserver.Faults{Silent: true})
	s.pass(3 * time.Second) // what was written before is in force
	before := s.shares()
	shares := s.followShares()
	s.pass(8 * time.Second)
	for host, share := range shares() {
		if share > before[host] {
			t.Errorf("%s: share grew from %d to %d without the platform", host, before[host], share)
		}
	}
	s.SetPlatformFaults(platformserver.Faults{})
	verdict := s.Daemons[2].WaitVerdict(2)
	t.Logf("verdict: %s %s", verdict.Verdict, verdict.Reason)
	allAnswered(t, calls.stop())
	s.noViolation()
}

// shareOf returns the share of the new version in the daemon's configuration.
func shareOf(daemon *cluster.Daemon) (int, error) {
	status, err := daemon.Status()
	if err != nil {
		return 0, err
	}
	for _, move := range status.Rollouts {
		return move.Share, nil
	}
	return 0, nil
}

// waitShare waits until the new version has at least a share.
func (s *scenario) waitShare(daemon *cluster.Daemon, least int) {
	s.t.Helper()
	cluster.Eventually(s.t, 30*time.Second, "the move has begun", func() error {
		share, err := shareOf(daemon)
		if err == nil && share < least {
			err = fmt.Errorf("share %d", share)
		}
		return err
	})
}

// shares returns the present share at each daemon.
func (s *scenario) shares() map[string]int {
	shares := make(map[string]int)
	for _, daemon := range s.Daemons {
		share, err := shareOf(daemon)
		is.New(s.t).NoErr(err)
		shares[daemon.Settings.Host] = share
	}
	return shares
}

// followShares polls the shares until the returned function is called, which
// returns the largest at each daemon.
func (s *scenario) followShares() (largest func() map[string]int) {
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	var mu sync.Mutex
	var group sync.WaitGroup
	shares := make(map[string]int)
	for _, daemon := range s.Daemons {
		group.Go(func() {
			for ctx.Err() == nil {
				share, _ := shareOf(daemon)
				mu.Lock()
				shares[daemon.Settings.Host] = max(shares[daemon.Settings.Host], share)
				mu.Unlock()
				wait(ctx, sharePoll)
			}
		})
	}
	return func() map[string]int {
		cancel()
		group.Wait()
		return shares
	}
}

// TestPausedControllerWritesNothingLate checks that the holder of a move's lease
// which was paused past its term writes nothing after another host has taken
// over: the shares in the log rise step by step, by epochs that never fall.
func TestPausedControllerWritesNothingLate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newScenario(t, 3, 3, 2)
	s.targets()
	calls := startLoad(t, mixture(s.Cluster, 400, 2*time.Minute))
	s.accepted(s.Daemons[1].MustSubmit(move(2, 45*time.Second)))
	s.waitShare(s.Daemons[0], 1)
	paused := s.holder(nil)
	paused.Pause()
	successor := s.holder(paused)
	t.Logf("%s took over from %s", successor.Settings.Host, paused.Settings.Host)
	paused.Resume()

	verdict := successor.WaitVerdict(2)
	is.Equal(verdict.Verdict, ticket.Completed)
	calls.stop()
	s.sharesRise()
	s.noViolation()
}

// holder waits for a daemon other than one that holds the lease of the move.
func (s *scenario) holder(other *cluster.Daemon) *cluster.Daemon {
	s.t.Helper()
	var holder *cluster.Daemon
	cluster.Eventually(s.t, 30*time.Second, "a daemon holds the lease of the move", func() error {
		for _, daemon := range s.Daemons {
			if daemon == other {
				continue
			}
			if status, err := daemon.Status(); err == nil && status.Controllers["counter"] != "" {
				holder = daemon
				return nil
			}
		}
		return fmt.Errorf("no daemon does")
	})
	return holder
}

// sharesRise checks the shares of the new version in the log.
func (s *scenario) sharesRise() {
	s.t.Helper()
	is := is.New(s.t)
	rows, err := s.PlatformClient().Scan(s.t.Context(), "rev/", "", 1000)
	is.NoErr(err)
	last := 0
	for _, row := range rows {
		made, err := revision.DecodeChange(row.Value)
		is.NoErr(err)
		for _, put := range made.Put {
			if put.Split == nil {
				continue
			}
			share := put.Split.Weight("v2")
			if share < last {
				s.t.Errorf("revision %d: share %d after %d", made.Revision, share, last)
			}
			last = share
		}
	}
	is.Equal(last, revision.FullShare)
}
