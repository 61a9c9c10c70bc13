// Package apikey decides whether a request may pass by its API key, as far as the daemon's copy of the
// configuration tells. The keys are in the configuration, so that a daemon that lacks the newest version
// neither knows the keys that it added nor those that it took away.
package apikey

import "time"

// Credentials is what a request states about its tenant.
type Credentials int

// The kinds of credentials.
const (
	// Unusable credentials are missing, malformed, repeated or over-long. No version of the configuration
	// accepts them.
	Unusable Credentials = iota
	// Unknown credentials are a key that the copy of the configuration does not have.
	Unknown
	// Known credentials are the key of a tenant.
	Known
)

// Copy is the state of the daemon's copy of the configuration.
type Copy struct {
	// Age is the time since the store confirmed the copy.
	Age time.Duration
	// Superseded is set if another daemon has a newer configuration.
	Superseded bool
}

// Rules are the bounds within which a copy is relied on.
type Rules struct {
	// ApplyWithin is the time within which a new configuration is in force at all daemons. In a copy that
	// is older a key may be missing.
	ApplyWithin time.Duration
	// Strict refuses all requests that need a key while the copy is older than ValidWithin: a key that it
	// has may have been taken away.
	Strict      bool
	ValidWithin time.Duration
}

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	// Admitted requests pass.
	Admitted Verdict = iota
	// Unauthorized requests are refused for good.
	Unauthorized
	// Superseded and Outdated requests are refused for now: the key may be one that a newer version added,
	// which another daemon has or which the store may have.
	Superseded
	Outdated
	// Unconfirmed requests are refused for now: the key may have been taken away.
	Unconfirmed
)

// Decide returns the verdict on a request. required states that the request needs a key.
func Decide(credentials Credentials, required bool, copied Copy, rules Rules) Verdict {
	switch {
	case !required:
		return Admitted
	case rules.Strict && copied.Age > rules.ValidWithin:
		return Unconfirmed
	case credentials == Known:
		return Admitted
	case credentials == Unusable:
		return Unauthorized
	case copied.Superseded:
		return Superseded
	case copied.Age > rules.ApplyWithin:
		return Outdated
	}
	return Unauthorized
}

// retryFraction is the fraction of Rules.ApplyWithin after which a refused caller should come again. Callers
// come back once or twice and wait up to a third of the time that they have, so it is far below the bound:
// a version that gossip reports is mostly in force after a quarter of it.
const retryFraction = 8

// RetryAfter returns the time after which a caller that was refused for now should come again.
func (r Rules) RetryAfter() time.Duration { return r.ApplyWithin / retryFraction }
