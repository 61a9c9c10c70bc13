package targetserver

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// Paths on the control port.
const (
	PathExecutionRecords = "/witness"    // GET a list of Record
	PathBehaviours       = "/behaviours" // PUT a list of Behaviour
	PathReports          = "/reports"    // PUT Reports
	PathCrash            = "/crash"      // POST: crash as on a marked request
)

// problem is the body of a refused control request.
type problem struct {
	Message string `json:"message"`
}

func (s *Server) controlHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(PathExecutionRecords, func(c *gin.Context) { c.JSON(http.StatusOK, s.ExecutionRecords()) })
	engine.PUT(PathBehaviours, func(c *gin.Context) { put(c, s.SetBehaviours) })
	engine.PUT(PathReports, func(c *gin.Context) {
		put(c, func(r ReportConfig) error { s.reports.set(r); return nil })
	})
	engine.POST(PathCrash, func(c *gin.Context) {
		if l := s.current(); l != nil {
			s.crash(l)
		}
		c.Status(http.StatusNoContent)
	})
	return engine
}

// put decodes a body and applies it.
func put[T any](c *gin.Context, apply func(T) error) {
	var value T
	err := c.ShouldBindJSON(&value)
	if err == nil {
		err = apply(value)
	}
	if err != nil {
		c.JSON(http.StatusBadRequest, problem{Message: err.Error()})
		return
	}
	c.Status(http.StatusNoContent)
}
