package exit

import "time"

const (
	// maxAnswered bounds the requests in each generation of answeredSet.
	maxAnswered = 4096
	// answeredRetention is the time for which a response clears a request of suspicion.
	answeredRetention = 10 * time.Second
)

// answeredSet records when targets responded to requests, by fingerprint, in two generations of
// bounded size. A request that many callers send is in flight at most crashes without being their
// cause; a recent response distinguishes it from one that crashes every target.
type answeredSet struct{ current, previous map[uint64]time.Time }

func newAnsweredSet() answeredSet {
	return answeredSet{current: make(map[uint64]time.Time)}
}

func (a *answeredSet) add(hash uint64, now time.Time) {
	if _, known := a.current[hash]; !known && len(a.current) >= maxAnswered {
		a.previous = a.current
		a.current = make(map[uint64]time.Time, maxAnswered)
	}
	a.current[hash] = now
}

func (a *answeredSet) isRecent(hash uint64, now time.Time) bool {
	at, known := a.current[hash]
	if !known {
		at, known = a.previous[hash]
	}
	return known && now.Sub(at) < answeredRetention
}
