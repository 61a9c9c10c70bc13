// Package adapter states what connects the daemon to the platform that it runs
// on. The daemon decides; an adapter only translates.
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

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures the connection to the platform's store.
type Config struct {
	URL     string
	Timeout time.Duration // of one operation
	// LocalIP is the source of connections; empty lets the system choose.
	LocalIP string
	// WrapTLS adds TLS to the connections of an https URL; it may be nil.
	WrapTLS func(DialFunc) DialFunc
}

// Usage tells what the store was used for since the start.
type Usage interface {
	// Operations returns the started reads and writes.
	Operations() (reads, writes uint64)
	// Failures returns those that brought no answer, or one of failure.
	Failures() (reads, writes uint64)
	// Bytes returns the bytes sent and received, headers included.
	Bytes() (sent, received uint64)
}

// TargetRegistry takes the announcements of the targets on this host.
type TargetRegistry interface {
	Announce(admin.Announcement) error
	Withdraw(instance string)
}

// RouteRegistrar adds the platform's calls at the daemon to an engine. ready reports
// whether the daemon takes requests.
type RouteRegistrar func(engine *gin.Engine, targets TargetRegistry, ready func() bool, logger *zap.Logger)

// Adapter is a connection to the platform with its conventions.
type Adapter struct {
	Store store.Store
	Usage Usage
	// OperatorReader and Moves read what operators wrote and the rows of moves.
	OperatorReader source.Reader
	Rollouts       source.Moves
	// RolloutStatusWrites returns the writes that tell operators of a step.
	RolloutStatusWrites func(rollout.State) ([]store.Write, error)
	CallerConventions   entry.Conventions
	TargetConventions   exit.Conventions
	RegisterRoutes      RouteRegistrar
}

// Connect returns an adapter. It makes no connection yet.
type Connect func(Config) Adapter
