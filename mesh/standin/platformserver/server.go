// Package platformserver is a stand-in for the platform's storage service: a
// store in memory behind HTTP, with faults that can be switched at run time.
package platformserver

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/platformhttp"
)

// Paths for tests, beside those of the service itself.
const (
	PathFaults   = "/faults"   // GET and PUT Faults
	PathCounters = "/counters" // GET Counters
)

// Server is the stand-in.
type Server struct {
	store   store.Store
	handler *gin.Engine
	state   state
}

// New returns a server over a store. A nil store means an empty one in memory.
func New(backing store.Store) *Server {
	if backing == nil {
		backing = store.NewMemory()
	}
	gin.SetMode(gin.ReleaseMode)
	s := &Server{store: backing, handler: gin.New()}
	s.handler.GET(PathFaults, func(c *gin.Context) { c.JSON(http.StatusOK, s.Faults()) })
	s.handler.PUT(PathFaults, s.putFaults)
	s.handler.GET(PathCounters, func(c *gin.Context) { c.JSON(http.StatusOK, s.Counters()) })

	service := s.handler.Group("", s.disturb)
	service.GET(platformhttp.PathRows, s.getRow)
	service.GET(platformhttp.PathScan, s.scan)
	service.POST(platformhttp.PathTxn, s.txn)
	service.GET(platformhttp.PathObjects, s.getObject)
	service.PUT(platformhttp.PathObjects, s.putObject)
	service.DELETE(platformhttp.PathObjects, s.deleteObject)
	return s
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return s.handler }

// Store returns the store behind the server.
func (s *Server) Store() store.Store { return s.store }

func (s *Server) putFaults(c *gin.Context) {
	var faults Faults
	if err := c.ShouldBindJSON(&faults); err != nil {
		fail(c, http.StatusBadRequest, platformhttp.CodeMalformed, err)
		return
	}
	s.SetFaults(faults)
	c.Status(http.StatusNoContent)
}

// disturb applies the faults that take hold before an operation.
func (s *Server) disturb(c *gin.Context) {
	faults := s.Faults()
	if faults.Silent {
		s.state.count(func(k *Counters) { k.Turned++ })
		s.neverAnswer(c)
	}
	if delay := faults.Delay.Std(); delay > 0 {
		wait(c, delay)
	}
	if faults.Outage {
		s.state.count(func(k *Counters) { k.Turned++ })
		fail(c, http.StatusServiceUnavailable, platformhttp.CodeUnavailable, errors.New("outage"))
		c.Abort()
	}
}

// neverAnswer holds a request until its caller leaves, then drops the
// connection. The body is read first, since the HTTP server notices a departed
// caller only after that.
func (s *Server) neverAnswer(c *gin.Context) {
	_, _ = io.Copy(io.Discard, c.Request.Body)
	<-c.Request.Context().Done()
	panic(http.ErrAbortHandler)
}

// wait delays an operation. Only reads are given up when their caller leaves.
func wait(c *gin.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	if c.Request.Method != http.MethodGet {
		<-timer.C
		return
	}
	select {
	case <-timer.C:
	case <-c.Request.Context().Done():
	}
}

func fail(c *gin.Context, status int, code platformhttp.Code, err error) {
	c.JSON(status, platformhttp.Failure{Code: code, Message: err.Error()})
}

// failStore answers with an error of the store.
func failStore(c *gin.Context, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		fail(c, http.StatusNotFound, platformhttp.CodeNotFound, err)
	case errors.Is(err, store.ErrConflict):
		fail(c, http.StatusConflict, platformhttp.CodeConflict, err)
	default:
		fail(c, http.StatusInternalServerError, "", err)
	}
}
