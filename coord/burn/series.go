package burn

import (
	"maps"
	"slices"
	"time"
)

const (
	// SeriesInterval is the length of the interval of a point.
	SeriesInterval = 10 * time.Second
	// SeriesLength is the maximum number of points of a series.
	SeriesLength = 360
)

// Point counts the requests of one interval. An interval without requests has no point.
type Point struct {
	// At is the start of the interval.
	At time.Time `json:"at"`
	Count
	// Versions counts the requests that each version responded to.
	Versions map[string]uint64 `json:"versions,omitempty"`
}

// Series holds the points of one service over the last hour. It is not safe for concurrent use.
type Series struct {
	points []Point // in ascending order of time
}

// Add adds requests that ended at the given time, and those among them that each version
// responded to. Times must not decrease from one call of Add to the next.
func (s *Series) Add(at time.Time, count Count, versions map[string]uint64) {
	if count.Requests == 0 {
		return
	}
	p := Point{At: at.Truncate(SeriesInterval).UTC(), Count: count, Versions: versions}
	if last := len(s.points) - 1; last >= 0 && !s.points[last].At.Before(p.At) {
		s.points[last] = s.points[last].add(p)
		return
	}
	if len(s.points) == SeriesLength {
		s.points = slices.Delete(s.points, 0, 1)
	}
	s.points = append(s.points, p)
}

// Points returns the points of the last hour before now.
func (s *Series) Points(now time.Time) []Point {
	var recent []Point
	for _, p := range s.points {
		if now.Sub(p.At) <= SeriesInterval*SeriesLength {
			recent = append(recent, p)
		}
	}
	return recent
}

// MergePoints adds up the points of two hosts, in ascending order of time.
func MergePoints(a, b []Point) []Point {
	merged := make([]Point, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		switch order := a[0].At.Compare(b[0].At); {
		case order < 0:
			merged, a = append(merged, a[0]), a[1:]
		case order > 0:
			merged, b = append(merged, b[0]), b[1:]
		default:
			merged = append(merged, a[0].add(b[0]))
			a, b = a[1:], b[1:]
		}
	}
	merged = append(merged, a...)
	return append(merged, b...)
}

// add returns the sum of two points of the same interval.
func (p Point) add(other Point) Point {
	sum := maps.Clone(p.Versions)
	if sum == nil {
		sum = make(map[string]uint64)
	}
	for version, requests := range other.Versions {
		sum[version] += requests
	}
	return Point{At: p.At, Count: p.Count.Add(other.Count), Versions: sum}
}
