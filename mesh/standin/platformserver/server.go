// Package platformserver is a stand-in for the platform's metadata store: it serves the
// published protocol over rows and objects in memory, with faults that can be switched at run
// time.
package platformserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/platform/wire"
)

// Paths for tests, in addition to those of the service itself. Faults do not apply to them.
const (
	PathFaults   = "/faults"   // GET and PUT Faults
	PathCounters = "/counters" // GET Counters
	PathOperator = "/operator" // POST a wire.Transaction, as the operator
	PathRow      = "/row"      // GET ?Table=&Key=: a wire.Row
)

// Server is the stand-in for the store. It is safe for concurrent use.
type Server struct {
	tables  *tables
	objects *store.Memory
	handler *gin.Engine
	state   sharedState
}

// New returns a server with an empty store.
func New() *Server {
	gin.SetMode(gin.ReleaseMode)
	s := &Server{tables: newTables(), objects: store.NewMemory(), handler: gin.New()}
	s.handler.GET(PathFaults, func(c *gin.Context) { c.JSON(http.StatusOK, s.Faults()) })
	s.handler.PUT(PathFaults, s.putFaults)
	s.handler.GET(PathCounters, func(c *gin.Context) { c.JSON(http.StatusOK, s.Counters()) })
	s.handler.POST(PathOperator, s.postOperatorRows)
	s.handler.GET(PathRow, s.getRow)

	service := s.handler.Group("", s.injectFaults, s.stateEra)
	service.GET(wire.PathRange, s.getRange)
	service.GET(wire.PathFeed, s.feed)
	service.POST(wire.PathTransaction, s.transact)
	service.GET(wire.PathGetObject+":name", s.getObject)
	service.PUT(wire.PathPutObject+":name", s.putObject)
	service.DELETE(wire.PathDropObject+":name", s.dropObject)
	return s
}

// Handler returns the HTTP handler of the service and of the paths for tests.
func (s *Server) Handler() http.Handler { return s.handler }

// Write writes rows as the operator, unaffected by faults, and returns the version of the
// change.
func (s *Server) Write(puts ...wire.Put) uint64 {
	version, _, _ := s.tables.commit(wire.Transaction{Puts: puts})
	return version
}

// Row returns a row of the partition with the empty name, or false if it is absent.
func (s *Server) Row(table, key string) (wire.Row, bool) {
	rows := s.tables.rowsInRange(table, "", key, "", 1).Rows
	if len(rows) == 0 || rows[0].Key != key {
		return wire.Row{}, false
	}
	return rows[0], true
}

// Object returns an object by its encoded name in the protocol, or store.ErrNotFound.
func (s *Server) Object(name string) ([]byte, error) {
	return s.objects.GetObject(context.Background(), name)
}

func (s *Server) putFaults(c *gin.Context) {
	var faults Faults
	if err := c.ShouldBindJSON(&faults); err != nil {
		writeError(c, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(faults)
	c.Status(http.StatusNoContent)
}

// postOperatorRows writes rows as the operator, unaffected by faults.
func (s *Server) postOperatorRows(c *gin.Context) {
	var transaction wire.Transaction
	if err := c.ShouldBindJSON(&transaction); err != nil {
		writeError(c, http.StatusBadRequest, err.Error())
		return
	}
	version, _, _ := s.tables.commit(wire.Transaction{Puts: transaction.Puts, Removals: transaction.Removals})
	c.JSON(http.StatusOK, wire.Committed{Version: version, NowMs: s.tables.nowMs()})
}

func (s *Server) getRow(c *gin.Context) {
	row, ok := s.Row(c.Query(wire.ParamTable), c.Query("Key"))
	if !ok {
		writeError(c, http.StatusNotFound, "row not found")
		return
	}
	c.JSON(http.StatusOK, row)
}

// injectFaults applies the faults that precede an operation.
func (s *Server) injectFaults(c *gin.Context) {
	faults := s.Faults()
	if faults.exempts(c.Request.RemoteAddr) {
		return
	}
	if faults.Unresponsive {
		s.state.count(func(k *Counters) { k.NotPerformed++ })
		s.hangUntilDisconnect(c)
	}
	if delay := faults.Delay.Std(); delay > 0 {
		delayOperation(c, delay)
	}
	if faults.Outage {
		s.state.count(func(k *Counters) { k.NotPerformed++ })
		writeError(c, http.StatusServiceUnavailable, "service unavailable (injected outage)")
		c.Abort()
	}
	if faults.RateLimited {
		s.state.count(func(k *Counters) { k.NotPerformed++ })
		writeError(c, http.StatusTooManyRequests, "too many requests (injected fault)")
		c.Abort()
	}
}

// stateEra states the era of the store in the response.
func (s *Server) stateEra(c *gin.Context) {
	c.Header(wire.HeaderStoreEra, strconv.FormatUint(s.tables.currentEra(), 10))
}

// exempts reports whether the faults do not apply to the client with this address.
func (f Faults) exempts(remoteAddress string) bool {
	if len(f.OnlyClients) == 0 {
		return false
	}
	host, _, err := net.SplitHostPort(remoteAddress)
	return err != nil || !slices.Contains(f.OnlyClients, host)
}

// hangUntilDisconnect holds a request until its client disconnects, then closes the connection.
// The body is read first, since the HTTP server detects a disconnected client only after that.
func (s *Server) hangUntilDisconnect(c *gin.Context) {
	_, _ = io.Copy(io.Discard, c.Request.Body)
	<-c.Request.Context().Done()
	panic(http.ErrAbortHandler)
}

// delayOperation delays an operation. Only reads are abandoned when their client disconnects.
func delayOperation(c *gin.Context, delay time.Duration) {
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

// writeError sends a response with a status and an error message.
func writeError(c *gin.Context, status int, message string) {
	c.JSON(status, gin.H{"message": message})
}
