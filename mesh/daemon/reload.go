package daemon

import (
	"slices"
	"strings"
	"sync"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/settings"
)

// reloadable are the settings that a running daemon takes over. A name that ends
// with a dot stands for the whole section.
var reloadable = []string{"service", "entry.retry.", "entry.lameDuck", "exit.announceTTL", "exit.target", "exit.queueLength", "log."}

// Reloader takes changed settings over while the daemon runs.
type Reloader struct {
	mu      sync.Mutex
	present settings.Settings
	level   zap.AtomicLevel
	entry   *entry.Entry
	server  *entry.Server
	exit    *exit.Exit
	logger  *zap.Logger
}

func newReloader(s settings.Settings, level zap.AtomicLevel, e *entry.Entry, server *entry.Server, x *exit.Exit, logger *zap.Logger) *Reloader {
	return &Reloader{present: s, level: level, entry: e, server: server, exit: x, logger: logger.Named("settings")}
}

// Apply takes over what can change and names what needs a restart. The settings
// have been checked.
func (r *Reloader) Apply(next settings.Settings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, field := range settings.ChangedFields(&r.present, &next) {
		if !takesOver(field) {
			r.logger.Warn("setting needs a restart", zap.String("setting", field))
		}
	}
	if err := r.level.UnmarshalText([]byte(next.Log.Level)); err != nil {
		r.logger.Error("log level kept", zap.Error(err))
	}
	r.entry.Configure(next.Service, next.Entry.Retry)
	r.server.SetLameDuckPeriod(next.Entry.LameDuck.Std())
	r.exit.Configure(next.Exit)
	r.present = next
}

func takesOver(field string) bool {
	return slices.ContainsFunc(reloadable, func(name string) bool {
		return field == name || strings.HasSuffix(name, ".") && strings.HasPrefix(field, name)
	})
}
