package detect

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// playUncompared plays windows of the old version in zone a, and then windows of the new version in
// zone b, beside the old one in zone a if there is any. It returns the number of the latter until the
// new version was judged bad, 0 if it was not.
func playUncompared(config Config, seed uint64, windows int, old, oldMeanwhile, new traffic) int {
	r := rand.New(rand.NewPCG(seed, 3))
	d := New(config)
	for range 20 {
		d.Observe(old.sample(r, OldVersion, "orders", "a"))
		d.EndWindow()
	}
	for window := range windows {
		d.Observe(oldMeanwhile.sample(r, OldVersion, "orders", "a"))
		d.Observe(new.sample(r, NewVersion, "orders", "b"))
		d.EndWindow()
		if d.Verdict().Kind == Bad {
			return window + 1
		}
	}
	return 0
}

func TestNewVersionIsJudgedWhereTheOldOneHasNoRequests(t *testing.T) {
	usual := traffic{100, 0.01, 0.01, 0}
	cases := []struct {
		name              string
		oldMeanwhile, new traffic
		bad               bool
	}{
		{"fails, all requests", traffic{}, traffic{100, 0.5, 0, 0}, true},
		{"fails, old version elsewhere", usual, traffic{40, 0.5, 0, 0}, true},
		{"slow, old version elsewhere", usual, traffic{40, 0, 0.95, 0}, true},
		{"as the old one, all requests", traffic{}, usual, false},
		{"as the old one elsewhere", usual, usual, false},
		{"slow under a peak of load, all requests", traffic{}, traffic{100, 0.01, 0.9, 0}, false},
		{"both versions fail meanwhile", traffic{100, 0.3, 0.01, 0}, traffic{40, 0.3, 0.01, 0}, false},
	}
	const within = 5 // windows
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				is.Equal(playUncompared(testConfig(), seed, within, usual, c.oldMeanwhile, c.new) > 0, c.bad)
			}
		})
	}
}

func TestUncomparedWindowsKeepTheErrorProbability(t *testing.T) {
	const n = 300
	is := is.New(t)
	config := testConfig()
	config.Alpha, config.Effect = 0.05, 0.1
	old := traffic{100, 0.01, 0.01, 0}
	atTheMargin := traffic{40, 0.01 + config.uncomparedMargin(Failures), 0, 0}
	wrong := 0
	for seed := range uint64(n) {
		if playUncompared(config, seed, 40, old, traffic{}, atTheMargin) > 0 {
			wrong++
		}
	}
	t.Logf("%d of %d judged bad", wrong, n)
	is.True(float64(wrong) <= config.Alpha*n)
}
