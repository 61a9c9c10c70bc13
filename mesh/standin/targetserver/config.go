// Package targetserver is a stand-in for a target: an HTTP server with a
// bounded number of slots that announces itself to the daemon on its host,
// drains, and misbehaves in the ways that it is told to.
package targetserver

import (
	"errors"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/admin"
)

// Headers of requests and answers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderVersion        = "X-Standin-Version"
	HeaderInstance       = "X-Standin-Instance"
	// HeaderCrash marks a request that crashes the target.
	HeaderCrash = "X-Standin-Crash"
	// HeaderResponseFault asks for a broken answer, see the Answer constants.
	HeaderResponseFault = "X-Standin-Answer"
)

// The values of HeaderAnswer.
const (
	// ResponseRepeated sends the answer twice, so that the next request on the
	// connection meets an answer that is not its own.
	ResponseRepeated = "repeated"
	// ResponseTruncated declares a length and closes the connection before it.
	ResponseTruncated = "cut"
	// ResponseTruncatedChunked closes the connection within a chunked body.
	ResponseTruncatedChunked = "cut-chunked"
)

const (
	defaultSlots            = 12
	defaultAnnounceInterval = revision.Duration(time.Second)
	defaultLinger           = revision.Duration(time.Second)
	defaultRestart          = revision.Duration(time.Second)
	loopback                = "127.0.0.1:0"
)

// Config configures one target.
type Config struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Version  string `json:"version"`
	Host     string `json:"host"`
	// Listen is the address for requests, Control the one for tests.
	Listen  string `json:"listen"`
	Control string `json:"control"`
	// Admin is the address of the daemon's admin port; empty announces nothing.
	Admin            string            `json:"admin"`
	AnnounceInterval revision.Duration `json:"announceInterval"`
	// Slots bounds the requests that run at once; others wait.
	Slots int `json:"slots"`
	// Backlog bounds the requests that wait for a slot; 0 means no bound.
	// Those above are answered with 503.
	Backlog int `json:"backlog"`
	// WorkDuration is the time that a request takes.
	WorkDuration revision.Duration `json:"work"`
	ColdStart    ColdStart         `json:"coldStart"`
	Reports      ReportConfig      `json:"reports"`
	// Behaviours add up; each one takes hold on the requests that it matches.
	Behaviours []Behaviour `json:"behaviours"`
	Crash      Crash       `json:"crash"`
	// Linger is the time for which a draining target still accepts requests.
	Linger revision.Duration `json:"linger"`
}

// ColdStart slows a target down after each start, for a number of requests and
// for a period, whichever lasts longer.
type ColdStart struct {
	Requests     int               `json:"requests"`
	Period       revision.Duration `json:"period"`
	AddedLatency revision.Duration `json:"slow"`
}

// ReportOverride is what the health and load endpoints claim against the truth.
type ReportOverride string

// The lies of a target.
const (
	OverrideNone ReportOverride = ""
	// OverrideIdle claims health and no load.
	OverrideIdle ReportOverride = "idle"
	// OverrideUnhealthy claims bad health and full load.
	OverrideUnhealthy ReportOverride = "sick"
)

// ReportConfig configures the health and load endpoints.
type ReportConfig struct {
	// SampleInterval is the least age of a report; 0 means that reports are current.
	SampleInterval revision.Duration `json:"lag"`
	Override       ReportOverride    `json:"lie"`
}

// Crash configures what a request marked with HeaderCrash does.
type Crash struct {
	// Exit ends the process. Otherwise all connections are closed and nothing
	// listens until RestartAfter has passed; the witness log survives that.
	Exit         bool              `json:"exit"`
	RestartAfter revision.Duration `json:"restartAfter"`
}

func (c Config) withDefaults() Config {
	setDefault(&c.Listen, loopback)
	setDefault(&c.Control, loopback)
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.AnnounceInterval, defaultAnnounceInterval)
	setDefault(&c.Linger, defaultLinger)
	setDefault(&c.Crash.RestartAfter, defaultRestart)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c Config) check() error {
	if c.Instance == "" || c.Service == "" || c.Version == "" {
		return errors.New("targetserver: instance, service and version are required")
	}
	if c.Slots < 0 || c.Backlog < 0 {
		return errors.New("targetserver: slots and backlog must not be negative")
	}
	return checkBehaviours(c.Behaviours)
}

// announcement returns what the daemon is told.
func (c Config) announcement(address string, leaving bool) admin.Announcement {
	return admin.Announcement{
		Instance: c.Instance,
		Service:  c.Service,
		Version:  c.Version,
		Address:  address,
		Slots:    c.Slots,
		Leaving:  leaving,
	}
}
