package security

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// expiryWarningPeriod is how long before its expiry a warning about a certificate is logged.
const expiryWarningPeriod = 7 * 24 * time.Hour

// Run calls Reload after each Reload interval of the settings and logs its result, with a warning
// if the certificate expires soon. It returns when the context ends, or at once if the interval is
// 0.
func (c *Credentials) Run(ctx context.Context, logger *zap.Logger) {
	interval := c.settings.Reload.Std()
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
			c.reloadAndWarn(logger)
		}
	}
}

// reloadAndWarn reloads the files once and logs a change, an error and a certificate that expires
// soon.
func (c *Credentials) reloadAndWarn(logger *zap.Logger) {
	changed, err := c.Reload()
	switch {
	case err != nil:
		logger.Error("certificate not replaced", zap.String("step", "reload"), zap.String("purpose", c.purpose), zap.Error(err))
	case changed:
		logger.Info("certificate replaced", zap.String("purpose", c.purpose), zap.Time("expires", c.Expires()))
	}
	if expires := c.Expires(); !expires.IsZero() && expires.Sub(c.now()) < expiryWarningPeriod {
		logger.Warn("certificate expires soon", zap.String("purpose", c.purpose), zap.Time("expires", expires))
	}
}
