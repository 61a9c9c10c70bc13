// Package platformserver is a stand-in for the platform's metadata store: the
// published protocol over rows and objects in memory, with faults that can be
// switched at run time.
package platformserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/platform/wire"
)

// Paths for tests, beside those of the service itself.
const (
	PathFaults   = "/faults"   // GET and PUT Faults
	PathCounters = "/counters" // GET Counters
	PathOperator = "/operator" // POST a wire.Transaction, as the operator
	PathRow      = "/row"      // GET ?Table=&Key=: a wire.Row
)

// Server is the stand-in.
type Server struct {
	tables  *tables
	objects *store.Memory
	handler *gin.Engine
	state   state
}

// New returns a server over an empty store.
func New() *Server {
	gin.SetMode(gin.ReleaseMode)
	s := &Server{tables: newTables(), objects: store.NewMemory(), handler: gin.New()}
	s.handler.GET(PathFaults, func(c *gin.Context) { c.JSON(http.StatusOK, s.Faults()) })
	s.handler.PUT(PathFaults, s.putFaults)
	s.handler.GET(PathCounters, func(c *gin.Context) { c.JSON(http.StatusOK, s.Counters()) })
	s.handler.POST(PathOperator, s.operate)
	s.handler.GET(PathRow, s.showRow)

	service := s.handler.Group("", s.disturb)
	service.GET(wire.PathRange, s.getRange)
	service.GET(wire.PathFeed, s.feed)
	service.POST(wire.PathTransaction, s.transact)
	service.GET(wire.PathGetObject+":name", s.getObject)
	service.PUT(wire.PathPutObject+":name", s.putObject)
	service.DELETE(wire.PathDropObject+":name", s.dropObject)
	return s
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return s.handler }

// Write changes rows as the operator does, past all faults, and returns the
// version of the change.
func (s *Server) Write(puts ...wire.Put) uint64 {
	version, _, _ := s.tables.commit(wire.Transaction{Puts: puts})
	return version
}

// Row returns a row, or false if it is absent.
func (s *Server) Row(table, key string) (wire.Row, bool) {
	rows := s.tables.between(table, "", key, "", 1).Rows
	if len(rows) == 0 || rows[0].Key != key {
		return wire.Row{}, false
	}
	return rows[0], true
}

// Object returns an object by its name on the wire, or store.ErrNotFound.
func (s *Server) Object(name string) ([]byte, error) {
	return s.objects.GetObject(context.Background(), name)
}

func (s *Server) putFaults(c *gin.Context) {
	var faults Faults
	if err := c.ShouldBindJSON(&faults); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(faults)
	c.Status(http.StatusNoContent)
}

// operate changes rows as the operator does, past all faults.
func (s *Server) operate(c *gin.Context) {
	var tx wire.Transaction
	if err := c.ShouldBindJSON(&tx); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	c.JSON(http.StatusOK, wire.Committed{Version: s.Write(tx.Puts...), NowMs: s.tables.nowMs()})
}

func (s *Server) showRow(c *gin.Context) {
	row, ok := s.Row(c.Query(wire.ParamTable), c.Query("Key"))
	if !ok {
		fail(c, http.StatusNotFound, "no such row")
		return
	}
	c.JSON(http.StatusOK, row)
}

// disturb applies the faults that take hold before an operation.
func (s *Server) disturb(c *gin.Context) {
	faults := s.Faults()
	if faults.spares(c.Request.RemoteAddr) {
		return
	}
	if faults.Unresponsive {
		s.state.count(func(k *Counters) { k.NotPerformed++ })
		s.neverAnswer(c)
	}
	if delay := faults.Delay.Std(); delay > 0 {
		wait(c, delay)
	}
	if faults.Outage {
		s.state.count(func(k *Counters) { k.NotPerformed++ })
		fail(c, http.StatusServiceUnavailable, "outage")
		c.Abort()
	}
	if faults.RateLimited {
		s.state.count(func(k *Counters) { k.NotPerformed++ })
		fail(c, http.StatusTooManyRequests, "too many calls")
		c.Abort()
	}
}

// spares reports whether the faults leave the caller alone.
func (f Faults) spares(remote string) bool {
	if len(f.OnlyClients) == 0 {
		return false
	}
	host, _, err := net.SplitHostPort(remote)
	return err != nil || !slices.Contains(f.OnlyClients, host)
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

// fail answers with a message that says what is wrong.
func fail(c *gin.Context, status int, message string) {
	c.JSON(status, gin.H{"message": message})
}
