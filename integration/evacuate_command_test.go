package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

// Guards against an evacuation by ticket that is accepted and has no effect, that a mistyped name or the last zone
// turns against everything, or that can't be taken back.
func TestEvacuateCommand(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Zones: 2, HostsPerZone: 1})
	var targets []*cluster.Target
	for _, daemon := range c.Daemons {
		targets = append(targets, c.StartTarget(daemon, "counter", "v1", func(config *targetserver.Config) { config.WorkDuration = 0 }))
	}
	accepted := c.Daemons[0].MustSubmit(setupTicket(1))
	cluster.WaitRevision(t, convergence, accepted.Revision, c.Daemons...)
	c.WaitTargets("counter", "v1", len(c.Daemons))

	// runsInZoneA sends requests to the daemon of zone-a and returns how many of them ran there.
	runsInZoneA := func() (ran int) {
		t.Helper()
		began := time.Now()
		for i := range 20 {
			response, err := http.Get("http://" + c.Daemons[0].Settings.Entry.Listen + "/counter/lookups/" + fmt.Sprint(i))
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				t.Errorf("status %d", response.StatusCode)
			}
		}
		records, err := targets[0].ExecutionRecords()
		if err != nil {
			t.Fatal(err)
		}
		for _, record := range records {
			if record.StartedAt.After(began) {
				ran++
			}
		}
		return ran
	}
	for _, step := range []struct {
		args   []string
		exit   int
		output string
		runs   bool // requests run in zone-a behind it
	}{
		{[]string{"evacuate", "zone-x"}, exitBadInput, `no known daemon is in zone "zone-x"`, true},
		{[]string{"evacuate", "zone-a"}, 0, "zone zone-a is evacuated on 2 daemons", false},
		{[]string{"evacuate", "zone-a"}, 0, "is evacuated already", false},
		{[]string{"status"}, 0, "EVACUATED ZONE", false},
		{[]string{"evacuate", "zone-b"}, exitBadInput, "no zone would be left", false},
		{[]string{"evacuate", "-undo", "zone-a"}, 0, "zone zone-a receives requests on 2 daemons", true},
	} {
		result := c.Daemons[0].RunCommand(step.args...)
		if result.ExitCode != step.exit || !strings.Contains(result.Stdout+result.Stderr, step.output) {
			t.Errorf("%v: exit %d, %q, %q", step.args, result.ExitCode, result.Stdout, result.Stderr)
		}
		if ran := runsInZoneA(); (ran > 0) != step.runs {
			t.Errorf("after %v: %d requests ran in the zone", step.args, ran)
		}
	}
}
