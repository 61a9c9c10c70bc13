package detect

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func testConfig() Config {
	return Config{Alpha: 0.01, Beta: 0.01, Margin: 0.005, Effect: 0.02, WindowLimit: 2.5}
}

// traffic describes one version's requests in a window: their number and the probabilities of
// events.
type traffic struct {
	requests             uint64
	failure, slow, crash float64
}

func draw(r *rand.Rand, n uint64, p float64) uint64 {
	var k uint64
	for range n {
		if r.Float64() < p {
			k++
		}
	}
	return k
}

func (t traffic) sample(r *rand.Rand, v Version, route, zone string) Sample {
	return Sample{
		Version: v, Route: route, Zone: zone, Requests: t.requests,
		Failures: draw(r, t.requests, t.failure),
		Slow:     draw(r, t.requests, t.slow),
		Crashes:  draw(r, t.requests, t.crash),
	}
}

func TestVerdict(t *testing.T) {
	cases := []struct {
		name     string
		old, new traffic
		windows  int
		want     Kind
		metric   Metric
	}{
		{name: "clean", old: traffic{requests: 300}, new: traffic{requests: 10}, windows: 60, want: Good},
		{name: "same noise", old: traffic{300, 0.01, 0.02, 0}, new: traffic{30, 0.01, 0.02, 0}, windows: 120, want: Good},
		{name: "fails", old: traffic{requests: 300}, new: traffic{5, 0.5, 0, 0}, windows: 20, want: Bad, metric: Failures},
		{name: "fails a little", old: traffic{300, 0.01, 0, 0}, new: traffic{30, 0.08, 0, 0}, windows: 120, want: Bad, metric: Failures},
		{name: "slow", old: traffic{requests: 300}, new: traffic{5, 0, 0.6, 0}, windows: 20, want: Bad, metric: Slow},
		{name: "crashes", old: traffic{requests: 300}, new: traffic{5, 0, 0, 0.3}, windows: 30, want: Bad, metric: Crashes},
		{name: "too little traffic", old: traffic{requests: 300}, new: traffic{requests: 1}, windows: 20, want: Undecided},
		{name: "no traffic", windows: 1000, want: Undecided},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(1, 1))
			d := New(testConfig())
			for range c.windows {
				d.Observe(c.old.sample(r, OldVersion, "orders", "a"))
				d.Observe(c.new.sample(r, NewVersion, "orders", "a"))
				d.EndWindow()
			}
			got := d.Verdict()
			is.Equal(got.Kind, c.want)
			is.Equal(got.Reason.Metric, c.metric)
		})
	}
}

// countVerdicts returns how many of n independent detectors ever reach a verdict of the given
// kind.
func countVerdicts(n int, config Config, old, new traffic, kind Kind) int {
	reached := 0
	for seed := range n {
		r := rand.New(rand.NewPCG(uint64(seed), 2))
		d := New(config)
		for range 40 {
			for _, zone := range []string{"a", "b"} {
				d.Observe(old.sample(r, OldVersion, "orders", zone))
				d.Observe(new.sample(r, NewVersion, "orders", zone))
			}
			d.EndWindow()
			if d.Verdict().Kind == kind {
				reached++
				break
			}
		}
	}
	return reached
}

// TestErrorRates evaluates the verdict after every window, as a controller does, and compares the
// fraction of runs that ever reach a wrong verdict with the configured error probability: Alpha for
// a version wrongly judged bad, Beta for one wrongly judged good.
func TestErrorRates(t *testing.T) {
	const n = 300
	config := testConfig()
	config.Alpha, config.Beta, config.Effect = 0.05, 0.05, 0.1
	cases := []struct {
		name     string
		old, new traffic
		wrong    Kind
		maxRate  float64
	}{
		{"no difference", traffic{40, 0.05, 0.05, 0}, traffic{10, 0.05, 0.05, 0}, Bad, config.Alpha},
		{"worse by the margin", traffic{40, 0.05, 0, 0}, traffic{40, 0.05 + config.Margin, 0, 0}, Bad, config.Alpha},
		{"fails more by the effect", traffic{40, 0.02, 0, 0}, traffic{10, 0.02 + config.Effect, 0, 0}, Good, config.Beta},
		{"slower by the effect", traffic{40, 0, 0.02, 0}, traffic{10, 0, 0.02 + config.Effect, 0}, Good, config.Beta},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			wrong := countVerdicts(n, config, c.old, c.new, c.wrong)
			t.Logf("%d of %d", wrong, n)
			is.True(float64(wrong) <= c.maxRate*n)
		})
	}
}

// TestScopes checks that the reason names the part of the traffic that is worse.
func TestScopes(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 3))
	d := New(testConfig())
	for range 60 {
		for _, route := range []string{"catalogue", "commission"} {
			for _, zone := range []string{"a", "b", "c"} {
				new := traffic{requests: 10}
				if route == "commission" && zone == "b" {
					new.failure = 0.15
				}
				d.Observe(traffic{requests: 100}.sample(r, OldVersion, route, zone))
				d.Observe(new.sample(r, NewVersion, route, zone))
			}
		}
		d.EndWindow()
	}
	v := d.Verdict()
	is.Equal(v.Kind, Bad)
	is.Equal(v.Reason.Scope, Scope{Route: "commission", Zone: "b"})
}

// TestBurst checks that one second in which all requests to a good version fail leads to no bad
// verdict.
func TestBurst(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(4, 4))
	d := New(testConfig())
	for second := range 60 {
		new := traffic{requests: 50}
		if second == 30 {
			new.failure = 1
		}
		d.Observe(traffic{requests: 300}.sample(r, OldVersion, "orders", "a"))
		d.Observe(new.sample(r, NewVersion, "orders", "a"))
		d.EndWindow()
		is.True(d.Verdict().Kind != Bad)
	}
}

// TestWarmUp checks that slow responses during the warm-up do not count, whereas failures and
// slow responses that persist do.
func TestWarmUp(t *testing.T) {
	cases := []struct {
		name string
		new  traffic
		bad  int // number of windows with these rates
		want Kind
	}{
		{"slow during warm-up", traffic{20, 0, 0.5, 0}, 5, Good},
		{"slow permanently", traffic{20, 0, 0.5, 0}, 60, Bad},
		{"fails during warm-up", traffic{20, 0.5, 0, 0}, 5, Bad},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(6, 6))
			config := testConfig()
			config.WarmUpWindows = 5
			d := New(config)
			d.StartWarmUp()
			for second := range 60 {
				new := traffic{requests: c.new.requests}
				if second < c.bad {
					new = c.new
				}
				d.Observe(traffic{requests: 300}.sample(r, OldVersion, "orders", "a"))
				d.Observe(new.sample(r, NewVersion, "orders", "a"))
				d.EndWindow()
			}
			is.Equal(d.Verdict().Kind, c.want)
		})
	}
}

func ExampleDetector() {
	d := New(Config{Alpha: 0.01, Beta: 0.01, Margin: 0.005, Effect: 0.02, WindowLimit: 3})
	for range 10 { // seconds
		d.Observe(Sample{Version: OldVersion, Route: "orders", Zone: "a", Requests: 200})
		d.Observe(Sample{Version: NewVersion, Route: "orders", Zone: "a", Requests: 4, Failures: 3})
		d.EndWindow()
		if v := d.Verdict(); v.Kind == Bad {
			fmt.Println(v.Reason)
			break
		}
	}
	// Output: failures on route orders in zone a: new 9 of 12, old 0 of 600
}

// BenchmarkEndWindow evaluates a window of ten routes in four zones.
func BenchmarkEndWindow(b *testing.B) {
	r := rand.New(rand.NewPCG(5, 5))
	d := New(testConfig())
	for b.Loop() {
		for route := range 10 {
			for _, zone := range []string{"a", "b", "c", "d"} {
				name := fmt.Sprint(route)
				d.Observe(traffic{100, 0.01, 0.01, 0}.sample(r, OldVersion, name, zone))
				d.Observe(traffic{30, 0.01, 0.01, 0}.sample(r, NewVersion, name, zone))
			}
		}
		d.EndWindow()
	}
}
