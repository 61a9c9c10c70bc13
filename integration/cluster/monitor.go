package cluster

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sassafrasnotch.example/mesh/admin"
)

const (
	watchInterval = 100 * time.Millisecond
	watchTimeout  = time.Second
	maxViolations = 20 // kept for the report
)

// Monitor polls every daemon's own view of the configuration and notes each time
// it breaks an invariant: the revision in force fell, also over a restart, or a
// reference dangles.
type Monitor struct {
	client *http.Client
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu         sync.Mutex
	polls      int
	highest    map[string]uint64
	violations []string
}

// StartMonitor starts to poll all daemons.
func (c *Cluster) StartMonitor() *Monitor {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Monitor{
		client:  &http.Client{Timeout: watchTimeout},
		cancel:  cancel,
		highest: make(map[string]uint64),
	}
	for _, daemon := range c.Daemons {
		w.group.Go(func() { w.follow(ctx, daemon.Settings.Admin.Listen) })
	}
	c.t.Cleanup(func() { w.Stop() })
	return w
}

// Stop ends the polling and returns the violations and the number of views
// that were looked at.
func (w *Monitor) Stop() (violations []string, polls int) {
	w.cancel()
	w.group.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.violations, w.polls
}

func (w *Monitor) follow(ctx context.Context, address string) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var status admin.Status
		if err := exchange(w.client, http.MethodGet, "http://"+address+admin.PathStatus, nil, &status); err == nil {
			w.examine(&status)
		}
	}
}

// examine compares a view with those before. A daemon without any revision
// serves no calls, so it can't serve an older one.
func (w *Monitor) examine(status *admin.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if status.Applied != 0 && status.Applied < w.highest[status.Host] {
		w.violate("%s fell from revision %d to %d", status.Host, w.highest[status.Host], status.Applied)
	}
	for _, dangling := range status.Dangling {
		w.violate("%s at revision %d: %s", status.Host, status.Applied, dangling)
	}
	w.highest[status.Host] = max(w.highest[status.Host], status.Applied)
}

func (w *Monitor) violate(format string, args ...any) {
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}
