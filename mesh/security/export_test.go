package security

import "go.uber.org/zap"

// ReloadAndWarn does what Run does after each interval.
func (c *Credentials) ReloadAndWarn(logger *zap.Logger) { c.reloadAndWarn(logger) }
