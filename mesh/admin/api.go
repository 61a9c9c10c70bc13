// Package admin defines the paths and the JSON bodies of the HTTP interface for operators and local
// targets.
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

	// PathCertificates accepts PUT of a Certificate at /v1/certificates/<purpose>, from clients that
	// presented a verified certificate.
	PathCertificates = "/v1/certificates"
	PathHealth       = "/healthz"
)

// Announcement registers a target with the daemon of its host. The target renews it within the TTL
// of the response.
type Announcement struct {
	// Instance identifies the target on its host.
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Version  string `json:"version"`
	// Address is the host and port of the target's HTTP server.
	Address string `json:"address"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots"`
	// Leaving is set by a target that will stop.
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation, if set, grows with each start of a target, and Sequence with each announcement of
	// one incarnation, so that late announcements can be recognized. 0 means not set.
	Incarnation uint64 `json:"lifetime,omitempty"`
	Sequence    uint64 `json:"sequence,omitempty"`
	// ColdRemaining is the remaining time for which the target is slow after its start. It applies
	// if Incarnation is set; other targets warm up according to the settings.
	ColdRemaining revision.Duration `json:"cold,omitempty"`
	// ColdUnstated is set by a target that does not state ColdRemaining. It is then cold for the time after
	// its start that its service has.
	ColdUnstated bool `json:"coldUnstated,omitempty"`
}

// AnnouncementResponse holds the time for which an announcement is valid, formatted as a
// time.Duration.
type AnnouncementResponse struct {
	TTL string `json:"ttl"`
}

// LogLevel is the level of the daemon's log.
type LogLevel struct {
	Level string `json:"level"`
}

// Certificate is the PEM text of a certificate, its key and its authorities. It replaces those in use
// for a purpose: peer, admin or platform. An empty CA keeps the authorities in use.
type Certificate struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca,omitempty"`
}

// CertificateResponse holds the time at which the certificate in use expires.
type CertificateResponse struct {
	Expires time.Time `json:"expires"`
}

// Error is the body of every response with a status of 400 and above. Step is the operation that
// failed, Peer the host, instance or purpose that it concerned. Reasons lists each problem of an
// invalid request.
type Error struct {
	Step    string   `json:"step"`
	Peer    string   `json:"peer,omitempty"`
	Message string   `json:"message"`
	Reasons []string `json:"reasons,omitempty"`
}

// TargetStatus is the state of a target as the responding daemon knows it. Outstanding is the number of
// requests in flight at the target, known only to the host of the target.
type TargetStatus struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	Version     string `json:"version"`
	State       string `json:"state"`
	Slots       int    `json:"slots"`
	Outstanding int    `json:"outstanding"`
	// Queued is the number of requests that wait for a slot. Only the host of the target knows it.
	Queued int `json:"queued,omitempty"`
	// Abandoned is the number of requests that were given up and that the target may still hold. Only the
	// host of the target knows it.
	Abandoned int `json:"abandoned,omitempty"`
	// Rate is the number of requests per second that the target takes; absent if it names none.
	Rate *float64 `json:"rate,omitempty"`
}

// MemberStatus is a daemon in the member list of the responding daemon.
type MemberStatus struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Status   string `json:"status"`
	Revision uint64 `json:"revision"`
	Leaving  bool   `json:"leaving,omitempty"`
	// AdminAddress is the address of its admin port.
	AdminAddress string `json:"adminAddress,omitempty"`
}

// Status is the state of the system as the responding daemon knows it.
type Status struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// LatestRevision is the latest revision known to exist, Applied the one in force since AppliedAt.
	LatestRevision uint64    `json:"head"`
	Applied        uint64    `json:"applied"`
	AppliedAt      time.Time `json:"appliedAt"`
	// PlatformReachable is false if the store was not reachable at the last read of it.
	PlatformReachable bool                   `json:"platformReachable"`
	Members           []MemberStatus         `json:"members"`
	Targets           []TargetStatus         `json:"targets"`
	Rollouts          []ticket.RolloutStatus `json:"moves"`
	// Evacuated lists the availability zones whose targets receive no requests.
	Evacuated []string `json:"evacuated,omitempty"`
	// Dangling lists the dangling references and invalid values of the configuration in force.
	Dangling []string `json:"dangling,omitempty"`
	// LastRejection describes the last change that could not be applied.
	LastRejection string                       `json:"lastRejection,omitempty"`
	ControlBytes  ControlBytes                 `json:"controlBytes"`
	Controllers   map[string]string            `json:"controllers,omitempty"` // lease holder by service
	Shares        map[string]map[string]uint64 `json:"shares,omitempty"`      // requests by service and version
}

// Report counts the requests of the responding daemon's callers.
type Report struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Since is the start of the daemon; a host keeps no older counts.
	Since time.Time `json:"since"`
	// At is the time of the report.
	At       time.Time       `json:"at"`
	Services []ServiceCounts `json:"services"`
	// Applied lists the most recently applied revisions in the order in which they came into force.
	Applied []AppliedRevision `json:"applied,omitempty"`
	// ControlBytes counts since the daemon's start.
	ControlBytes ControlBytes `json:"controlBytes"`
}

// AppliedRevision is a revision and the time at which it came into force, by the host's clock.
type AppliedRevision struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
}

// ServiceCounts counts the requests of a service over the spans from which the burn rate of its
// objective is computed.
type ServiceCounts struct {
	Service   string             `json:"service"`
	Objective revision.Objective `json:"objective"`
	Spans     burn.Spans         `json:"spans"`
	// Series holds the counts of the last hour by time.
	Series []burn.Point `json:"series,omitempty"`
}

// ControlBytes counts the bytes of the control traffic of a daemon.
type ControlBytes struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}
