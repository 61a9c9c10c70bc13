package nested_test

import (
	"math"
	"time"

	"sassafrasnotch.example/coord/retry"
)

func (m *model) arrive(perSecond float64, caller func()) {
	rate := perSecond
	if at := m.now.Sub(time.Unix(1005, 0)); m.burst > 0 && at >= 0 && at < m.burstTime() {
		rate *= m.burst
	}
	rate *= 1 + m.swing*math.Sin(2*math.Pi*m.now.Sub(time.Unix(1000, 0)).Seconds()/13)
	m.after(time.Duration(m.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		caller()
		m.arrive(perSecond, caller)
	})
}

// burstTime returns how long the burst lasts that begins at 5 s.
func (m *model) burstTime() time.Duration {
	if m.flash {
		return 300 * time.Millisecond
	}
	return 6 * time.Second
}

func (m *model) second() int { return int(m.now.Sub(time.Unix(1000, 0)) / time.Second) }

// caller asks a service and comes back while it has time. One in two requests may be repeated after a
// failure.
func (m *model) caller(index int) {
	begun := m.second()
	deadline := m.now.Add(m.patience)
	safe := m.arrivals.IntN(2) == 0
	kind := retry.Kind{}
	if index == 0 && m.arrivals.Float64() >= m.plain {
		kind.CallsPerRun = 2
	}
	if index == 0 {
		m.result.asked[begun]++
	}
	left := comeBacks
	var ask func(first bool)
	ask = func(first bool) {
		m.request(index, &request{kind: kind, entry: m.entries[m.random.IntN(len(m.entries))], deadline: deadline, first: first, done: func(o outcome, retryAfter time.Duration) {
			switch {
			case o == served && index == 0:
				m.result.served[begun]++
				return
			case o == served:
				m.result.servedSecond[begun]++
				return
			case left == 0 || o == failed && !safe || !m.now.Before(deadline):
				return
			}
			left--
			m.result.callersBack++
			if o == failed {
				retryAfter = 50 * time.Millisecond
			}
			wait := min(retryAfter, deadline.Sub(m.now)/3)
			m.after(wait, func() { ask(false) })
		}})
	}
	ask(true)
}
