package daemon

import "sync/atomic"

// readiness tells whether the daemon takes requests: once it has a configuration
// and until it is asked to stop.
type readiness struct {
	configuration configuration
	stopping      atomic.Bool
}

func newReadiness(c configuration) *readiness { return &readiness{configuration: c} }

// Ready reports whether the daemon takes requests.
func (r *readiness) Ready() bool {
	return !r.stopping.Load() && r.configuration.Snapshot() != nil
}

func (r *readiness) stop() { r.stopping.Store(true) }
