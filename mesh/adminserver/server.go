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

const maxBodyBytes = 4 << 20 // limit of a request body, such as a submitted ticket

// Registrar accepts tickets.
type Registrar interface {
	// Submit accepts a ticket. The error wraps a *ticket.RefusedError or registrar.ErrNumberUsed if
	// the ticket is refused.
	Submit(ctx context.Context, t *ticket.Ticket) (ticket.Status, error)
	// Ticket returns the status of a ticket. The error wraps store.ErrNotFound if there is none.
	Ticket(ctx context.Context, number uint64) (ticket.Status, error)
	// Tickets returns the status of the tickets with a number above after.
	Tickets(ctx context.Context, after uint64) ([]ticket.Status, error)
}

// TargetRegistry registers the targets of the host.
type TargetRegistry interface {
	// Announce adds or renews a target.
	Announce(a admin.Announcement) error
	// Withdraw removes a target.
	Withdraw(instance string)
	// AwaitRecorded returns nil once the departure of a target may be acknowledged.
	AwaitRecorded(ctx context.Context, instance string) error
	// TTL returns the time for which an announcement is valid, formatted as a time.Duration.
	TTL() string
}

// StatusProvider provides the status pages of the daemon.
type StatusProvider interface {
	// Status returns the state of the system as the daemon knows it.
	Status() admin.Status
	// Report returns the request counts of the daemon's callers.
	Report() admin.Report
}

// Server is the HTTP interface for operators and local targets.
type Server struct {
	registrar Registrar
	targets   TargetRegistry
	provider  StatusProvider
	level     zap.AtomicLevel
	metrics   http.Handler

	certificates CertificateReplacer // nil if certificates can't be replaced
	routes       []func(*gin.Engine) // register further routes
}

// NewServer returns a server. Level is the log level that clients read and set; metrics serves the
// metrics page.
func NewServer(r Registrar, t TargetRegistry, p StatusProvider, level zap.AtomicLevel, metrics http.Handler) *Server {
	return &Server{registrar: r, targets: t, provider: p, level: level, metrics: metrics}
}

// AddRoutes registers a function that adds routes besides those of package admin. It must be called
// before Handler.
func (s *Server) AddRoutes(add func(*gin.Engine)) { s.routes = append(s.routes, add) }

// Handler returns the HTTP handler of all routes.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.POST(admin.PathTickets, s.submitTicket)
	engine.GET(admin.PathTickets, s.listTickets)
	engine.GET(admin.PathTickets+"/:number", s.showTicket)
	engine.GET(admin.PathStatus, s.showStatus)
	engine.GET(admin.PathReport, s.showReport)
	engine.POST(admin.PathTargets, s.announceTarget)
	engine.DELETE(admin.PathTargets+"/:instance", s.withdrawTarget)
	engine.GET(admin.PathLogLevel, s.showLogLevel)
	engine.PUT(admin.PathLogLevel, s.setLogLevel)
	engine.PUT(admin.PathCertificates+"/:purpose", s.replaceCertificate)
	engine.GET(admin.PathMetrics, gin.WrapH(s.metrics))
	engine.GET(admin.PathHealth, func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	for _, add := range s.routes {
		add(engine)
	}
	return engine
}

func (s *Server) submitTicket(c *gin.Context) {
	var t ticket.Ticket
	if !decode(c, "decode ticket", &t) {
		return
	}
	status, err := s.registrar.Submit(c.Request.Context(), &t)
	if err != nil {
		respondError(c, "submit ticket", err)
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
		respondError(c, "list tickets", err)
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
		respondError(c, "show ticket", err)
		return
	}
	c.JSON(http.StatusOK, status)
}

func (s *Server) showStatus(c *gin.Context) { c.JSON(http.StatusOK, s.provider.Status()) }

func (s *Server) showReport(c *gin.Context) { c.JSON(http.StatusOK, s.provider.Report()) }

func (s *Server) announceTarget(c *gin.Context) {
	var a admin.Announcement
	if !decode(c, "decode announcement", &a) {
		return
	}
	if err := s.targets.Announce(a); err != nil {
		c.JSON(http.StatusBadRequest, admin.Error{Step: "announce target", Peer: a.Instance, Message: err.Error()})
		return
	}
	if a.Leaving && !s.recorded(c, a.Instance) {
		return
	}
	c.JSON(http.StatusOK, admin.AnnouncementResponse{TTL: s.targets.TTL()})
}

func (s *Server) withdrawTarget(c *gin.Context) {
	instance := c.Param("instance")
	s.targets.Withdraw(instance)
	if s.recorded(c, instance) {
		c.Status(http.StatusNoContent)
	}
}

// recorded reports whether the departure of a target may be acknowledged, else it responds with status 503.
func (s *Server) recorded(c *gin.Context, instance string) bool {
	err := s.targets.AwaitRecorded(c.Request.Context(), instance)
	if err != nil {
		c.JSON(http.StatusServiceUnavailable, admin.Error{Step: "record departure", Peer: instance, Message: err.Error()})
	}
	return err == nil
}

func (s *Server) showLogLevel(c *gin.Context) {
	c.JSON(http.StatusOK, admin.LogLevel{Level: s.level.String()})
}

func (s *Server) setLogLevel(c *gin.Context) {
	var requested admin.LogLevel
	if !decode(c, "decode log level", &requested) {
		return
	}
	if err := s.level.UnmarshalText([]byte(requested.Level)); err != nil {
		c.JSON(http.StatusBadRequest, admin.Error{Step: "set log level", Message: err.Error()})
		return
	}
	s.showLogLevel(c)
}

// decode decodes the body of the request into a value and reports whether it succeeded. Otherwise it
// responds with status 400 and lists every problem of the body.
func decode(c *gin.Context, step string, into any) bool {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
	data, err := c.GetRawData()
	if err == nil {
		err = jsonc.Decode(data, into)
	}
	if err == nil {
		return true
	}
	response := admin.Error{Step: step, Message: err.Error()}
	var malformed *jsonc.Error
	if errors.As(err, &malformed) {
		for _, problem := range malformed.Problems {
			response.Reasons = append(response.Reasons, problem.String())
		}
	}
	c.JSON(http.StatusBadRequest, response)
	return false
}

// respondError responds with the HTTP status that corresponds to the error.
func respondError(c *gin.Context, step string, err error) {
	response := admin.Error{Step: step, Peer: steperr.Peer(err), Message: err.Error()}
	status := http.StatusInternalServerError
	var refused *ticket.RefusedError
	switch {
	case errors.As(err, &refused):
		status = http.StatusUnprocessableEntity
		response.Reasons = refused.Strings()
	case errors.Is(err, registrar.ErrNumberUsed):
		status = http.StatusUnprocessableEntity
		response.Reasons = []string{err.Error()}
	case errors.Is(err, store.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, store.ErrOutcomeUnknown):
		status = http.StatusGatewayTimeout
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, context.DeadlineExceeded), errors.Is(err, store.ErrConflict):
		status = http.StatusServiceUnavailable
	}
	c.JSON(status, response)
}
