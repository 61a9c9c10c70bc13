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

const octets = "application/octet-stream"

func (s *Server) getRange(c *gin.Context) {
	s.state.count(func(k *Counters) { k.Ranges++ })
	limit, err := strconv.Atoi(c.DefaultQuery(wire.ParamLimit, strconv.Itoa(wire.MaxRangeRows)))
	if err != nil || limit < 1 {
		fail(c, http.StatusBadRequest, "malformed limit")
		return
	}
	c.JSON(http.StatusOK, s.tables.between(
		c.Query(wire.ParamTable), c.Query(wire.ParamPart),
		c.Query(wire.ParamFrom), c.Query(wire.ParamTo), min(limit, wire.MaxRangeRows)))
}

// feed answers once a row of the table has changed or the wait is over.
func (s *Server) feed(c *gin.Context) {
	s.state.count(func(k *Counters) { k.Feeds++ })
	after, err := strconv.ParseUint(c.Query(wire.ParamAfter), 10, 64)
	if err != nil {
		fail(c, http.StatusBadRequest, "malformed version")
		return
	}
	millis, err := strconv.Atoi(c.DefaultQuery(wire.ParamWaitMs, "0"))
	if err != nil || millis < 0 || millis > wire.MaxWaitMs {
		fail(c, http.StatusBadRequest, "malformed wait")
		return
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		rows, changed, known := s.tables.since(c.Query(wire.ParamTable), after)
		if !known {
			fail(c, http.StatusGone, "the history is gone")
			return
		}
		if len(rows.Rows) > 0 || over {
			c.JSON(http.StatusOK, rows)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-c.Request.Context().Done():
			return
		}
	}
}

func (s *Server) transact(c *gin.Context) {
	var tx wire.Transaction
	if err := c.ShouldBindJSON(&tx); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	for _, put := range tx.Puts {
		if put.Table == wire.TableOperator {
			fail(c, http.StatusForbidden, "the table belongs to the operator")
			return
		}
	}
	s.state.count(func(k *Counters) { k.Txns++ })
	version, conflict, ok := s.tables.commit(tx)
	if !ok {
		s.state.count(func(k *Counters) { k.Conflicts++ })
	}
	s.answerWrite(c, func() {
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
		fail(c, http.StatusNotFound, "no such object")
		return
	}
	c.Data(http.StatusOK, octets, data)
}

func (s *Server) putObject(c *gin.Context) {
	data, err := io.ReadAll(c.Request.Body)
	if err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	s.state.count(func(k *Counters) { k.ObjectWrites++ })
	_ = s.objects.PutObject(context.WithoutCancel(c), c.Param("name"), data) // memory takes all
	s.answerWrite(c, func() { c.Status(http.StatusOK) })
}

func (s *Server) dropObject(c *gin.Context) {
	s.state.count(func(k *Counters) { k.ObjectDeletes++ })
	_ = s.objects.DeleteObject(context.WithoutCancel(c), c.Param("name")) // memory takes all
	s.answerWrite(c, func() { c.Status(http.StatusOK) })
}

// answerWrite answers a write that was carried out, or loses the answer.
func (s *Server) answerWrite(c *gin.Context, answer func()) {
	if s.state.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	answer()
}
