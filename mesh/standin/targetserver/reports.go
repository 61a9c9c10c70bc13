package targetserver

import (
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

// LoadReport is the JSON body of the load endpoint.
type LoadReport struct {
	Slots       int `json:"slots"`
	Outstanding int `json:"outstanding"`
}

// HealthReport is the JSON body of the health endpoint.
type HealthReport struct {
	Healthy bool `json:"healthy"`
}

// reporter returns reports that may be outdated or false, as its configuration says.
type reporter struct {
	mu        sync.Mutex
	config    ReportConfig
	sampledAt time.Time
	load      LoadReport
	healthy   bool
}

// sample returns the load and the health to report. It samples the given values if the previous
// sample is at least SampleInterval old.
func (r *reporter) sample(now time.Time, load LoadReport, healthy bool) (LoadReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sampledAt.IsZero() || now.Sub(r.sampledAt) >= r.config.SampleInterval.Std() {
		r.sampledAt, r.load, r.healthy = now, load, healthy
	}
	switch r.config.Override {
	case OverrideIdle:
		return LoadReport{Slots: load.Slots}, true
	case OverrideUnhealthy:
		return LoadReport{Slots: load.Slots, Outstanding: load.Slots}, false
	}
	return r.load, r.healthy
}

func (r *reporter) set(config ReportConfig) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = config
}

func (s *Server) report() (LoadReport, bool) {
	load := LoadReport{Slots: s.config.Slots, Outstanding: s.Outstanding()}
	return s.reports.sample(time.Now(), load, s.sinceLeaving() == 0)
}

func (s *Server) serveLoad(c *gin.Context) {
	load, _ := s.report()
	c.JSON(http.StatusOK, load)
}

func (s *Server) serveHealth(c *gin.Context) {
	_, healthy := s.report()
	status := http.StatusOK
	if !healthy {
		status = http.StatusServiceUnavailable
	}
	c.JSON(status, HealthReport{Healthy: healthy})
}
