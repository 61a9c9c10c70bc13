package burn

import "time"

// tiers are the resolutions of a history, from the finest. Together they cover DefaultWindow in
// about 20 kB.
var tiers = []struct {
	width  time.Duration
	length int // number of buckets
}{
	{10 * time.Second, 390},
	{5 * time.Minute, 80},
	{time.Hour, 24*30 + 1},
}

// History holds the counts of one service over DefaultWindow, at a resolution that decreases with
// age. It is not safe for concurrent use.
type History struct {
	rings []ring
}

// NewHistory returns a history without requests.
func NewHistory() *History {
	h := &History{}
	for _, t := range tiers {
		h.rings = append(h.rings, ring{width: t.width, buckets: make([]bucket, t.length)})
	}
	return h
}

// Add adds requests that ended at the given time.
func (h *History) Add(at time.Time, count Count) {
	for i := range h.rings {
		h.rings[i].add(at, count)
	}
}

// Over returns the counts of a span that ends at now, from the finest resolution that covers the
// whole span. A span longer than all of them is cut. The oldest bucket counts in full.
func (h *History) Over(now time.Time, span time.Duration) Count {
	for i := range h.rings {
		if r := &h.rings[i]; span <= r.maxSpan() {
			return r.sum(now, span)
		}
	}
	last := &h.rings[len(h.rings)-1]
	return last.sum(now, last.maxSpan())
}

// bucket counts the requests of one interval. The number of the interval is counted from the Unix
// epoch and distinguishes an outdated bucket from a current one.
type bucket struct {
	number int64
	count  Count
}

// ring holds the counts of one resolution in a circular buffer.
type ring struct {
	width   time.Duration
	buckets []bucket
}

// maxSpan returns the longest span that the ring covers.
func (r *ring) maxSpan() time.Duration { return r.width * time.Duration(len(r.buckets)-1) }

// number returns the number of the interval that contains a time.
func (r *ring) number(at time.Time) int64 { return at.UnixNano() / int64(r.width) }

// bucket returns the bucket in which the interval of a number is counted.
func (r *ring) bucket(number int64) *bucket { return &r.buckets[number%int64(len(r.buckets))] }

// add adds a count to the interval that contains a time.
func (r *ring) add(at time.Time, count Count) {
	number := r.number(at)
	b := r.bucket(number)
	if b.number > number {
		return // older than the oldest interval of the ring
	}
	if b.number < number {
		*b = bucket{number: number}
	}
	b.count = b.count.Add(count)
}

// sum returns the counts of a span that ends at now.
func (r *ring) sum(now time.Time, span time.Duration) Count {
	var sum Count
	for number := r.number(now.Add(-span)); number <= r.number(now); number++ {
		if b := r.bucket(number); b.number == number {
			sum = sum.Add(b.count)
		}
	}
	return sum
}
