package revision

import (
	"fmt"
	"testing"
)

// snapshotWithServices returns a snapshot of services with two versions, a split and two routes
// each.
func snapshotWithServices(b *testing.B, services int) *Snapshot {
	b.Helper()
	var resources []Resource
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		resources = append(resources,
			Resource{Service: &Service{Name: name}},
			Resource{Version: &Version{Service: name, Name: "v1"}},
			Resource{Version: &Version{Service: name, Name: "v2"}},
			Resource{Split: &Split{Service: name, Shares: []Share{{Version: "v1", Weight: FullShare}}}},
			Resource{Route: &Route{Name: name + "-read", Service: name, Prefix: "/" + name + "/read"}},
			Resource{Route: &Route{Name: name + "-write", Service: name, Prefix: "/" + name + "/write"}})
	}
	state, err := Empty().Preview(&Change{Revision: 1, Ticket: 1, Put: resources})
	if err != nil {
		b.Fatal(err)
	}
	return state
}

var serviceCounts = []int{22, 89, 356} // fleet sizes, in services

// BenchmarkApply measures the decoding and application of one rollout step.
func BenchmarkApply(b *testing.B) {
	for _, services := range serviceCounts {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			state := snapshotWithServices(b, services)
			change := &Change{Revision: 2, Ticket: 2, Put: []Resource{{Split: &Split{
				Service: "service-1",
				Shares:  []Share{{Version: "v1", Weight: 9900}, {Version: "v2", Weight: 100}},
			}}}}
			next, err := state.Preview(change)
			if err != nil {
				b.Fatal(err)
			}
			change.StateHash = next.Hash()
			value, err := change.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				decoded, err := DecodeChange(value)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := state.Apply(decoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "change-bytes")
		})
	}
}

// BenchmarkSnapshot measures the encoding of the whole state and its decoding with all checks.
func BenchmarkSnapshot(b *testing.B) {
	for _, services := range serviceCounts {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			state := snapshotWithServices(b, services)
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, err := state.Encode()
				if err != nil {
					b.Fatal(err)
				}
				if _, err := DecodeSnapshot(data); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "snapshot-bytes")
		})
	}
}

// BenchmarkMatch measures the lookup of a route.
func BenchmarkMatch(b *testing.B) {
	for _, services := range serviceCounts {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			state := snapshotWithServices(b, services)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := state.Match("", "/service-1/write/orders/77"); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}
