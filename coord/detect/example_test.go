package detect_test

import (
	"fmt"

	"sassafrasnotch.example/coord/detect"
)

// The detector finds a version that fails on one route only.
func Example() {
	d := detect.New(detect.Config{Alpha: 0.01, Beta: 0.01, Margin: 0.005, Effect: 0.02, WindowLimit: 2.5})
	for range 10 {
		for _, route := range []string{"lookups", "orders"} {
			failures := uint64(0)
			if route == "orders" {
				failures = 8
			}
			d.Observe(detect.Sample{Version: detect.OldVersion, Route: route, Zone: "a", Requests: 500})
			d.Observe(detect.Sample{Version: detect.NewVersion, Route: route, Zone: "a", Requests: 20, Failures: failures})
		}
		d.EndWindow()
	}
	verdict := d.Verdict()
	fmt.Println(verdict.Kind, verdict.Reason.Metric)
	// Output: bad failures
}
