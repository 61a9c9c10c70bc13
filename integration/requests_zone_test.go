package integration

import (
	"testing"
	"time"

	"sassafrasnotch.example/integration/cluster"
)

// TestZoneCutOffServesItsCallers checks that the targets of a zone serve the zone's callers while it is
// partitioned from the other zones and from the platform.
func TestZoneCutOffServesItsCallers(t *testing.T) {
	t.Parallel()
	r := newRequestTest(t, requestTestOptions{seed: 1, zones: 3, hosts: 2})
	config := r.mixedLoad(200, r.Daemons[0], r.Daemons[1])
	config.Routes = config.Routes[:2] // keyed requests need the platform
	r.startLoad(config)
	others := append(append(r.ZoneHosts(1), r.ZoneHosts(2)...), cluster.PlatformName)
	r.Network.Partition(r.ZoneHosts(0), others)
	partitioned := time.Now()
	r.sleep(10 * time.Second)
	r.stopLoad()
	r.audit()
	r.checkSucceeded(partitioned.Add(recovery), time.Time{})
}
