package security_test

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sassafrasnotch.example/mesh/security"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/steperr"
)

func TestLoadRejectsInvalidCertificates(t *testing.T) {
	a := newAuthority(t, "a")
	good, second := a.issue("h1", validity), a.issue("h1", validity)
	with := func(change func(*security.PEM)) security.PEM {
		changed := good
		change(&changed)
		return changed
	}
	cases := []struct {
		name, wanted string
		pem          security.PEM
	}{
		{"expired", "expired at", a.issue("h1", -time.Minute)},
		{"another certificate's key", "private key does not match", with(func(p *security.PEM) { p.Key = second.Key })},
		{"not a PEM text", "failed to find any PEM data", with(func(p *security.PEM) { p.Certificate = []byte("x") })},
		{"invalid authority", "no certificate in PEM form", with(func(p *security.PEM) { p.CA = []byte("x") })},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := security.Load("peer", tlsSettings(c.pem), time.Now)
			is.True(errors.Is(err, security.ErrInvalidCertificate))
			is.True(strings.Contains(err.Error(), c.wanted))
			is.True(!strings.Contains(err.Error(), "PRIVATE"))
			is.Equal(steperr.Peer(err), "peer")

			keys := load(t, good)
			before := keys.Expires()
			is.True(keys.Replace(c.pem) != nil)
			is.Equal(keys.Expires(), before) // the current certificate stays in use
		})
	}
	off, err := security.Load("peer", settings.TLS{}, time.Now)
	is.New(t).NoErr(err)
	is.New(t).True(off == nil)
}

func TestReloadFiles(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t, "a")
	directory := t.TempDir()
	write := func(p security.PEM) {
		for name, data := range map[string][]byte{"cert": p.Certificate, "key": p.Key, "ca": p.CA} {
			is.NoErr(os.WriteFile(filepath.Join(directory, name), data, 0o600))
		}
	}
	first, second := a.issue("h1", validity), a.issue("h1", 2*validity)
	write(first)
	keys, err := security.Load("admin", settings.TLS{
		Enabled:         true,
		CertificateFile: filepath.Join(directory, "cert"),
		KeyFile:         filepath.Join(directory, "key"),
		CAFile:          filepath.Join(directory, "ca"),
	}, time.Now)
	is.NoErr(err)
	before := keys.Expires()
	changed, err := keys.Reload()
	is.NoErr(err)
	is.True(!changed)

	write(security.PEM{Certificate: second.Certificate, Key: first.Key, CA: a.pem}) // the key file is not replaced yet
	_, err = keys.Reload()
	is.True(errors.Is(err, security.ErrInvalidCertificate))
	is.Equal(keys.Expires(), before)

	write(second)
	changed, err = keys.Reload()
	is.NoErr(err)
	is.True(changed)
	is.True(keys.Expires().After(before))
	is.True(errors.Is(keys.Replace(first), security.ErrFileBacked))
}

func TestExpiryWarningHasNoSecrets(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.DebugLevel)
	pem := newAuthority(t, "a").issue("h1", validity)
	s := tlsSettings(pem)
	s.Reload = settings.Default().Peer.TLS.Reload
	keys, err := security.Load("peer", s, time.Now)
	is.NoErr(err)
	keys.ReloadAndWarn(zap.New(core))
	is.Equal(logs.Len(), 1)
	is.Equal(logs.All()[0].Message, "certificate expires soon")
	is.True(!strings.Contains(fmt.Sprintf("%v %+v %#v", s, s, s.Key), "PRIVATE"))
}

// A listener with an authority serves only clients that present a certificate of that authority.
func TestListener(t *testing.T) {
	trusted, other := newAuthority(t, "trusted"), newAuthority(t, "other")
	keys := load(t, trusted.issue("h1", validity))
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Listener = keys.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	untrusted := other.issue("op", validity)
	untrusted.CA = trusted.pem
	cases := []struct {
		name    string
		pem     security.PEM
		allowed bool
	}{
		{"operator", trusted.issue("op", validity), true},
		{"another authority", untrusted, false},
		{"no certificate", security.PEM{CA: trusted.pem}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(exchangeTimeout)))
			tlsConn := load(t, c.pem).Client(conn, "127.0.0.1")
			_, err = fmt.Fprintf(tlsConn, "GET / HTTP/1.0\r\n\r\n")
			var response [4]byte
			if err == nil {
				_, err = tlsConn.Read(response[:])
			}
			is.Equal(err == nil, c.allowed)
		})
	}
	conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: nil})
	is.New(t).True(err != nil) // the test authority is not one of the system's authorities
	is.New(t).True(conn == nil)
}
