package targetserver

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// Paths on the control port.
const (
	PathExecutionRecords = "/witness"    // GET a list of ExecutionRecord
	PathBehaviours       = "/behaviours" // PUT a list of Behaviour
	PathReports          = "/reports"    // PUT ReportConfig
	PathCrash            = "/crash"      // POST: crashes the target, as a request with HeaderCrash does
)

// errorBody is the JSON body of the response to a rejected control request.
type errorBody struct {
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
		if inc := s.currentIncarnation(); inc != nil {
			s.crash(inc)
		}
		c.Status(http.StatusNoContent)
	})
	return engine
}

// put decodes a JSON body and applies it; an error of either is returned with status 400.
func put[T any](c *gin.Context, apply func(T) error) {
	var value T
	err := c.ShouldBindJSON(&value)
	if err == nil {
		err = apply(value)
	}
	if err != nil {
		c.JSON(http.StatusBadRequest, errorBody{Message: err.Error()})
		return
	}
	c.Status(http.StatusNoContent)
}
