package workerserver

import "time"

// CountExecutionsBetween returns the number of requests that started between two points in
// time.
func (w *Worker) CountExecutionsBetween(from, to time.Time) int {
	count := 0
	for _, run := range w.ExecutionRecords() {
		if run.StartedAt.After(from) && run.StartedAt.Before(to) {
			count++
		}
	}
	return count
}

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
