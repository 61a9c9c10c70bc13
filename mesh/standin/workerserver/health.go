package workerserver

import (
	"net/http"
	"strconv"

	"sassafrasnotch.example/platform/wire"
)

// HealthPath is the path of the health check.
const HealthPath = "/health"

// serveHealth responds with status 200 unless the worker leaves. Like any other request, it waits for a
// slot.
func (w *Worker) serveHealth(writer http.ResponseWriter, request *http.Request) {
	if !w.acquireSlot(request.Context()) {
		w.rejectNotExecuted(writer, http.StatusServiceUnavailable)
		return
	}
	defer w.releaseSlot()
	writer.Header().Set(wire.HeaderInstanceID, w.config.ID)
	w.mu.Lock()
	left, cold := w.left, w.coldRemaining()
	w.mu.Unlock()
	writer.Header().Set(wire.HeaderColdStart, strconv.FormatInt(cold.Milliseconds(), 10))
	if left {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}
