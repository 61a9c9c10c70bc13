package daemon

import (
	"time"

	"sassafrasnotch.example/coord/apikey"
	"sassafrasnotch.example/mesh/settings"
)

// configurationCopy implements entry.ConfigurationCopy.
type configurationCopy struct{ configuration configuration }

// Age implements entry.ConfigurationCopy. It is 0 where the configuration comes from tickets: a daemon does
// not know when its copy was last confirmed.
func (c configurationCopy) Age() time.Duration {
	if copied, ok := c.configuration.(interface{ Age() time.Duration }); ok {
		return copied.Age()
	}
	return 0
}

// Superseded implements entry.ConfigurationCopy.
func (c configurationCopy) Superseded() bool {
	if copied, ok := c.configuration.(interface{ Superseded() bool }); ok {
		return copied.Superseded()
	}
	snapshot := c.configuration.Snapshot()
	return snapshot != nil && c.configuration.LatestRevision() > snapshot.Revision()
}

// keyRules returns the rules for API keys.
func keyRules(s *settings.Configuration) apikey.Rules {
	rules := apikey.Rules{ApplyWithin: s.ApplyWithin.Std(), Strict: bool(s.StrictKeys), ValidWithin: s.KeysValidWithin.Std()}
	if rules.ValidWithin == 0 {
		rules.ValidWithin = settings.DefaultKeysValidWithin
	}
	return rules
}

// confirmWithin returns the bound by which the copy of the configuration is kept fresh. With strict keys it is not
// above the time for which keys are valid without a confirmation: a copy is up to half of the bound old
// while all is well.
func confirmWithin(s *settings.Configuration) time.Duration {
	rules := keyRules(s)
	if !rules.Strict {
		return rules.ApplyWithin
	}
	return min(rules.ApplyWithin, rules.ValidWithin)
}
