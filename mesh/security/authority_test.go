package security_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/security"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/standin/authority"
)

// validity is the usual validity period of the certificates in these tests.
const validity = time.Hour

// testAuthority is a certificate authority whose methods end the test on an error.
type testAuthority struct {
	*authority.Authority
	t   *testing.T
	pem []byte
}

func newAuthority(t *testing.T, name string) testAuthority {
	t.Helper()
	a, err := authority.New(name)
	is.New(t).NoErr(err)
	return testAuthority{a, t, a.PEM()}
}

// issue returns a certificate for name and 127.0.0.1 that expires after the given time.
func (a testAuthority) issue(name string, until time.Duration) security.PEM {
	a.t.Helper()
	pem, err := a.Issue(name, until, "127.0.0.1")
	is.New(a.t).NoErr(err)
	return pem
}

// tlsSettings returns enabled TLS settings with the texts of p as values.
func tlsSettings(p security.PEM) settings.TLS {
	return settings.TLS{
		Enabled: true, Certificate: string(p.Certificate), Key: settings.Secret(p.Key), CA: string(p.CA),
	}
}

// load returns the credentials in p for the purpose "peer", checked at the current time.
func load(t *testing.T, p security.PEM) *security.Credentials {
	t.Helper()
	keys, err := security.Load("peer", tlsSettings(p), time.Now)
	is.New(t).NoErr(err)
	return keys
}
