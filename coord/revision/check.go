package revision

import (
	"fmt"
	"strings"
)

// Check returns an error for each dangling reference and invalid value of the state, in the
// order of the resources' references. The result is empty for a valid state.
func (s *Snapshot) Check() []error { return s.check() }

func (s *Snapshot) check() []error {
	var problems []error
	prefixes := make(map[prefixKey]string)
	keyHolders := make(map[string]string)
	for _, entry := range s.Entries() {
		switch {
		case entry.Service != nil:
			problems = append(problems, checkService(entry.Service)...)
		case entry.Version != nil:
			problems = append(problems, s.checkVersion(entry.Version)...)
		case entry.Route != nil:
			problems = append(problems, s.checkRoute(entry.Route, prefixes)...)
		case entry.Split != nil:
			problems = append(problems, s.checkSplit(entry.Split)...)
		case entry.Limits != nil:
			problems = append(problems, checkLimits(entry.Limits)...)
		case entry.Tenant != nil:
			problems = append(problems, checkTenant(entry.Tenant, keyHolders)...)
		}
	}
	return problems
}

func checkService(service *Service) []error {
	var problems []error
	at := "service/" + service.Name
	switch service.Preference {
	case "", PreferSafety, PreferDeadline, PreferBounded:
	default:
		problems = append(problems, fmt.Errorf("%s: preference %q is not %q or %q", at, service.Preference, PreferSafety, PreferDeadline))
	}
	problems = append(problems, checkCold(at, service)...)
	if service.LatencyBound < 0 {
		problems = append(problems, fmt.Errorf("%s: latencyBound is negative", at))
	}
	if service.Objective.Success < 0 || service.Objective.Success > FullShare {
		problems = append(problems, fmt.Errorf("%s: objective.success %d is outside 0 to %d", at, service.Objective.Success, FullShare))
	}
	return problems
}

func checkLimits(limits *CallerLimits) []error {
	var problems []error
	for _, limit := range []struct {
		name     string
		negative bool
	}{
		{"maxHeaderBytes", limits.MaxHeaderBytes < 0},
		{"maxBodyBytes", limits.MaxBodyBytes < 0},
		{"headerTimeout", limits.HeaderTimeout < 0},
		{"idleTimeout", limits.IdleTimeout < 0},
	} {
		if limit.negative {
			problems = append(problems, fmt.Errorf("limits/%s: %s is negative", callerLimitsName, limit.name))
		}
	}
	return problems
}

func (s *Snapshot) checkVersion(version *Version) []error {
	if _, ok := s.Service(version.Service); !ok {
		return []error{fmt.Errorf("version/%s/%s: service %q does not exist", version.Service, version.Name, version.Service)}
	}
	return nil
}

func (s *Snapshot) checkRoute(route *Route, prefixes map[prefixKey]string) []error {
	var problems []error
	at := "route/" + route.Name
	if !strings.HasPrefix(route.Prefix, "/") {
		problems = append(problems, fmt.Errorf("%s: prefix %q does not start with /", at, route.Prefix))
	}
	prefix := prefixKey{route.Host, strings.TrimRight(route.Prefix, "/")}
	if other, ok := prefixes[prefix]; ok {
		problems = append(problems, fmt.Errorf("%s: prefix %q is already used by route %q", at, route.Prefix, other))
	}
	prefixes[prefix] = route.Name
	switch route.Repeat {
	case "", RepeatIdempotent, RepeatNever, RepeatKeyed:
	default:
		problems = append(problems, fmt.Errorf("%s: repeat %q is not %q, %q or %q", at, route.Repeat, RepeatIdempotent, RepeatNever, RepeatKeyed))
	}
	if route.Timeout < 0 {
		problems = append(problems, fmt.Errorf("%s: timeout is negative", at))
	}
	if route.MaxAttempts < 0 {
		problems = append(problems, fmt.Errorf("%s: maxAttempts is negative", at))
	}
	problems = append(problems, checkRouteSplit(at, route)...)
	for _, service := range route.Services() {
		problems = append(problems, s.checkRouteService(at, service)...)
	}
	return problems
}

func (s *Snapshot) checkRouteService(at, service string) []error {
	if _, ok := s.Service(service); !ok {
		return []error{fmt.Errorf("%s: service %q does not exist", at, service)}
	}
	if _, ok := s.Split(service); !ok {
		return []error{fmt.Errorf("%s: service %q has no split, so no version can serve its requests", at, service)}
	}
	return nil
}

func checkRouteSplit(at string, route *Route) []error {
	if len(route.Split) == 0 {
		return nil
	}
	var problems []error
	if route.Service != "" {
		problems = append(problems, fmt.Errorf("%s: has both a service and a split", at))
	}
	sum := 0
	for _, share := range route.Split {
		if share.Weight < 0 {
			problems = append(problems, fmt.Errorf("%s: weight %d of service %q is negative", at, share.Weight, share.Service))
		}
		sum += share.Weight
	}
	if sum <= 0 {
		problems = append(problems, fmt.Errorf("%s: the weights of the split sum to %d; the sum must be positive", at, sum))
	}
	return problems
}

func (s *Snapshot) checkSplit(split *Split) []error {
	var problems []error
	at := "split/" + split.Service
	if _, ok := s.Service(split.Service); !ok {
		problems = append(problems, fmt.Errorf("%s: service %q does not exist", at, split.Service))
	}
	sum := 0
	named := make(map[string]bool)
	for _, share := range split.Shares {
		sum += share.Weight
		if share.Weight < 0 || share.Weight > FullShare {
			problems = append(problems, fmt.Errorf("%s: weight %d of version %q is outside 0 to %d", at, share.Weight, share.Version, FullShare))
		}
		if named[share.Version] {
			problems = append(problems, fmt.Errorf("%s: version %q is listed twice", at, share.Version))
		}
		named[share.Version] = true
		problems = append(problems, s.checkVersionExists(at, split.Service, share.Version)...)
	}
	if sum != FullShare {
		problems = append(problems, fmt.Errorf("%s: weights sum to %d, not %d", at, sum, FullShare))
	}
	if split.Rollout != nil {
		problems = append(problems, s.checkVersionExists(at+": move", split.Service, split.Rollout.From)...)
		problems = append(problems, s.checkVersionExists(at+": move", split.Service, split.Rollout.To)...)
	}
	return problems
}

func (s *Snapshot) checkVersionExists(at, service, version string) []error {
	if _, ok := s.Version(service, version); ok || version == AnyVersion {
		return nil
	}
	return []error{fmt.Errorf("%s: version %q of service %q does not exist", at, version, service)}
}
