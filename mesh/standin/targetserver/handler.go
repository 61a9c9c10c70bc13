package targetserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"sassafrasnotch.example/mesh/standin/internal/sleep"
)

// Paths on the port for requests that report the target's state and are not run as work.
const (
	PathHealth = "/health"
	PathLoad   = "/load"
)

// repeatHoldTimeout bounds the time for which a connection stays open after a repeated
// response.
const repeatHoldTimeout = 10 * time.Second

// ResponseBody is the JSON body of the response to a request that ran.
type ResponseBody struct {
	RequestID string `json:"requestId"`
	Service   string `json:"service"`
	Version   string `json:"version"`
	Host      string `json:"host"`
	Instance  string `json:"instance"`
	Path      string `json:"path"`
	// BodyBytes is the length of the request's body.
	BodyBytes int64 `json:"bodyBytes"`
}

func (s *Server) requestHandler(inc *incarnation) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(PathHealth, s.serveHealth)
	engine.GET(PathLoad, s.serveLoad)
	engine.NoRoute(func(c *gin.Context) { s.execute(inc, c) })
	return engine
}

// execute runs one request and sends its response.
func (s *Server) execute(inc *incarnation, c *gin.Context) {
	outstanding := s.outstanding.Add(1)
	defer s.outstanding.Add(-1)
	sinceLeaving := s.sinceLeaving()
	body, err := io.Copy(io.Discard, c.Request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.overloaded(outstanding) {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	if !s.acquireSlot(c.Request.Context()) {
		panic(http.ErrAbortHandler)
	}
	defer func() { <-s.slots }()

	index := s.executions.start(c.Request, s.config, sinceLeaving)
	status := s.perform(inc, c.Request)
	s.executions.finish(index, status)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	s.respond(c, status, body)
}

// overloaded reports whether the number of outstanding requests exceeds slots and backlog.
func (s *Server) overloaded(outstanding int64) bool {
	return s.config.Backlog > 0 && outstanding > int64(s.config.Slots+s.config.Backlog)
}

func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// perform waits for the duration of the request and returns its status, or 0 if the request was
// cancelled or interrupted by a crash.
func (s *Server) perform(inc *incarnation, r *http.Request) int {
	if r.Header.Get(HeaderCrash) != "" {
		s.crash(inc)
		return 0
	}
	result := s.effectOn(inc, r.URL.Path)
	if !sleep.For(r.Context(), s.config.WorkDuration.Std()+result.addedLatency) {
		return 0
	}
	return result.status
}

func (s *Server) effectOn(inc *incarnation, path string) effect {
	s.mu.Lock()
	behaviours := s.behaviours
	s.mu.Unlock()
	state := requestState{age: time.Since(inc.started), outstanding: s.Outstanding(), path: path}
	result := evaluate(behaviours, state)
	served := inc.served.Add(1)
	coldStart := s.config.ColdStart
	if served <= int64(coldStart.Requests) || state.age < coldStart.Period.Std() {
		result.addedLatency += coldStart.AddedLatency.Std()
	}
	return result
}

func (s *Server) sinceLeaving() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingSince.IsZero() {
		return 0
	}
	return max(time.Since(s.leavingSince), 1)
}

// respond sends the response, malformed in the way that the request selects.
func (s *Server) respond(c *gin.Context, status int, bodyBytes int64) {
	data, err := json.Marshal(ResponseBody{
		RequestID: c.GetHeader(HeaderRequestID),
		Service:   s.config.Service,
		Version:   s.config.Version,
		Host:      s.config.Host,
		Instance:  s.config.Instance,
		Path:      c.Request.URL.Path,
		BodyBytes: bodyBytes,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.Header(HeaderRequestID, c.GetHeader(HeaderRequestID))
	c.Header(HeaderVersion, s.config.Version)
	c.Header(HeaderInstance, s.config.Instance)
	c.Header("Content-Type", "application/json")
	switch c.GetHeader(HeaderResponseFault) {
	case ResponseRepeated:
		writeRepeated(c, status, data)
	case ResponseTruncated:
		c.Header("Content-Length", fmt.Sprint(len(data)))
		writeTruncated(c, status, data)
	case ResponseTruncatedChunked:
		writeTruncated(c, status, data)
	default:
		c.Status(status)
		_, _ = c.Writer.Write(data)
	}
}

// writeTruncated sends half of the body and closes the connection.
func writeTruncated(c *gin.Context, status int, data []byte) {
	c.Status(status)
	_, _ = c.Writer.Write(data[:len(data)/2])
	c.Writer.Flush()
	panic(http.ErrAbortHandler)
}

// writeRepeated sends the response twice and keeps the connection open until its peer sends
// more data or closes it, at most for repeatHoldTimeout.
func writeRepeated(c *gin.Context, status int, data []byte) {
	header := c.Writer.Header().Clone()
	conn, buffer, err := c.Writer.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for range 2 {
		fmt.Fprintf(buffer, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(data))
		_ = header.Write(buffer)
		_, _ = buffer.WriteString("\r\n")
		_, _ = buffer.Write(data)
	}
	_ = buffer.Flush()
	go func() {
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(repeatHoldTimeout))
		_, _ = buffer.ReadByte()
	}()
}
