package platformserver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/platformhttp"
)

const octets = "application/octet-stream"

func (s *Server) getRow(c *gin.Context) {
	s.state.count(func(k *Counters) { k.Gets++ })
	row, err := s.store.Get(c, c.Query(platformhttp.ParamKey))
	if err != nil {
		failStore(c, err)
		return
	}
	c.JSON(http.StatusOK, row)
}

func (s *Server) scan(c *gin.Context) {
	s.state.count(func(k *Counters) { k.Scans++ })
	limit, err := strconv.Atoi(c.DefaultQuery(platformhttp.ParamLimit, "0"))
	if err != nil {
		fail(c, http.StatusBadRequest, platformhttp.CodeMalformed, err)
		return
	}
	rows, err := s.store.Scan(c, c.Query(platformhttp.ParamPrefix), c.Query(platformhttp.ParamAfter), limit)
	if err != nil {
		failStore(c, err)
		return
	}
	c.JSON(http.StatusOK, platformhttp.Rows{Rows: rows})
}

func (s *Server) txn(c *gin.Context) {
	var txn platformhttp.Txn
	if err := c.ShouldBindJSON(&txn); err != nil {
		fail(c, http.StatusBadRequest, platformhttp.CodeMalformed, err)
		return
	}
	s.state.count(func(k *Counters) { k.Txns++ })
	err := s.store.Txn(context.WithoutCancel(c), txn.Compares, txn.Writes)
	if errors.Is(err, store.ErrConflict) {
		s.state.count(func(k *Counters) { k.Conflicts++ })
	}
	s.answerWrite(c, err)
}

func (s *Server) getObject(c *gin.Context) {
	s.state.count(func(k *Counters) { k.ObjectReads++ })
	data, err := s.store.GetObject(c, c.Query(platformhttp.ParamKey))
	if err != nil {
		failStore(c, err)
		return
	}
	c.Data(http.StatusOK, octets, data)
}

func (s *Server) putObject(c *gin.Context) {
	data, err := io.ReadAll(c.Request.Body)
	if err != nil {
		fail(c, http.StatusBadRequest, platformhttp.CodeMalformed, err)
		return
	}
	s.state.count(func(k *Counters) { k.ObjectWrites++ })
	s.answerWrite(c, s.store.PutObject(context.WithoutCancel(c), c.Query(platformhttp.ParamKey), data))
}

func (s *Server) deleteObject(c *gin.Context) {
	s.state.count(func(k *Counters) { k.ObjectDeletes++ })
	s.answerWrite(c, s.store.DeleteObject(context.WithoutCancel(c), c.Query(platformhttp.ParamKey)))
}

// answerWrite answers a write that was carried out, or loses the answer.
func (s *Server) answerWrite(c *gin.Context, err error) {
	if s.state.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		failStore(c, err)
		return
	}
	c.Status(http.StatusNoContent)
}
