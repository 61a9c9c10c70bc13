package entry

import (
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/settings"
)

// Guards against an entry that still offers requests to a zone that is evacuated, also its own, and against
// one that leaves the zone out once the order is taken back.
func TestEvacuatedZoneHasNoEndpoints(t *testing.T) {
	is := is.New(t)
	r := newRouting(balance.Locality{Host: "a0", Zone: "a"}, settings.Default().Entry.Retry, 0)
	r.setMembers([]gossip.Member{hostMember("a0", "a", "v1"), hostMember("b0", "b", "v1"), hostMember("c0", "c", "v1")})
	zonesLeft := func(evacuated ...string) (zones []string) {
		r.setEvacuated(evacuated)
		if group := r.index.Load().Group("orders", "v1"); group != nil {
			for _, endpoint := range group.Endpoints() {
				zones = append(zones, endpoint.Zone)
			}
		}
		return zones
	}
	is.Equal(zonesLeft("a"), []string{"b", "c"})
	is.Equal(zonesLeft("a", "elsewhere"), []string{"b", "c"}) // an unknown zone changes nothing
	is.Equal(zonesLeft("a", "b", "c"), nil)
	is.Equal(zonesLeft(), []string{"a", "b", "c"})
}
