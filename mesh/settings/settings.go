// Package settings holds the daemon's settings, read from a JSON file with
// comments.
package settings

import "sassafrasnotch.example/coord/revision"

// Settings configure one daemon.
type Settings struct {
	// Host, Zone (availability zone) and Region place the daemon.
	Host   string `json:"host" validate:"required,name"`
	Zone   string `json:"zone" validate:"required,name"`
	Region string `json:"region" validate:"required,name"`

	// Service is the service of the target on this host. The entry names it as
	// the origin of requests; empty names none.
	Service string `json:"service"`

	Configuration Configuration `json:"configuration"`

	Entry    Entry    `json:"entry"`
	Peer     Peer     `json:"peer"`
	Gossip   Gossip   `json:"gossip"`
	Admin    Admin    `json:"admin"`
	Platform Platform `json:"platform"`
	Exit     Exit     `json:"exit"`
	Runtime  Runtime  `json:"runtime"`
	Log      Log      `json:"log"`
}

// The sources of the configuration.
const (
	// SourceTickets takes tickets from operators at the admin port.
	SourceTickets = "tickets"
	// SourceOperator takes the whole state that operators write to the
	// platform's store, and speaks the platform's conventions to callers,
	// targets and the host.
	SourceOperator = "operator"
)

// Configuration configures where the accepted state comes from.
type Configuration struct {
	Source string `json:"source" validate:"oneof=tickets operator"`
	// ApplyWithin bounds the time from the writing of a configuration until it is
	// in force. Configurations that follow each other closely share a read.
	ApplyWithin revision.Duration `json:"applyWithin" validate:"gt=0"`
	// Settle is, for moves that operators order by the platform's store, the
	// time without calls to the old version before the verdict.
	Settle revision.Duration `json:"settle" validate:"min=0"`
}

// Retry bounds the requests that are sent to a second target.
type Retry struct {
	// Share is the part of the requests that may be retried.
	Share float64 `json:"share" validate:"gt=0,max=1"`
	// Reserve is the number of retries beyond it at once.
	Reserve int `json:"reserve" validate:"min=0"`
	// FleetReserve, if set, takes the place of Reserve: it is divided over all
	// live daemons.
	FleetReserve int `json:"fleetReserve" validate:"min=0"`
}

// Entry configures the port that callers use.
type Entry struct {
	Listen string `json:"listen" validate:"required,hostport"`
	// DefaultTimeout bounds a call whose route and caller give no deadline.
	DefaultTimeout revision.Duration `json:"defaultTimeout" validate:"gt=0"`
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int `json:"maxHeaderBytes" validate:"min=1024,max=1048576"`
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `json:"maxBodyBytes" validate:"min=0"`
	// MaxConnections bounds the open caller connections.
	MaxConnections int `json:"maxConnections" validate:"min=1"`
	// LameDuck is the time for which a stopping daemon goes on to serve new
	// requests, so that callers can find another one; 0 refuses them at once.
	LameDuck revision.Duration `json:"lameDuck" validate:"min=0"`
	Retry    Retry             `json:"retry"`
}

// Peer configures the sessions between daemons.
type Peer struct {
	Listen string `json:"listen" validate:"required,hostport"`
	// Advertise is the address told to other daemons; empty means Listen.
	Advertise string `json:"advertise" validate:"omitempty,hostport"`
	// Bind is the local IP of outgoing connections; empty lets the system choose.
	Bind string `json:"bind" validate:"omitempty,ip"`
	// Keepalive is the interval of probes and keepalive frames; a connection
	// that misses one for a whole interval is closed.
	Keepalive revision.Duration `json:"keepalive" validate:"gt=0"`
	// SessionsPerPeer bounds the parallel control sessions to one host.
	SessionsPerPeer int `json:"sessionsPerPeer" validate:"min=1,max=16"`
	// MaxStreams bounds the call connections between two hosts in each
	// direction, and the streams of one control session.
	MaxStreams int `json:"maxStreams" validate:"min=1"`
	// TLS secures the sessions and calls between daemons, always mutually.
	TLS TLS `json:"tls"`
}

// Gossip configures membership.
type Gossip struct {
	Listen string `json:"listen" validate:"required,hostport"`
	// Advertise is the address told to other daemons; empty means Listen.
	Advertise string `json:"advertise" validate:"omitempty,hostport"`
	// Interval is the time between probes.
	Interval revision.Duration `json:"interval" validate:"gt=0"`
}

// Admin configures the port for operators and local targets.
type Admin struct {
	Listen string `json:"listen" validate:"required,hostport"`
	// Ready is a second address of the port, for questions whether the daemon
	// takes requests; empty means none.
	Ready string `json:"ready" validate:"omitempty,hostport"`
	// TLS secures the port; with a CA, clients have to show a certificate.
	TLS TLS `json:"tls"`
}

// Platform configures the storage service.
type Platform struct {
	// URL is the base URL of the service.
	URL     string            `json:"url" validate:"required,url"`
	Timeout revision.Duration `json:"timeout" validate:"gt=0"`
	// TLS secures the connections to an https URL.
	TLS TLS `json:"tls"`
}

// Exit configures the dispatch to local targets.
type Exit struct {
	// AnnounceTTL is the time after which a target that stopped renewing its
	// announcement is removed.
	AnnounceTTL revision.Duration `json:"announceTTL" validate:"gt=0"`
	// QueueLength bounds the requests that wait for a slot, for each target.
	QueueLength int `json:"queueLength" validate:"min=0"`
	// WarmUp is the time over which a cold target's slots are opened.
	WarmUp revision.Duration `json:"warmUp" validate:"min=0"`
	// DrainTimeout bounds the graceful shutdown.
	DrainTimeout revision.Duration `json:"drainTimeout" validate:"gt=0"`
	// Target is the only address that targets may announce; empty means any.
	Target string `json:"target" validate:"omitempty,hostport"`
}

// Runtime configures the Go runtime.
type Runtime struct {
	GCPercent   int   `json:"gcPercent" validate:"min=10,max=2000"`
	MemoryLimit int64 `json:"memoryLimit" validate:"min=16777216"` // bytes
}

// Log configures the structured log.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}
