package security_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/security"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/standin/authority"
)

const validity = time.Hour

// testAuthority ends the test on an error.
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

func (a testAuthority) issue(name string, until time.Duration) security.PEM {
	a.t.Helper()
	pem, err := a.Issue(name, until, "127.0.0.1")
	is.New(a.t).NoErr(err)
	return pem
}

// inSettings hands a PEM in as values.
func inSettings(p security.PEM) settings.TLS {
	return settings.TLS{
		Enabled: true, Certificate: string(p.Certificate), Key: settings.Secret(p.Key), CA: string(p.CA),
	}
}

// load returns the keys of a PEM by the present time.
func load(t *testing.T, p security.PEM) *security.Credentials {
	t.Helper()
	keys, err := security.Load("peer", inSettings(p), time.Now)
	is.New(t).NoErr(err)
	return keys
}
