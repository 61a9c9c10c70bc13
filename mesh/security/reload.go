package security

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// expiryWarning is the time before its expiry from which a certificate is warned
// of.
const expiryWarning = 7 * 24 * time.Hour

// Run reads the files again at each interval of the settings, and warns of a
// certificate that is about to expire, until the context ends.
func (k *Credentials) Run(ctx context.Context, logger *zap.Logger) {
	interval := k.settings.Reload.Std()
	if interval <= 0 {
		return
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.visit(logger)
		}
	}
}

func (k *Credentials) visit(logger *zap.Logger) {
	changed, err := k.Reload()
	switch {
	case err != nil:
		logger.Error("certificate not replaced", zap.String("step", "reload"), zap.String("purpose", k.purpose), zap.Error(err))
	case changed:
		logger.Info("certificate replaced", zap.String("purpose", k.purpose), zap.Time("expires", k.Expires()))
	}
	if expires := k.Expires(); !expires.IsZero() && expires.Sub(k.now()) < expiryWarning {
		logger.Warn("certificate expires soon", zap.String("purpose", k.purpose), zap.Time("expires", expires))
	}
}
