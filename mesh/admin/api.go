// Package admin defines the HTTP interface for operators and local targets.
package admin

import (
	"time"

	"sassafrasnotch.example/coord/burn"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
)

// Paths of the HTTP interface.
const (
	PathTickets  = "/v1/tickets"   // POST a ticket.Ticket; GET a list of ticket.Status; GET /v1/tickets/<number>
	PathStatus   = "/v1/status"    // GET a Status
	PathTargets  = "/v1/targets"   // POST an Announcement; DELETE /v1/targets/<instance>
	PathReport   = "/v1/report"    // GET a Report
	PathLogLevel = "/v1/log-level" // GET and PUT a LogLevel
	PathMetrics  = "/metrics"

	// PathCertificates takes PUT of a Certificate at /v1/certificates/<purpose>,
	// from clients that showed a certificate.
	PathCertificates = "/v1/certificates"
	PathHealth       = "/healthz"
)

// Announcement is how a target makes itself known to its host's daemon. It is
// renewed within the TTL of the reply.
type Announcement struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Version  string `json:"version"`
	// Address is the target's HTTP address.
	Address string `json:"address"`
	// Slots is the number of requests that the target runs at once.
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation, if set, grows with each start of a target, and Sequence with each
	// announcement of one lifetime, so that late announcements can be told.
	Incarnation uint64 `json:"lifetime,omitempty"`
	Sequence    uint64 `json:"sequence,omitempty"`
	// ColdRemaining is how much longer the target is slow after its start. It holds where
	// Incarnation is set; other targets warm up as the settings say.
	ColdRemaining revision.Duration `json:"cold,omitempty"`
}

// AnnouncementResponse tells a target how long its announcement holds.
type AnnouncementResponse struct {
	TTL string `json:"ttl"`
}

// LogLevel is the level of the daemon's log.
type LogLevel struct {
	Level string `json:"level"`
}

// Certificate is PEM text that replaces what is in use for a purpose: peer, admin
// or platform. An empty CA keeps the present authorities.
type Certificate struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca,omitempty"`
}

// CertificateResponse tells until when the certificate in use holds.
type CertificateResponse struct {
	Expires time.Time `json:"expires"`
}

// Error is the body of every answer with a status of 400 and above.
type Error struct {
	Step    string   `json:"step"`
	Peer    string   `json:"peer,omitempty"`
	Message string   `json:"message"`
	Reasons []string `json:"reasons,omitempty"`
}

// TargetStatus is one target as its daemon sees it.
type TargetStatus struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	Version     string `json:"version"`
	State       string `json:"state"`
	Slots       int    `json:"slots"`
	Outstanding int    `json:"outstanding"`
	// Queued counts the calls that wait for a slot. Only the target's own host
	// knows it.
	Queued int `json:"queued,omitempty"`
}

// MemberStatus is one daemon as the answering daemon sees it.
type MemberStatus struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Status   string `json:"status"`
	Revision uint64 `json:"revision"`
	Leaving  bool   `json:"leaving,omitempty"`
	// AdminAddress is where its admin port can be reached.
	AdminAddress string `json:"adminAddress,omitempty"`
}

// Status is the answering daemon's view of the system.
type Status struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// LatestRevision is the newest revision known to exist, Applied the one in force.
	LatestRevision uint64    `json:"head"`
	Applied        uint64    `json:"applied"`
	AppliedAt      time.Time `json:"appliedAt"`
	// PlatformReachable is false while the last call to the platform failed.
	PlatformReachable bool                         `json:"platformReachable"`
	Members           []MemberStatus               `json:"members"`
	Targets           []TargetStatus               `json:"targets"`
	Rollouts          []ticket.RolloutStatus       `json:"moves"`
	Dangling          []string                     `json:"dangling,omitempty"`
	LastRejection     string                       `json:"lastRejection,omitempty"`
	ControlBytes      ControlBytes                 `json:"controlBytes"`
	Controllers       map[string]string            `json:"controllers,omitempty"` // service to holder
	Shares            map[string]map[string]uint64 `json:"shares,omitempty"`      // service to version to calls
}

// Report counts the calls of the answering daemon's callers.
type Report struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Since is the daemon's start; a host keeps no older counts.
	Since    time.Time       `json:"since"`
	At       time.Time       `json:"at"`
	Services []ServiceCounts `json:"services"`
	// Applied are the latest revisions that came into force, in order.
	Applied []AppliedRevision `json:"applied,omitempty"`
	// ControlBytes counts since the daemon's start.
	ControlBytes ControlBytes `json:"controlBytes"`
}

// AppliedRevision tells when a revision came into force, by the host's clock.
type AppliedRevision struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
}

// ServiceCounts are the calls of one service over the spans that the burn of its
// objective is told by.
type ServiceCounts struct {
	Service   string             `json:"service"`
	Objective revision.Objective `json:"objective"`
	Spans     burn.Spans         `json:"spans"`
	// Series are the counts of the last hour by time.
	Series []burn.Point `json:"series,omitempty"`
}

// ControlBytes counts the bytes that the daemon spent on control.
type ControlBytes struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}
