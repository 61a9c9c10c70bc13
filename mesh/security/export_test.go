package security

import "go.uber.org/zap"

// ReloadAndWarn does what Run does at each interval.
func (k *Credentials) ReloadAndWarn(logger *zap.Logger) { k.visit(logger) }
