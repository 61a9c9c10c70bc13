package daemon

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sassafrasnotch.example/coord/gossip"
)

// Guards against an order for an unknown zone, or for all zones, that no operator notices, and against a line for
// each configuration that changes nothing about evacuations.
func TestOddEvacuationsAreLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.DebugLevel)
	log := evacuationLog{logger: zap.New(core)}
	member := func(zone string) gossip.Member { return gossip.Member{Record: gossip.Record{Zone: zone}} }
	known := knownZones("b", []gossip.Member{member("a"), member("c"), member("a")})
	is.Equal(known, []string{"a", "b", "c"})
	for _, step := range []struct {
		zones []string
		want  []string
	}{
		{nil, nil},
		{[]string{"a"}, []string{"evacuated zones changed"}},
		{[]string{"a"}, nil},
		{[]string{"a", "x"}, []string{"evacuated zones changed", "no known daemon is in an evacuated zone"}},
		{[]string{"a", "b", "c"}, []string{"evacuated zones changed", "every known zone is evacuated; all requests are refused"}},
		{nil, []string{"evacuated zones changed"}},
	} {
		log.logChange(step.zones, known)
		var got []string
		for _, line := range lines.TakeAll() {
			got = append(got, line.Message)
		}
		is.Equal(got, step.want)
	}
}
