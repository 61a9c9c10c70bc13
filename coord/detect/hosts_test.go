package detect

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// playHosts plays windows of an old version and of a new one whose hosts have the given
// probabilities of a slow response, and returns the windows until the new one was judged bad, 0 if
// it was not.
func playHosts(config Config, seed uint64, windows int, slow ...float64) int {
	r := rand.New(rand.NewPCG(seed, 1))
	d := New(config)
	for window := range windows {
		d.Observe(traffic{requests: 300, slow: 0.01}.sample(r, OldVersion, "browse", "a"))
		for i, p := range slow {
			s := traffic{requests: 15, slow: p}.sample(r, NewVersion, "browse", "a")
			s.Host = fmt.Sprint("h", i)
			d.Observe(s)
		}
		d.EndWindow()
		if d.Verdict().Kind == Bad {
			return window + 1
		}
	}
	return 0
}

// A host that is slow by itself does not condemn the version that it runs; a version that is slow
// everywhere is found as soon as without regard to hosts.
func TestSlowHostDoesNotCondemnItsVersion(t *testing.T) {
	const bad, good = 0.6, 0.01
	zoneConfig := testConfig()
	zoneConfig.MinSlowHosts = 2
	cases := []struct {
		name   string
		config Config
		slow   []float64
		bad    bool
		within int // windows
	}{
		{"one of five", testConfig(), []float64{bad, good, good, good, good}, false, 60},
		{"one of two", testConfig(), []float64{bad, good}, false, 60},
		{"all of five", testConfig(), []float64{bad, bad, bad, bad, bad}, true, 6},
		{"three of five", testConfig(), []float64{bad, bad, bad, good, good}, true, 6},
		{"the only one", testConfig(), []float64{bad}, true, 6},
		{"the only one of a zone", zoneConfig, []float64{bad}, false, 60},
		{"both of a zone", zoneConfig, []float64{bad, bad}, true, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				windows := playHosts(c.config, seed, c.within, c.slow...)
				is.Equal(windows > 0, c.bad)
			}
		})
	}
}
