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
	// partitionDetection is the time after which a partitioned zone sends requests only to targets
	// that it can reach.
	partitionDetection = 12 * time.Second
	sharePoll          = 100 * time.Millisecond
)

// startTargets starts a target of both versions of the service counter on every host.
func (s *scenario) startTargets() {
	s.t.Helper()
	for _, daemon := range s.Daemons {
		s.StartTarget(daemon, "counter", "v1", nil)
		s.StartTarget(daemon, "counter", "v2", nil)
	}
	s.WaitTargets("counter", "v1", len(s.Daemons))
	s.WaitTargets("counter", "v2", len(s.Daemons))
}

// entryAddresses returns the entry addresses of the daemons.
func entryAddresses(daemons []*cluster.Daemon) []string {
	var addresses []string
	for _, daemon := range daemons {
		addresses = append(addresses, daemon.Settings.Entry.Listen)
	}
	return addresses
}

// TestCutZoneServes checks that a zone which is partitioned from the other zones and from the platform
// serves its callers from its own targets, also after a daemon of it is restarted, and that it has the
// latest revision within the time convergence after the partition ends.
func TestCutZoneServes(t *testing.T) {
	t.Parallel()
	s := newScenario(t, 1, 3, 2)
	s.startTargets()
	inside, outside := s.splitByZone(1)
	s.partition(inside, outside)
	s.sleep(partitionDetection)

	config := requestMix(s.Cluster, 200, time.Minute)
	config.Entries = entryAddresses(inside)
	run := startLoad(t, config)
	s.sleep(2 * time.Second)
	s.mustSubmit(outside[0])
	s.waitConverged(outside...)
	s.sleep(2 * time.Second)
	report := run.stop()
	checkAllSucceeded(t, report)

	inside[0].Restart()
	inside[0].WaitReady()
	cluster.Eventually(t, convergence, "the restarted daemon of the partitioned zone serves requests", func() error {
		return sendLookup(inside[0].Settings.Entry.Listen)
	})
	s.Network.ClearFaults()
	s.waitConverged(s.Daemons...)
	s.checkInvariants()
}

// sendLookup sends one request to an entry and returns an error unless its status is 200.
func sendLookup(entry string) error {
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

// checkAllSucceeded checks that every request got a response with status 200, and that no response was
// delivered to another request. It logs at most five of the failed requests.
func checkAllSucceeded(t *testing.T, report load.Report) {
	t.Helper()
	bad := 0
	for _, answer := range report.Results {
		if answer.Outcome != load.OutcomeResponded || answer.Status != http.StatusOK {
			if bad++; bad <= 5 {
				t.Errorf("request %s to %s: %s, status %d, %s", answer.RequestID, answer.Path, answer.Outcome, answer.Status, answer.Error)
			}
		}
	}
	is.New(t).Equal(report.Summary.Mismatched, uint64(0))
	t.Logf("%d requests, %d without a successful response, p99 %v", len(report.Results), bad, report.Summary.P99.Std())
}

// TestShareNeverGrowsWithoutPlatform checks that the share of a running rollout doesn't grow on any
// daemon while the platform doesn't respond, and that the rollout gets its verdict afterwards.
func TestShareNeverGrowsWithoutPlatform(t *testing.T) {
	t.Parallel()
	s := newScenario(t, 2, 3, 2)
	s.startTargets()
	run := startLoad(t, requestMix(s.Cluster, 400, 2*time.Minute))
	s.recordAccepted(s.Daemons[1].MustSubmit(rolloutTicket(2, 50*time.Second)))
	s.waitShare(s.Daemons[0], 1)

	s.SetPlatformFaults(platformserver.Faults{Unresponsive: true})
	s.sleep(3 * time.Second) // until everything written before the outage is in force
	before := s.currentShares()
	shares := s.pollMaxShares()
	s.sleep(8 * time.Second)
	for host, share := range shares() {
		if share > before[host] {
			t.Errorf("%s: share grew from %d to %d while the platform didn't respond", host, before[host], share)
		}
	}
	s.SetPlatformFaults(platformserver.Faults{})
	verdict := s.Daemons[2].WaitVerdict(2)
	t.Logf("verdict: %s %s", verdict.Verdict, verdict.Reason)
	checkAllSucceeded(t, run.stop())
	s.checkInvariants()
}

// rolloutShare returns the share of the new version, in ten-thousandths, that the daemon reports for the
// rollout, or 0 without a rollout.
func rolloutShare(daemon *cluster.Daemon) (int, error) {
	status, err := daemon.Status()
	if err != nil {
		return 0, err
	}
	for _, rollout := range status.Rollouts {
		return rollout.Share, nil
	}
	return 0, nil
}

// waitShare waits until the daemon reports at least the given share for the new version.
func (s *scenario) waitShare(daemon *cluster.Daemon, least int) {
	s.t.Helper()
	cluster.Eventually(s.t, 30*time.Second, "the rollout has started", func() error {
		share, err := rolloutShare(daemon)
		if err == nil && share < least {
			err = fmt.Errorf("share %d", share)
		}
		return err
	})
}

// currentShares returns the share that each daemon reports, by host.
func (s *scenario) currentShares() map[string]int {
	shares := make(map[string]int)
	for _, daemon := range s.Daemons {
		share, err := rolloutShare(daemon)
		is.New(s.t).NoErr(err)
		shares[daemon.Settings.Host] = share
	}
	return shares
}

// pollMaxShares polls the shares until the returned function is called, which returns the largest
// observed share by host.
func (s *scenario) pollMaxShares() (largest func() map[string]int) {
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	var mu sync.Mutex
	var group sync.WaitGroup
	shares := make(map[string]int)
	for _, daemon := range s.Daemons {
		group.Go(func() {
			for ctx.Err() == nil {
				share, _ := rolloutShare(daemon)
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

// TestPausedControllerWritesNothingLate checks that a rollout's lease holder which was paused until after
// the expiry of its lease writes nothing once another host holds the lease: the shares in the log
// never decrease and end at the full share.
func TestPausedControllerWritesNothingLate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newScenario(t, 3, 3, 2)
	s.startTargets()
	run := startLoad(t, requestMix(s.Cluster, 400, 2*time.Minute))
	s.recordAccepted(s.Daemons[1].MustSubmit(rolloutTicket(2, 45*time.Second)))
	s.waitShare(s.Daemons[0], 1)
	paused := s.waitLeaseHolder(nil)
	paused.Pause()
	successor := s.waitLeaseHolder(paused)
	t.Logf("%s took over from %s", successor.Settings.Host, paused.Settings.Host)
	paused.Resume()

	verdict := successor.WaitVerdict(2)
	is.Equal(verdict.Verdict, ticket.Completed)
	run.stop()
	s.checkSharesRise()
	s.checkInvariants()
}

// waitLeaseHolder waits until a daemon other than the given one holds the lease of the rollout, and
// returns it.
func (s *scenario) waitLeaseHolder(other *cluster.Daemon) *cluster.Daemon {
	s.t.Helper()
	var holder *cluster.Daemon
	cluster.Eventually(s.t, 30*time.Second, "a daemon holds the lease of the rollout", func() error {
		for _, daemon := range s.Daemons {
			if daemon == other {
				continue
			}
			if status, err := daemon.Status(); err == nil && status.Controllers["counter"] != "" {
				holder = daemon
				return nil
			}
		}
		return fmt.Errorf("no daemon holds it")
	})
	return holder
}

// checkSharesRise checks that the share of the new version never decreases from one revision in the log
// to the next and ends at the full share.
func (s *scenario) checkSharesRise() {
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
				s.t.Errorf("revision %d: share decreased to %d from %d", made.Revision, share, last)
			}
			last = share
		}
	}
	is.Equal(last, revision.FullShare)
}
