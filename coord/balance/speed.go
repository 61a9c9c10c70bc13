package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slownessPenalty is the load, in requests per slot, that a host counts as having more for each
	// typical service time that it takes longer. A host of half the usual speed is thus chosen over
	// one of the usual speed only where that one is busier by one request for each slot.
	slownessPenalty = 1.0
	// minRelativeTime bounds the advantage of a fast host: one that fails or refuses at once reports
	// short times too.
	minRelativeTime = 0.5
	// relativeHalfLifeServices is the time in which a relative service time halves its distance to
	// the typical one without reports, in typical service times, so that a host that was slow gets
	// requests again.
	relativeHalfLifeServices = 64
	// maxServiceClasses bounds the classes with a typical service time. It is far more than the
	// routes that carry traffic at the same time.
	maxServiceClasses = 4096
	// minTypicalWeight is the weight of a report in the typical service time once there are many.
	minTypicalWeight = 1.0 / 64
)

// Class names the requests of one route to one service, which take about the same time on hosts of
// the same speed, or all requests to the service if Route is empty.
type Class struct{ Service, Route string }

// ServiceTimes holds the typical service time of each class: the moving mean of what all hosts
// report. It is safe for concurrent use; the zero value is ready.
type ServiceTimes struct {
	mutex   sync.Mutex
	typical map[Class]*typicalTime
}

type typicalTime struct {
	mean    float64 // nanoseconds
	reports int
}

// Add adds the service time that a host reports for a class, and returns the typical one.
func (s *ServiceTimes) Add(class Class, reported time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.typical == nil || len(s.typical) >= maxServiceClasses {
		s.typical = make(map[Class]*typicalTime)
	}
	t := s.typical[class]
	if t == nil {
		t = &typicalTime{}
		s.typical[class] = t
	}
	t.reports++
	t.mean += (float64(reported) - t.mean) * max(1/float64(t.reports), minTypicalWeight)
	return time.Duration(t.mean)
}

// speed is the service time of one endpoint relative to the typical one. The speed of a host
// changes slowly, so that reports stay of use for longer than those of its load.
type speed struct {
	relative   atomic.Uint64 // bits of a float64
	halfLife   atomic.Int64  // nanoseconds
	reportedAt atomic.Int64  // nanoseconds since the origin of now; 0 before any report
}

// ObserveServiceTime stores the service time that the host reported for a class of requests whose
// typical service time is known.
func (e *Endpoint) ObserveServiceTime(reported, typical time.Duration, now time.Duration) {
	if reported <= 0 || typical <= 0 {
		return
	}
	relative := max(float64(reported)/float64(typical), minRelativeTime)
	e.speed.relative.Store(math.Float64bits(relative))
	e.speed.halfLife.Store(int64(relativeHalfLifeServices * typical))
	e.speed.reportedAt.Store(int64(now))
}

// RelativeServiceTime returns the service time of the endpoint divided by the typical one; 1 if it
// is not known.
func (e *Endpoint) RelativeServiceTime(now time.Duration) float64 {
	at := e.speed.reportedAt.Load()
	if at == 0 {
		return 1
	}
	halfLives := float64(int64(now)-at) / float64(e.speed.halfLife.Load())
	return 1 + (math.Float64frombits(e.speed.relative.Load())-1)*math.Exp2(-halfLives)
}
