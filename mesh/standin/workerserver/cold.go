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
