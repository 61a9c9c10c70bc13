package source

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync"
	"time"
)

// Causes that end a wait for changes.
var (
	errReread  = errors.New("another daemon has a newer revision")
	errOverdue = fmt.Errorf("no response in time: %w", context.DeadlineExceeded)
)

// response records when the response to a request began. Its body may take long on a slow link, but its
// content was composed before.
type response struct {
	mu    sync.Mutex
	began time.Time
}

// withResponseTimeout returns a context for HTTP requests that ends with errOverdue if no response
// begins within the timeout. Requests that follow the first response are not bounded.
func withResponseTimeout(parent context.Context, timeout time.Duration) (context.Context, *response, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	overdue := time.AfterFunc(timeout, func() { cancel(errOverdue) })
	stop := context.AfterFunc(ctx, func() { overdue.Stop() })
	r := new(response)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		overdue.Stop()
		stop()
		r.begin()
	}})
	return traced, r, cancel
}

func (r *response) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began = time.Now()
}

// beganAt returns when the latest response began. Where the requests are not traced, it is now.
func (r *response) beganAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began.IsZero() {
		return time.Now()
	}
	return r.began
}
