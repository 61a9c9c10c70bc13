// Package adapter defines the interface between the daemon and the platform that it runs on. An
// adapter only translates between the two; decisions are made by the daemon.
package adapter

import (
	"context"
	"net"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/source"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures the connection to the platform's store.
type Config struct {
	URL     string
	Timeout time.Duration // of one operation on the store
	// LocalIP is the local address of connections; if empty, the system chooses it.
	LocalIP string
	// LimitDial returns a DialFunc that opens connections with the given one, within the limits of the
	// daemon. It may be nil.
	LimitDial func(DialFunc) DialFunc
	// WrapTLS returns a DialFunc that adds TLS to the connections of the given one. It is used for
	// an https URL and may be nil.
	WrapTLS func(DialFunc) DialFunc
}

// Usage counts the use of the store since the start of the daemon.
type Usage interface {
	// Operations returns the numbers of reads and writes started.
	Operations() (reads, writes uint64)
	// Failures returns the numbers of reads and writes without a response or with an error response.
	Failures() (reads, writes uint64)
	// Bytes returns the numbers of bytes sent and received, headers included.
	Bytes() (sent, received uint64)
}

// TargetRegistry receives the announcements and withdrawals of the targets on this host.
type TargetRegistry interface {
	Announce(admin.Announcement) error
	Withdraw(instance string)
	// AwaitRecorded returns nil once the departure of a target may be acknowledged: a later process of
	// this daemon will know it.
	AwaitRecorded(ctx context.Context, instance string) error
}

// RouteRegistrar adds the HTTP routes by which the platform sends requests to the daemon to an
// engine. ready reports whether the daemon accepts requests.
type RouteRegistrar func(engine *gin.Engine, targets TargetRegistry, ready func() bool, logger *zap.Logger)

// Adapter is a connection to the platform, with the conventions of the platform's callers and
// targets.
type Adapter struct {
	Store store.Store
	Usage Usage
	// OperatorReader reads the configurations and rollout orders that operators write; Rollouts
	// reads the rows of rollouts.
	OperatorReader source.OperatorReader
	Rollouts       source.RolloutReader
	// RolloutStatusWrites returns the store writes that report a step of a rollout to operators.
	RolloutStatusWrites func(rollout.State) ([]store.Write, error)
	// CallerConventions and TargetConventions describe the HTTP interfaces that the callers and the
	// targets of the platform expect.
	CallerConventions entry.Conventions
	TargetConventions exit.Conventions
	// RegisterRoutes adds the HTTP routes for the platform.
	RegisterRoutes RouteRegistrar
}

// Connect returns an adapter without opening a connection.
type Connect func(Config) Adapter
