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

// Paths on the port for requests that do not run as work.
const (
	PathHealth = "/health"
	PathLoad   = "/load"
)

// holdLimit bounds the life of a connection that got a repeated answer.
const holdLimit = 10 * time.Second

// ResponseBody is the body of every answer to a request.
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

func (s *Server) requestHandler(l *life) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(PathHealth, s.health)
	engine.GET(PathLoad, s.load)
	engine.NoRoute(func(c *gin.Context) { s.run(l, c) })
	return engine
}

// run carries out one request.
func (s *Server) run(l *life, c *gin.Context) {
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
	if !s.acquire(c.Request.Context()) {
		panic(http.ErrAbortHandler)
	}
	defer func() { <-s.slots }()

	place := s.witness.begin(c.Request, s.config, sinceLeaving)
	status := s.work(l, c.Request)
	s.witness.end(place, status)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	s.answer(c, status, body)
}

// overloaded reports whether a request is above the backlog.
func (s *Server) overloaded(outstanding int64) bool {
	return s.config.Backlog > 0 && outstanding > int64(s.config.Slots+s.config.Backlog)
}

func (s *Server) acquire(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// work takes the time of the request and returns its status, or 0 if it was
// cancelled or cut off by a crash.
func (s *Server) work(l *life, r *http.Request) int {
	if r.Header.Get(HeaderCrash) != "" {
		s.crash(l)
		return 0
	}
	result := s.effect(l, r.URL.Path)
	if !sleep.For(r.Context(), s.config.WorkDuration.Std()+result.slow) {
		return 0
	}
	return result.status
}

func (s *Server) effect(l *life, path string) effect {
	s.mu.Lock()
	behaviours := s.behaviours
	s.mu.Unlock()
	now := situation{age: time.Since(l.started), outstanding: s.Outstanding(), path: path}
	result := evaluate(behaviours, now)
	served := l.served.Add(1)
	cold := s.config.ColdStart
	if served <= int64(cold.Requests) || now.age < cold.Period.Std() {
		result.slow += cold.AddedLatency.Std()
	}
	return result
}

func (s *Server) sinceLeaving() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leftAt.IsZero() {
		return 0
	}
	return max(time.Since(s.leftAt), 1)
}

// answer sends the answer, broken in the way that the request asks for.
func (s *Server) answer(c *gin.Context, status int, body int64) {
	data, err := json.Marshal(ResponseBody{
		RequestID: c.GetHeader(HeaderRequestID),
		Service:   s.config.Service,
		Version:   s.config.Version,
		Host:      s.config.Host,
		Instance:  s.config.Instance,
		Path:      c.Request.URL.Path,
		BodyBytes: body,
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
		repeatAnswer(c, status, data)
	case ResponseTruncated:
		c.Header("Content-Length", fmt.Sprint(len(data)))
		cutAnswer(c, status, data)
	case ResponseTruncatedChunked:
		cutAnswer(c, status, data)
	default:
		c.Status(status)
		_, _ = c.Writer.Write(data)
	}
}

// cutAnswer sends half of the body and closes the connection.
func cutAnswer(c *gin.Context, status int, data []byte) {
	c.Status(status)
	_, _ = c.Writer.Write(data[:len(data)/2])
	c.Writer.Flush()
	panic(http.ErrAbortHandler)
}

// repeatAnswer sends the answer twice and holds the connection until its peer
// sends something more or closes it.
func repeatAnswer(c *gin.Context, status int, data []byte) {
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
		_ = conn.SetReadDeadline(time.Now().Add(holdLimit))
		_, _ = buffer.ReadByte()
	}()
}
