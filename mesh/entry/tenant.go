package entry

import (
	"strings"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/apikey"
	"sassafrasnotch.example/coord/revision"
)

// headerAuthorization is the field that carries an API key, bearerScheme its scheme (RFC 6750).
const (
	headerAuthorization = "Authorization"
	bearerScheme        = "Bearer"
)

// admitTenant finds the tenant whose API key the request carries, and decides whether the request may pass.
// Without tenants in the configuration it does nothing, and the field Authorization is forwarded like any
// other.
func (c *callerRequest) admitTenant() *failure {
	if len(c.snapshot.Tenants()) == 0 {
		return nil
	}
	credentials := apikey.Unusable
	key, problem := bearerKey(c.httpRequest.Header[headerAuthorization])
	if problem == "" {
		credentials, problem = apikey.Unknown, "the API key is not known"
		if tenant, ok := c.snapshot.TenantByKey(key); ok {
			credentials, c.tenant = apikey.Known, tenant
		}
	}
	rules, required := *c.entry.keyRules.Load(), c.snapshot.RequiresKey(c.route)
	var copied apikey.Copy
	if required && (credentials == apikey.Unknown || rules.Strict) {
		copied = c.configurationCopy()
	}
	var failed *failure
	switch apikey.Decide(credentials, required, copied, rules) {
	case apikey.Admitted:
		return nil
	case apikey.Unauthorized:
		return refused(ReasonUnauthorized, stepAdmit, problem)
	case apikey.Superseded:
		failed = refused(ReasonKeysOutdated, stepAdmit, "the API key is not known here, and another daemon has a newer configuration")
	case apikey.Outdated:
		failed = refused(ReasonKeysOutdated, stepAdmit, "the API key is not known here, and the configuration may be outdated")
	default:
		failed = refused(ReasonKeysOutdated, stepAdmit, "the store has not confirmed the API keys in time")
	}
	failed.retryAfter = rules.RetryAfter()
	return failed.withPeer(c.entry.self.Host)
}

// configurationCopy returns the state of the daemon's copy of the configuration. It is superseded too if
// another snapshot than the request's has come into force meanwhile, which may have its key. That is looked
// at last, since the age is that of the snapshot in force.
func (c *callerRequest) configurationCopy() apikey.Copy {
	var copied apikey.Copy
	if source := c.entry.deps.ConfigurationCopy; source != nil {
		copied = apikey.Copy{Age: source.Age(), Superseded: source.Superseded()}
	}
	copied.Superseded = copied.Superseded || c.entry.deps.Configuration.Snapshot() != c.snapshot
	return copied
}

// bearerKey returns the API key in the values of the field Authorization, or what is wrong with them. The
// scheme is matched in any case, and any number of spaces separates it from the key (RFC 9110, section
// 11.4). The problem never contains a part of the values.
func bearerKey(values []string) (key, problem string) {
	switch {
	case len(values) == 0:
		return "", "the request carries no API key"
	case len(values) > 1:
		return "", "the field Authorization is repeated"
	}
	scheme, rest, found := strings.Cut(values[0], " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) {
		return "", "the field Authorization does not have the form Bearer KEY"
	}
	key = strings.TrimLeft(rest, " ")
	if len(key) > revision.MaxKeyBytes {
		return "", "the API key is too long"
	}
	if !revision.ValidKey(key) {
		return "", "the field Authorization does not have the form Bearer KEY"
	}
	return key, ""
}

// concernsTenant reports whether a field carries the API key, or states the tenant in any spelling that a
// target may take for TenantHeader. The interfaces of many servers replace dashes by underscores.
func (c *Conventions) concernsTenant(name string) bool {
	return strings.EqualFold(name, headerAuthorization) ||
		c.TenantHeader != "" && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), c.TenantHeader)
}

// tenantField returns the log field that names the tenant, or one that is not written if there is none.
func (c *callerRequest) tenantField() zap.Field {
	if c.tenant == nil {
		return zap.Skip()
	}
	return zap.String("tenant", c.tenant.Name)
}

// SetKeyRules replaces Deps.KeyRules.
func (e *Entry) SetKeyRules(rules apikey.Rules) { e.keyRules.Store(&rules) }
