package admission

import (
	"testing"

	"github.com/matryer/is"
)

func TestParseRate(t *testing.T) {
	for text, want := range map[string]float64{"36.3": 36.3, " 5 ": 5, "0": 0, "0.25": 0.25} {
		rate, err := ParseRate([]string{text})
		is.New(t).NoErr(err)
		is.New(t).Equal(rate, want)
	}
	for _, values := range [][]string{nil, {"5", "6"}, {"5, 6"}, {""}, {"-1"}, {"NaN"}, {"Inf"}, {"1e400"}, {"many"}} {
		_, err := ParseRate(values)
		is.New(t).True(err != nil)
	}
}
