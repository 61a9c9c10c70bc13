// Package settings defines the settings of a daemon, reads them from a JSON file with comments,
// validates them and watches the file for changes.
package settings

import "sassafrasnotch.example/coord/revision"

// Settings are the settings of one daemon. The json tags are the keys in the file.
type Settings struct {
	// Host, Zone (availability zone) and Region are the location of the daemon.
	Host   string `json:"host" validate:"required,name"`
	Zone   string `json:"zone" validate:"required,name"`
	Region string `json:"region" validate:"required,name"`

	// Zones are the availability zones of the deployment. The limits of tenants are divided among them, also
	// while no daemon of a zone is known. Those of known daemons are added.
	Zones []string `json:"zones,omitempty" validate:"dive,name"`

	// Service is the service of the target on this host. The entry states it as the origin of
	// requests; if it is empty, no origin is stated.
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

// Values of Configuration.Source.
const (
	// SourceTickets accepts tickets that operators send to the admin port.
	SourceTickets = "tickets"
	// SourceOperator reads the complete configurations that operators write to the platform's
	// store, and applies the platform's conventions to callers, targets and the host.
	SourceOperator = "operator"
)

// Configuration configures the source of the configuration.
type Configuration struct {
	// Source is SourceTickets or SourceOperator.
	Source string `json:"source" validate:"oneof=tickets operator"`
	// ApplyWithin bounds the time from the write of a configuration until it is in force.
	// Configurations that are written shortly after each other share one read.
	ApplyWithin revision.Duration `json:"applyWithin" validate:"gt=0"`
	// Settle is the time without requests to the old version before the verdict, for rollouts that
	// operators order through the platform's store.
	Settle revision.Duration `json:"settle" validate:"min=0"`
	// StrictKeys refuses all requests that need an API key while the store has not confirmed the
	// configuration for KeysValidWithin, since a key may have been taken away meanwhile.
	StrictKeys Switch `json:"strictKeys"`
	// KeysValidWithin is that time; 0 means DefaultKeysValidWithin.
	KeysValidWithin revision.Duration `json:"keysValidWithin" validate:"min=0"`
}

// Retry configures the retry budget: it bounds the requests that are sent to a second target.
type Retry struct {
	// Share is the fraction of the requests that may be retried, above 0 and at most 1.
	Share float64 `json:"share" validate:"gt=0,max=1"`
	// NestedShare is the fraction of the requests made by targets of the same host, as learned from
	// origins, that may be retried; 0 means 1.4 times Share. Requests whose runs make others may be retried to half of Share.
	NestedShare float64 `json:"nestedShare" validate:"min=0,max=1"`
	// Reserve is the number of retries beyond Share that are available at once.
	Reserve float64 `json:"reserve" validate:"min=0"`
	// FleetReserve replaces Reserve if it is not 0. It is a total for all live daemons and is
	// divided among them.
	FleetReserve float64 `json:"fleetReserve" validate:"min=0"`
}

// Entry configures the port for callers.
type Entry struct {
	// Listen is the IP address and port to listen on.
	Listen string `json:"listen" validate:"required,hostport"`
	// DefaultTimeout is the timeout of a request if neither the route nor the caller sets a
	// deadline.
	DefaultTimeout revision.Duration `json:"defaultTimeout" validate:"gt=0"`
	// MaxHeaderBytes bounds the size of a request header.
	MaxHeaderBytes int `json:"maxHeaderBytes" validate:"min=1024,max=1048576"`
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int64 `json:"maxBodyBytes" validate:"min=0"`
	// MaxConnections bounds the number of open connections from callers, as does the number of
	// descriptors that the process may open.
	MaxConnections int `json:"maxConnections" validate:"min=1"`
	// LameDuck is the time for which a stopping daemon continues to serve new requests, so that
	// callers can choose another daemon; with 0 it refuses new requests at once.
	LameDuck revision.Duration `json:"lameDuck" validate:"min=0"`
	// ConfirmDispatch makes other hosts ask before they dispatch a request that must not be repeated, so
	// that one that is lost before is known not to have run.
	ConfirmDispatch bool `json:"confirmDispatch"`
	// Retry bounds retries of requests.
	Retry Retry `json:"retry"`
}

// Peer configures the sessions between daemons.
type Peer struct {
	// Listen is the IP address and port to listen on.
	Listen string `json:"listen" validate:"required,hostport"`
	// Advertise is the address that other daemons receive; if empty, it is Listen.
	Advertise string `json:"advertise" validate:"omitempty,hostport"`
	// Bind is the local IP address of outgoing connections; if empty, the system chooses it.
	Bind string `json:"bind" validate:"omitempty,ip"`
	// Keepalive is the interval of probes and keepalive frames. A connection on which one is
	// missing for a whole interval is closed.
	Keepalive revision.Duration `json:"keepalive" validate:"gt=0"`
	// SessionsPerPeer bounds the number of parallel control sessions to one host.
	SessionsPerPeer int `json:"sessionsPerPeer" validate:"min=1,max=16"`
	// MaxStreams bounds the number of request connections between two hosts in each direction, and
	// the number of streams of one control session.
	MaxStreams int `json:"maxStreams" validate:"min=1"`
	// TLS secures the control sessions and the requests between daemons, always with mutual
	// authentication.
	TLS TLS `json:"tls"`
}

// Gossip configures the gossip between daemons, which maintains the member list.
type Gossip struct {
	// Listen is the IP address and port to listen on.
	Listen string `json:"listen" validate:"required,hostport"`
	// Advertise is the address that other daemons receive; if empty, it is Listen.
	Advertise string `json:"advertise" validate:"omitempty,hostport"`
	// Interval is the time between probes.
	Interval revision.Duration `json:"interval" validate:"gt=0"`
}

// Admin configures the port for operators and local targets.
type Admin struct {
	// Listen is the IP address and port to listen on.
	Listen string `json:"listen" validate:"required,hostport"`
	// Ready is a second listen address, for readiness checks; empty means none.
	Ready string `json:"ready" validate:"omitempty,hostport"`
	// TLS secures the port; with a CA, clients must present a certificate.
	TLS TLS `json:"tls"`
}

// Platform configures the connections to the platform's store.
type Platform struct {
	// URL is the base URL of the store.
	URL string `json:"url" validate:"required,url"`
	// Timeout bounds one operation on the store.
	Timeout revision.Duration `json:"timeout" validate:"gt=0"`
	// TLS secures the connections; URL must begin with https:// if it is enabled.
	TLS TLS `json:"tls"`
}

// Exit configures the dispatch of requests to the targets on this host.
type Exit struct {
	// AnnounceTTL is the time after which a target is removed if its announcement is not renewed.
	AnnounceTTL revision.Duration `json:"announceTTL" validate:"gt=0"`
	// QueueLength bounds the number of requests that wait for a slot, for each target.
	QueueLength int `json:"queueLength" validate:"min=0"`
	// WarmUp is the period over which the slots of a cold target become available.
	WarmUp revision.Duration `json:"warmUp" validate:"min=0"`
	// DrainTimeout bounds the duration of a graceful shutdown.
	DrainTimeout revision.Duration `json:"drainTimeout" validate:"gt=0"`
	// Target is the only address that targets may announce; empty allows any.
	Target string `json:"target" validate:"omitempty,hostport"`
}

// Runtime configures the Go runtime.
type Runtime struct {
	// GCPercent is the garbage collection target percentage (GOGC).
	GCPercent int `json:"gcPercent" validate:"min=10,max=2000"`
	// Memory is what the process may use, in bytes or as a text such as "184MB"; 0 means not stated. The
	// other limits follow from it; see SoftLimit and ClientMemory.
	Memory Size `json:"memory" validate:"min=0"`
	// MemoryLimit is the soft memory limit of the Go runtime (GOMEMLIMIT), in bytes; 0 means that it follows
	// from Memory. It should be half of what the process may use: the runtime exceeds it under a burst of
	// allocations.
	MemoryLimit int64 `json:"memoryLimit" validate:"omitempty,min=16777216"`
}

// Log configures the structured log.
type Log struct {
	// Level is the lowest level of entries that are written.
	Level string `json:"level" validate:"oneof=debug info warn error"`
}
