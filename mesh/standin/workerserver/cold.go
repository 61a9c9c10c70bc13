package workerserver

import "time"

// TurnCold makes the worker cold for a duration, which its heartbeats and health responses state.
func (w *Worker) TurnCold(duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Now().Add(duration)
}

// coldRemaining returns the time for which the worker stays cold. The caller holds w.mu.
func (w *Worker) coldRemaining() time.Duration { return max(0, time.Until(w.coldUntil)) }

// MostExecutionsInASecond returns the largest number of requests that started in any second that ends between two
// points in time.
func (w *Worker) MostExecutionsInASecond(from, to time.Time) int {
	var starts []time.Time
	for _, run := range w.ExecutionRecords() {
		starts = append(starts, run.StartedAt)
	}
	most, first := 0, 0
	for i, at := range starts {
		for at.Sub(starts[first]) >= time.Second {
			first++
		}
		if !at.Before(from) && at.Before(to) {
			most = max(most, i-first+1)
		}
	}
	return most
}
