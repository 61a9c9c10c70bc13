package entry

import (
	"strings"

	"sassafrasnotch.example/coord/revision"
)

// headerAuthorization is the field that carries an API key, bearerScheme its scheme (RFC 6750).
const (
	headerAuthorization = "Authorization"
	bearerScheme        = "Bearer"
)

// admitTenant finds the tenant whose API key the request carries. Without tenants in the configuration it does
// nothing, and the field Authorization is forwarded like any other.
func (c *callerRequest) admitTenant() *failure {
	if len(c.snapshot.Tenants()) == 0 {
		return nil
	}
	key, problem := bearerKey(c.httpRequest.Header[headerAuthorization])
	if problem == "" {
		if tenant, ok := c.snapshot.TenantByKey(key); ok {
			c.tenant = tenant
		}
	}
	switch {
	case !c.snapshot.RequiresKey(c.route):
		return nil
	case problem != "":
		return refused(ReasonUnauthorized, stepAdmit, problem)
	case c.tenant == nil:
		return refused(ReasonUnauthorized, stepAdmit, "the API key is not known")
	}
	return nil
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
