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
	// Secure adds TLS to the connections of an https URL; it may be nil.
	Secure func(DialFunc) DialFunc
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

// Targets takes the announcements of the targets on this host.
type Targets interface {
	Announce(admin.Announcement) error
	Withdraw(instance string)
}

// Routes adds the platform's calls at the daemon to an engine. ready reports
// whether the daemon takes requests.
type Routes func(engine *gin.Engine, targets Targets, ready func() bool, logger *zap.Logger)

// Adapter is a connection to the platform with its conventions.
type Adapter struct {
	Store store.Store
	Usage Usage
	// Operator and Moves read what operators wrote and the rows of moves.
	Operator source.OperatorReader
	Moves    source.RolloutReader
	// RecordMove returns the writes that tell operators of a step.
	RecordMove func(rollout.State) ([]store.Write, error)
	Callers    entry.Conventions
	Targets    exit.Conventions
	Routes     Routes
}

// Connect returns an adapter. It makes no connection yet.
type Connect func(Config) Adapter
