package daemon

import (
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/settings"
)

// reloadableSettings lists the settings that can change while the daemon runs. A name that ends
// with a dot stands for the whole section.
var reloadableSettings = []string{"service", "configuration.strictKeys", "configuration.keysValidWithin", "entry.retry.", "entry.lameDuck", "exit.announceTTL", "exit.target", "exit.queueLength", "log."}

// Reloader applies changed settings while the daemon runs. It is safe for concurrent use.
type Reloader struct {
	mu      sync.Mutex
	current settings.Settings
	// applyWithin is configuration.applyWithin at the start, which needs a restart to change.
	applyWithin time.Duration
	level       zap.AtomicLevel
	entry       *entry.Entry
	server      *entry.Server
	exit        *exit.Exit
	logger      *zap.Logger
}

func newReloader(s settings.Settings, level zap.AtomicLevel, e *entry.Entry, server *entry.Server, x *exit.Exit, logger *zap.Logger) *Reloader {
	return &Reloader{current: s, applyWithin: s.Configuration.ApplyWithin.Std(), level: level, entry: e, server: server, exit: x, logger: logger.Named("settings")}
}

// Apply applies the changed settings that need no restart and logs those that do. The settings must
// be valid.
func (r *Reloader) Apply(next settings.Settings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, field := range settings.ChangedFields(&r.current, &next) {
		if !isReloadable(field) {
			r.logger.Warn("changed setting needs a restart", zap.String("setting", field))
		}
	}
	if err := r.level.UnmarshalText([]byte(next.Log.Level)); err != nil {
		r.logger.Error("log level not changed", zap.Error(err))
	}
	r.entry.Configure(next.Service, next.Entry.Retry)
	rules := keyRules(&next.Configuration)
	rules.ApplyWithin = r.applyWithin
	r.entry.SetKeyRules(rules)
	r.server.SetLameDuckPeriod(next.Entry.LameDuck.Std())
	r.exit.Configure(next.Exit)
	r.current = next
}

// isReloadable reports whether a setting can change while the daemon runs.
func isReloadable(field string) bool {
	return slices.ContainsFunc(reloadableSettings, func(name string) bool {
		return field == name || strings.HasSuffix(name, ".") && strings.HasPrefix(field, name)
	})
}
