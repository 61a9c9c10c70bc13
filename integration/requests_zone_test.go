package integration

import (
	"testing"
	"time"

	"sassafrasnotch.example/integration/cluster"
)

// TestZoneCutOffServesItsCallers checks that the callers of a zone that reaches
// neither the others nor the platform are served by the zone's own targets.
func TestZoneCutOffServesItsCallers(t *testing.T) {
	t.Parallel()
	r := newRequests(t, shape{seed: 1, zones: 3, hosts: 2})
	config := r.mixed(200, r.Daemons[0], r.Daemons[1])
	config.Routes = config.Routes[:2] // keyed requests need the platform
	r.begin(config)
	others := append(append(r.ZoneHosts(1), r.ZoneHosts(2)...), cluster.PlatformName)
	r.Network.Partition(r.ZoneHosts(0), others)
	cut := time.Now()
	r.pass(10 * time.Second)
	r.end()
	r.audit()
	r.answered(cut.Add(recovery), time.Time{})
}
