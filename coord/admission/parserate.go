package admission

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// ParseRate parses the rate, in requests per second, that a target names in the values of a header
// field. The error states why the values name none: there is not exactly one, or it is not a finite
// decimal number from 0 on.
func ParseRate(values []string) (float64, error) {
	if len(values) != 1 {
		return 0, fmt.Errorf("%d values; a target names one rate", len(values))
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, fmt.Errorf("%q is not a finite number from 0 on", values[0])
	}
	return rate, nil
}
