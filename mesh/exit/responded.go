package exit

import "time"

const (
	// maxResponded bounds the requests in each generation of respondedSet.
	maxResponded = 4096
	// responseRetention is the time for which a response prevents its request from becoming a
	// suspect and from being quarantined.
	responseRetention = 10 * time.Second
)

// respondedSet records when targets responded to requests, by fingerprint, in two generations of
// bounded size. A request that many callers send is in flight during most crashes without being
// their cause; a recent response distinguishes it from one that crashes every target.
type respondedSet struct{ current, previous map[uint64]time.Time }

func newRespondedSet() respondedSet {
	return respondedSet{current: make(map[uint64]time.Time)}
}

func (r *respondedSet) add(fingerprint uint64, now time.Time) {
	if _, known := r.current[fingerprint]; !known && len(r.current) >= maxResponded {
		r.previous = r.current
		r.current = make(map[uint64]time.Time, maxResponded)
	}
	r.current[fingerprint] = now
}

func (r *respondedSet) isRecent(fingerprint uint64, now time.Time) bool {
	at, known := r.current[fingerprint]
	if !known {
		at, known = r.previous[fingerprint]
	}
	return known && now.Sub(at) < responseRetention
}
