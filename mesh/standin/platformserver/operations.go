package platformserver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/platform/wire"
)

const contentTypeOctetStream = "application/octet-stream"

func (s *Server) getRange(c *gin.Context) {
	s.state.count(func(k *Counters) { k.Ranges++ })
	limit, err := strconv.Atoi(c.DefaultQuery(wire.ParamLimit, strconv.Itoa(wire.MaxRangeRows)))
	if err != nil || limit < 1 {
		writeError(c, http.StatusBadRequest, "Limit must be a number above 0")
		return
	}
	c.JSON(http.StatusOK, s.tables.rowsInRange(
		c.Query(wire.ParamTable), c.Query(wire.ParamPart),
		c.Query(wire.ParamFrom), c.Query(wire.ParamTo), min(limit, wire.MaxRangeRows)))
}

// feed responds once a row of the table has changed or the wait is over.
func (s *Server) feed(c *gin.Context) {
	s.state.count(func(k *Counters) { k.Feeds++ })
	after, err := strconv.ParseUint(c.Query(wire.ParamAfter), 10, 64)
	if err != nil {
		writeError(c, http.StatusBadRequest, "after must be a version, a number of 0 or above")
		return
	}
	waitMillis, err := strconv.Atoi(c.DefaultQuery(wire.ParamWaitMs, "0"))
	if err != nil || waitMillis < 0 || waitMillis > wire.MaxWaitMs {
		writeError(c, http.StatusBadRequest, "WaitMs must be a number of milliseconds from 0 to the limit of the protocol")
		return
	}
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.stateEra(c) // it may have begun during the wait
		rows, changed, available := s.tables.changesSince(c.Query(wire.ParamTable), after)
		if !available {
			writeError(c, http.StatusGone, "the history after this version is no longer available")
			return
		}
		if len(rows.Rows) > 0 || expired {
			c.JSON(http.StatusOK, rows)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-c.Request.Context().Done():
			return
		}
	}
}

func (s *Server) transact(c *gin.Context) {
	var transaction wire.Transaction
	if err := c.ShouldBindJSON(&transaction); err != nil {
		writeError(c, http.StatusBadRequest, err.Error())
		return
	}
	for _, put := range transaction.Puts {
		if put.Table == wire.TableOperator {
			writeError(c, http.StatusForbidden, "the table can be written by the operator only")
			return
		}
	}
	s.state.count(func(k *Counters) { k.Txns++ })
	version, conflict, ok := s.tables.commit(transaction)
	if !ok {
		s.state.count(func(k *Counters) { k.Conflicts++ })
	}
	s.respondToWrite(c, func() {
		if !ok {
			c.JSON(http.StatusPreconditionFailed, wire.Conflict{Rows: conflict})
			return
		}
		c.JSON(http.StatusOK, wire.Committed{Version: version, NowMs: s.tables.nowMs()})
	})
}

func (s *Server) getObject(c *gin.Context) {
	s.state.count(func(k *Counters) { k.ObjectReads++ })
	data, err := s.objects.GetObject(c, c.Param("name"))
	if errors.Is(err, store.ErrNotFound) {
		writeError(c, http.StatusNotFound, "object not found")
		return
	}
	c.Data(http.StatusOK, contentTypeOctetStream, data)
}

func (s *Server) putObject(c *gin.Context) {
	data, err := io.ReadAll(c.Request.Body)
	if err != nil {
		writeError(c, http.StatusBadRequest, err.Error())
		return
	}
	s.state.count(func(k *Counters) { k.ObjectWrites++ })
	_ = s.objects.PutObject(context.WithoutCancel(c), c.Param("name"), data) // the store in memory returns no error
	s.respondToWrite(c, func() { c.Status(http.StatusOK) })
}

func (s *Server) dropObject(c *gin.Context) {
	s.state.count(func(k *Counters) { k.ObjectDeletes++ })
	_ = s.objects.DeleteObject(context.WithoutCancel(c), c.Param("name")) // the store in memory returns no error
	s.respondToWrite(c, func() { c.Status(http.StatusOK) })
}

// respondToWrite responds to a write that was carried out, or drops the response.
func (s *Server) respondToWrite(c *gin.Context, respond func()) {
	if s.state.dropNextResponse() {
		panic(http.ErrAbortHandler)
	}
	respond()
}
