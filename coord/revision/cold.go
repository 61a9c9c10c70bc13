package revision

import (
	"fmt"
	"math"
)

// checkCold returns the problems of what a service states of cold targets.
func checkCold(at string, service *Service) []error {
	var problems []error
	if service.ColdRate < 0 || math.IsInf(service.ColdRate, 0) || math.IsNaN(service.ColdRate) {
		problems = append(problems, fmt.Errorf("%s: coldRate %g is negative or not finite", at, service.ColdRate))
	}
	if service.ColdDuration < 0 {
		problems = append(problems, fmt.Errorf("%s: coldDuration is negative", at))
	}
	return problems
}
