package settings

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

// watchInterval is the time between two looks at the file; not every platform
// tells of changes.
const watchInterval = time.Second

// Watch reads the file again when it changed or when it is told to, and hands
// settings that differ to apply. Those of a file that is not valid are not
// applied. It runs until the context ends.
func Watch(ctx context.Context, path string, present Settings, now <-chan os.Signal, logger *zap.Logger, apply func(Settings)) {
	w := watch{path: path, present: present, logger: logger, apply: apply}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-now:
			w.read("signal")
		case <-ticker.C:
			if w.changed() {
				w.read("file changed")
			}
		}
	}
}

type watch struct {
	path     string
	present  Settings
	modified time.Time
	size     int64
	logger   *zap.Logger
	apply    func(Settings)
}

// changed reports whether the file differs from the last look.
func (w *watch) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		return false // it may be about to be replaced
	}
	same := info.ModTime().Equal(w.modified) && info.Size() == w.size
	w.modified, w.size = info.ModTime(), info.Size()
	return !same
}

func (w *watch) read(cause string) {
	next, err := Load(w.path)
	if err != nil {
		w.logger.Error("settings kept", zap.String("cause", cause), zap.String("file", w.path), zap.Error(err))
		return
	}
	fields := ChangedFields(&w.present, &next)
	if len(fields) == 0 {
		return
	}
	w.logger.Info("settings changed", zap.String("cause", cause), zap.Strings("settings", fields))
	w.present = next
	w.apply(next)
}
