package targetserver

import (
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

// LoadReport is the report of the load endpoint.
type LoadReport struct {
	Slots       int `json:"slots"`
	Outstanding int `json:"outstanding"`
}

// HealthReport is the report of the health endpoint.
type HealthReport struct {
	Healthy bool `json:"healthy"`
}

// reporter returns reports that may be old or untrue.
type reporter struct {
	mu      sync.Mutex
	config  ReportConfig
	taken   time.Time
	load    LoadReport
	healthy bool
}

// sample returns the load and the health that the target admits to.
func (r *reporter) sample(now time.Time, load LoadReport, healthy bool) (LoadReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken.IsZero() || now.Sub(r.taken) >= r.config.SampleInterval.Std() {
		r.taken, r.load, r.healthy = now, load, healthy
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

func (s *Server) load(c *gin.Context) {
	load, _ := s.report()
	c.JSON(http.StatusOK, load)
}

func (s *Server) health(c *gin.Context) {
	_, healthy := s.report()
	status := http.StatusOK
	if !healthy {
		status = http.StatusServiceUnavailable
	}
	c.JSON(status, HealthReport{Healthy: healthy})
}
