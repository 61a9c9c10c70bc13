// Package adminserver serves the HTTP interface for operators and local targets.
package adminserver

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/jsonc"
	"sassafrasnotch.example/mesh/registrar"
	"sassafrasnotch.example/mesh/steperr"
)

const maxTicketBytes = 4 << 20 // size of a submitted ticket

// Registrar accepts tickets.
type Registrar interface {
	Submit(ctx context.Context, t *ticket.Ticket) (ticket.Status, error)
	Ticket(ctx context.Context, number uint64) (ticket.Status, error)
	Tickets(ctx context.Context, after uint64) ([]ticket.Status, error)
}

// TargetRegistry takes the announcements of local targets.
type TargetRegistry interface {
	Announce(a admin.Announcement) error
	Withdraw(instance string)
	// TTL is the time for which an announcement holds.
	TTL() string
}

// StatusProvider reports the daemon's view of the system.
type StatusProvider interface {
	Status() admin.Status
	// Report counts the calls of the daemon's callers.
	Report() admin.Report
}

// Server is the HTTP interface for operators and local targets.
type Server struct {
	registrar Registrar
	targets   TargetRegistry
	viewer    StatusProvider
	level     zap.AtomicLevel
	metrics   http.Handler

	certificates CertificateReplacer // nil if they can't be replaced
	routes       []func(*gin.Engine)
}

// NewServer returns a server; metrics serves the metrics page.
func NewServer(r Registrar, t TargetRegistry, v StatusProvider, level zap.AtomicLevel, metrics http.Handler) *Server {
	return &Server{registrar: r, targets: t, viewer: v, level: level, metrics: metrics}
}

// AddRoutes makes the handler serve more than the product's own interface. It is
// called before Handler.
func (s *Server) AddRoutes(add func(*gin.Engine)) { s.routes = append(s.routes, add) }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.POST(admin.PathTickets, s.submit)
	engine.GET(admin.PathTickets, s.listTickets)
	engine.GET(admin.PathTickets+"/:number", s.showTicket)
	engine.GET(admin.PathStatus, s.status)
	engine.GET(admin.PathReport, s.report)
	engine.POST(admin.PathTargets, s.announce)
	engine.DELETE(admin.PathTargets+"/:instance", s.withdraw)
	engine.GET(admin.PathLogLevel, s.showLevel)
	engine.PUT(admin.PathLogLevel, s.setLevel)
	engine.PUT(admin.PathCertificates+"/:purpose", s.replaceCertificate)
	engine.GET(admin.PathMetrics, gin.WrapH(s.metrics))
	engine.GET(admin.PathHealth, func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	for _, add := range s.routes {
		add(engine)
	}
	return engine
}

func (s *Server) submit(c *gin.Context) {
	var t ticket.Ticket
	if !decode(c, "decode ticket", &t) {
		return
	}
	status, err := s.registrar.Submit(c.Request.Context(), &t)
	if err != nil {
		fail(c, "submit ticket", err)
		return
	}
	c.JSON(http.StatusOK, status)
}

func (s *Server) listTickets(c *gin.Context) {
	after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, admin.Error{Step: "list tickets", Message: err.Error()})
		return
	}
	statuses, err := s.registrar.Tickets(c.Request.Context(), after)
	if err != nil {
		fail(c, "list tickets", err)
		return
	}
	c.JSON(http.StatusOK, statuses)
}

func (s *Server) showTicket(c *gin.Context) {
	number, err := strconv.ParseUint(c.Param("number"), 10, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, admin.Error{Step: "show ticket", Message: err.Error()})
		return
	}
	status, err := s.registrar.Ticket(c.Request.Context(), number)
	if err != nil {
		fail(c, "show ticket", err)
		return
	}
	c.JSON(http.StatusOK, status)
}

func (s *Server) status(c *gin.Context) { c.JSON(http.StatusOK, s.viewer.Status()) }

func (s *Server) report(c *gin.Context) { c.JSON(http.StatusOK, s.viewer.Report()) }

func (s *Server) announce(c *gin.Context) {
	var a admin.Announcement
	if !decode(c, "decode announcement", &a) {
		return
	}
	if err := s.targets.Announce(a); err != nil {
		c.JSON(http.StatusBadRequest, admin.Error{Step: "announce target", Peer: a.Instance, Message: err.Error()})
		return
	}
	c.JSON(http.StatusOK, admin.AnnouncementResponse{TTL: s.targets.TTL()})
}

func (s *Server) withdraw(c *gin.Context) {
	s.targets.Withdraw(c.Param("instance"))
	c.Status(http.StatusNoContent)
}

func (s *Server) showLevel(c *gin.Context) {
	c.JSON(http.StatusOK, admin.LogLevel{Level: s.level.String()})
}

func (s *Server) setLevel(c *gin.Context) {
	var wanted admin.LogLevel
	if !decode(c, "decode log level", &wanted) {
		return
	}
	if err := s.level.UnmarshalText([]byte(wanted.Level)); err != nil {
		c.JSON(http.StatusBadRequest, admin.Error{Step: "set log level", Message: err.Error()})
		return
	}
	s.showLevel(c)
}

// decode reads the request's body, or answers with every problem in it.
func decode(c *gin.Context, step string, into any) bool {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxTicketBytes)
	data, err := c.GetRawData()
	if err == nil {
		err = jsonc.Decode(data, into)
	}
	if err == nil {
		return true
	}
	answer := admin.Error{Step: step, Message: err.Error()}
	var malformed *jsonc.Error
	if errors.As(err, &malformed) {
		for _, problem := range malformed.Problems {
			answer.Reasons = append(answer.Reasons, problem.String())
		}
	}
	c.JSON(http.StatusBadRequest, answer)
	return false
}

// fail answers with the status that the error stands for.
func fail(c *gin.Context, step string, err error) {
	answer := admin.Error{Step: step, Peer: steperr.Peer(err), Message: err.Error()}
	status := http.StatusInternalServerError
	var refused *ticket.RefusedError
	switch {
	case errors.As(err, &refused):
		status = http.StatusUnprocessableEntity
		answer.Reasons = refused.Strings()
	case errors.Is(err, registrar.ErrNumberUsed):
		status = http.StatusUnprocessableEntity
		answer.Reasons = []string{err.Error()}
	case errors.Is(err, store.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, store.ErrOutcomeUnknown):
		status = http.StatusGatewayTimeout
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, context.DeadlineExceeded), errors.Is(err, store.ErrConflict):
		status = http.StatusServiceUnavailable
	}
	c.JSON(status, answer)
}
