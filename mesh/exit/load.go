package exit

import "time"

// wait returns the shortest time that a request of the version is expected to wait at one of its
// targets here.
func (e *Exit) wait(key versionKey, now time.Time) time.Duration {
	var shortest time.Duration
	for i, t := range e.versions[key] {
		if wait := t.admission.Wait(now); i == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// failureRate returns the lowest recent failure rate of the version's targets here.
func (e *Exit) failureRate(key versionKey, now time.Time) float64 {
	lowest := 0.0
	for i, t := range e.versions[key] {
		if rate := t.admission.FailureRate(now); i == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}

// serviceTime returns the longest recent mean service time of a route at the version's targets here.
func (e *Exit) serviceTime(key versionKey, route string) time.Duration {
	var longest time.Duration
	for _, t := range e.versions[key] {
		longest = max(longest, t.admission.ServiceTime(route))
	}
	return longest
}
