package targetserver

import (
	"net/http"
	"sync"
	"time"

	"sassafrasnotch.example/coord/revision"
)

// ExecutionRecord is one request that the target began to run.
type ExecutionRecord struct {
	RequestID      string    `json:"requestId"`
	IdempotencyKey string    `json:"idempotencyKey,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Version        string    `json:"version"`
	Instance       string    `json:"instance"`
	StartedAt      time.Time `json:"began"`
	// EndedAt is the zero time while the request runs.
	EndedAt time.Time `json:"ended,omitzero"`
	// Completed is false for a request that was cancelled or cut off by a crash.
	Completed bool `json:"completed"`
	Status    int  `json:"status,omitempty"`
	// SinceLeaving is the time from the target's departure to the arrival of
	// the request; 0 means that the target was not leaving.
	SinceLeaving revision.Duration `json:"sinceLeaving,omitempty"`
}

// witness keeps a record of every request that ran. It outlives crashes.
type witness struct {
	mu      sync.Mutex
	records []ExecutionRecord
}

// begin records a request and returns its place in the log.
func (w *witness) begin(r *http.Request, config Config, sinceLeaving time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, ExecutionRecord{
		RequestID:      r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Method:         r.Method,
		Path:           r.URL.Path,
		Version:        config.Version,
		Instance:       config.Instance,
		StartedAt:      time.Now(),
		SinceLeaving:   revision.Duration(sinceLeaving),
	})
	return len(w.records) - 1
}

// end records the result of a request; status 0 means that it was cut off.
func (w *witness) end(place, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	record := &w.records[place]
	record.EndedAt = time.Now()
	record.Completed = status != 0
	record.Status = status
}

func (w *witness) snapshot() []ExecutionRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]ExecutionRecord{}, w.records...)
}
