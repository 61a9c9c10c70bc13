// Package targetserver is a stand-in for a target: an HTTP server with a bounded number of
// slots that announces itself to the daemon on its host, drains, and injects the faults that
// its configuration and its control endpoints select.
package targetserver

import (
	"errors"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/admin"
)

// Header fields of requests and responses.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderVersion and HeaderInstance state the version and the instance of the target that sent
	// the response.
	HeaderVersion  = "X-Standin-Version"
	HeaderInstance = "X-Standin-Instance"
	// HeaderCrash marks a request that crashes the target.
	HeaderCrash = "X-Standin-Crash"
	// HeaderResponseFault requests a malformed response; its values are the Response constants.
	HeaderResponseFault = "X-Standin-Answer"
)

// Values of HeaderResponseFault.
const (
	// ResponseRepeated sends the response twice, so that the next request on the connection
	// receives a response that belongs to the previous one.
	ResponseRepeated = "repeated"
	// ResponseTruncated declares a content length and closes the connection before the body
	// reaches it.
	ResponseTruncated = "cut"
	// ResponseTruncatedChunked closes the connection within a chunked body.
	ResponseTruncatedChunked = "cut-chunked"
)

const (
	defaultSlots            = 12
	defaultAnnounceInterval = revision.Duration(time.Second)
	defaultLinger           = revision.Duration(time.Second)
	defaultRestartDelay     = revision.Duration(time.Second)
	defaultListenAddress    = "127.0.0.1:0"
)

// Config configures one target. Zero values of Listen, Control, Slots, AnnounceInterval, Linger
// and Crash.RestartAfter are replaced by defaults.
type Config struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Version  string `json:"version"`
	Host     string `json:"host"`
	// Listen is the address for requests, Control the address of the control endpoints for
	// tests.
	Listen  string `json:"listen"`
	Control string `json:"control"`
	// Admin is the address of the daemon's admin port. If it is empty, the target is not
	// announced.
	Admin            string            `json:"admin"`
	AnnounceInterval revision.Duration `json:"announceInterval"`
	// Slots bounds the requests that run at once; others wait.
	Slots int `json:"slots"`
	// Backlog bounds the requests that wait for a slot; 0 means no bound. Requests beyond it
	// receive status 503.
	Backlog int `json:"backlog"`
	// WorkDuration is the time that a request runs.
	WorkDuration revision.Duration `json:"work"`
	ColdStart    ColdStart         `json:"coldStart"`
	Reports      ReportConfig      `json:"reports"`
	// Behaviours are combined: each applies to the requests that match its conditions.
	Behaviours []Behaviour `json:"behaviours"`
	Crash      Crash       `json:"crash"`
	// Linger is the time for which a draining target still accepts requests.
	Linger revision.Duration `json:"linger"`
}

// ColdStart adds latency after each start, for a number of requests and for a period, whichever
// lasts longer.
type ColdStart struct {
	Requests     int               `json:"requests"`
	Period       revision.Duration `json:"period"`
	AddedLatency revision.Duration `json:"slow"`
}

// ReportOverride selects a false report of the health and load endpoints.
type ReportOverride string

// Values of ReportOverride.
const (
	// OverrideNone reports the sampled load and health.
	OverrideNone ReportOverride = ""
	// OverrideIdle reports a healthy target without load.
	OverrideIdle ReportOverride = "idle"
	// OverrideUnhealthy reports an unhealthy target at full load.
	OverrideUnhealthy ReportOverride = "sick"
)

// ReportConfig configures the health and load endpoints.
type ReportConfig struct {
	// SampleInterval is the least time between two samples of the load and the health; reports
	// in between repeat the last sample. 0 means that reports are current.
	SampleInterval revision.Duration `json:"lag"`
	Override       ReportOverride    `json:"lie"`
}

// Crash configures the effect of a request that is marked with HeaderCrash.
type Crash struct {
	// Exit ends the process. Otherwise all connections are closed and the listener stays closed
	// until RestartAfter has passed; the execution records are kept.
	Exit         bool              `json:"exit"`
	RestartAfter revision.Duration `json:"restartAfter"`
}

func (c Config) withDefaults() Config {
	setDefault(&c.Listen, defaultListenAddress)
	setDefault(&c.Control, defaultListenAddress)
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.AnnounceInterval, defaultAnnounceInterval)
	setDefault(&c.Linger, defaultLinger)
	setDefault(&c.Crash.RestartAfter, defaultRestartDelay)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c Config) validate() error {
	if c.Instance == "" || c.Service == "" || c.Version == "" {
		return errors.New("targetserver: instance, service and version are required")
	}
	if c.Slots < 0 || c.Backlog < 0 {
		return errors.New("targetserver: slots and backlog must be 0 or greater")
	}
	return validateBehaviours(c.Behaviours)
}

// announcement returns the announcement that is sent to the daemon.
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
