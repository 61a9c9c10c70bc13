package targetserver

import (
	"net/http"
	"sync"
	"time"

	"sassafrasnotch.example/coord/revision"
)

// ExecutionRecord is one request that the target started to run.
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
	// Completed is false for a request that was cancelled or interrupted by a crash.
	Completed bool `json:"completed"`
	Status    int  `json:"status,omitempty"`
	// SinceLeaving is the time from the start of the target's drain to the arrival of the
	// request; 0 means that the target was not leaving.
	SinceLeaving revision.Duration `json:"sinceLeaving,omitempty"`
}

// executionLog keeps a record of every request that was started. It is kept over crashes.
type executionLog struct {
	mu      sync.Mutex
	records []ExecutionRecord
}

// start records a request and returns its index in the log.
func (l *executionLog) start(r *http.Request, config Config, sinceLeaving time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, ExecutionRecord{
		RequestID:      r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Method:         r.Method,
		Path:           r.URL.Path,
		Version:        config.Version,
		Instance:       config.Instance,
		StartedAt:      time.Now(),
		SinceLeaving:   revision.Duration(sinceLeaving),
	})
	return len(l.records) - 1
}

// finish records the result of a request; status 0 means that it was cancelled or interrupted
// by a crash.
func (l *executionLog) finish(index, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := &l.records[index]
	record.EndedAt = time.Now()
	record.Completed = status != 0
	record.Status = status
}

func (l *executionLog) snapshot() []ExecutionRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ExecutionRecord{}, l.records...)
}
