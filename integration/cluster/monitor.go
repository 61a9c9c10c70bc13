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
	monitorInterval = 100 * time.Millisecond
	monitorTimeout  = time.Second
	maxViolations   = 20 // recorded; later ones are dropped
)

// Monitor polls the status of every daemon and records violations of two invariants: the applied
// revision never decreases, also across a restart, and no reference of the configuration in force
// dangles.
type Monitor struct {
	client *http.Client
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu         sync.Mutex
	polls      int
	highest    map[string]uint64
	violations []string
}

// StartMonitor starts to poll all daemons. The monitor stops at the end of the test at the latest.
func (c *Cluster) StartMonitor() *Monitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Monitor{
		client:  &http.Client{Timeout: monitorTimeout},
		cancel:  cancel,
		highest: make(map[string]uint64),
	}
	for _, daemon := range c.Daemons {
		m.group.Go(func() { m.poll(ctx, daemon.Settings.Admin.Listen) })
	}
	c.t.Cleanup(func() { m.Stop() })
	return m
}

// Stop ends the polling and returns the violations and the number of statuses checked. It may be
// called more than once.
func (m *Monitor) Stop() (violations []string, polls int) {
	m.cancel()
	m.group.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.violations, m.polls
}

func (m *Monitor) poll(ctx context.Context, address string) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var status admin.Status
		if err := doJSON(m.client, http.MethodGet, "http://"+address+admin.PathStatus, nil, &status); err == nil {
			m.checkStatus(&status)
		}
	}
}

// checkStatus compares a status with the earlier ones of the host. Revision 0 is no violation: a daemon
// without any revision serves no requests, so it can't serve by an older one.
func (m *Monitor) checkStatus(status *admin.Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.polls++
	if status.Applied != 0 && status.Applied < m.highest[status.Host] {
		m.recordViolation("%s: applied revision decreased from %d to %d", status.Host, m.highest[status.Host], status.Applied)
	}
	for _, dangling := range status.Dangling {
		m.recordViolation("%s at revision %d: dangling reference: %s", status.Host, status.Applied, dangling)
	}
	m.highest[status.Host] = max(m.highest[status.Host], status.Applied)
}

func (m *Monitor) recordViolation(format string, args ...any) {
	if len(m.violations) < maxViolations {
		m.violations = append(m.violations, fmt.Sprintf(format, args...))
	}
}
