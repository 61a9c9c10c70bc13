package settings

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

// watchInterval is the interval at which the file is checked for changes. The file is polled, since
// not every environment reports changes of files.
const watchInterval = time.Second

// Watch loads the file again when it has changed and at each value that is received from reload,
// and calls apply if the settings differ from the current ones. If the file is invalid, the error
// is logged and the current settings stay. Watch returns when the context ends.
func Watch(ctx context.Context, path string, current Settings, reload <-chan os.Signal, logger *zap.Logger, apply func(Settings)) {
	w := watcher{path: path, current: current, logger: logger, apply: apply}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			w.reload("signal")
		case <-ticker.C:
			if w.changed() {
				w.reload("file changed")
			}
		}
	}
}

// watcher is the state of one call of Watch.
type watcher struct {
	path    string
	current Settings
	modTime time.Time
	size    int64
	logger  *zap.Logger
	apply   func(Settings)
}

// changed reports whether the modification time or size of the file differs from the last check.
func (w *watcher) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		return false // the file may be in the middle of a replacement
	}
	same := info.ModTime().Equal(w.modTime) && info.Size() == w.size
	w.modTime, w.size = info.ModTime(), info.Size()
	return !same
}

// reload loads the file and applies settings that differ; cause is logged.
func (w *watcher) reload(cause string) {
	next, err := Load(w.path)
	if err != nil {
		w.logger.Error("settings not reloaded; the current settings stay in force", zap.String("cause", cause), zap.String("file", w.path), zap.Error(err))
		return
	}
	fields := ChangedFields(&w.current, &next)
	if len(fields) == 0 {
		return
	}
	w.logger.Info("settings changed", zap.String("cause", cause), zap.Strings("settings", fields))
	w.current = next
	w.apply(next)
}
