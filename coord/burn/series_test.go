package burn

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

func TestSeries(t *testing.T) {
	is := is.New(t)
	start := testNow.Truncate(SeriesInterval)
	var s Series
	s.Add(start, Count{Requests: 3, Failures: 1}, map[string]uint64{"v1": 2})
	s.Add(start.Add(5*time.Second), Count{Requests: 1}, map[string]uint64{"v2": 1})
	s.Add(start.Add(SeriesInterval), Count{}, nil) // no requests, no point
	s.Add(start.Add(3*SeriesInterval), Count{Requests: 1}, nil)
	points := s.Points(start.Add(time.Minute))
	is.Equal(len(points), 2)
	is.Equal(points[0].Count, Count{Requests: 4, Failures: 1})
	is.Equal(points[0].Versions, map[string]uint64{"v1": 2, "v2": 1})
	is.True(points[1].At.Equal(start.Add(3 * SeriesInterval)))
	is.Equal(len(s.Points(start.Add(2*time.Hour))), 0)
}

func TestMergePoints(t *testing.T) {
	is := is.New(t)
	at := func(i int) time.Time { return testNow.Add(time.Duration(i) * SeriesInterval) }
	one := func(i int) Point {
		return Point{At: at(i), Count: Count{Requests: 1}, Versions: map[string]uint64{"v1": 1}}
	}
	merged := MergePoints([]Point{one(0), one(2)}, []Point{one(1), one(2), one(3)})
	is.Equal(len(merged), 4)
	for i, p := range merged {
		is.True(p.At.Equal(at(i)))
	}
	is.Equal(merged[2].Requests, uint64(2))
	is.Equal(merged[2].Versions["v1"], uint64(2))
}

func TestRateWithoutRequestsIsNil(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	h.Add(testNow.Add(-time.Hour), Count{Requests: 100, Failures: 100})
	report, ok := Evaluate(revision.Objective{Success: 9900}, historyAt{h, testNow})
	is.True(ok)
	is.Equal(report.Windows[0].ShortRate, nil) // no request in the short window of the first pair
	is.True(report.Windows[1].LongRate != nil)
	is.True(!report.Windows[0].Burning())
}
