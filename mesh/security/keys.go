// Package security holds the certificates of the daemon's ports and connections
// and secures connections with them by mutual or one-sided TLS. Certificates can
// be replaced while they are in use; connections that are open keep theirs.
package security

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/steperr"
)

// Every error of this package wraps one of these.
var (
	// ErrInvalidCertificate means that a certificate, key or authority can't be used.
	ErrInvalidCertificate = errors.New("security: unusable certificate")
	// ErrFileBacked means that values were handed in for what is read from files.
	ErrFileBacked = errors.New("security: the certificate is read from files")
)

// PEM is the text of a certificate chain, its key and the trusted authorities.
type PEM struct {
	Certificate []byte
	Key         []byte
	CA          []byte
}

func (p *PEM) equal(other *PEM) bool {
	return bytes.Equal(p.Certificate, other.Certificate) && bytes.Equal(p.Key, other.Key) && bytes.Equal(p.CA, other.CA)
}

// Credentials are the certificate, key and authorities of one purpose. It is safe for
// concurrent use.
type Credentials struct {
	purpose  string
	settings settings.TLS
	now      func() time.Time
	current  atomic.Pointer[material]

	replacing sync.Mutex
	pem       PEM // of current
}

// material is what a PEM holds.
type material struct {
	certificate *tls.Certificate // nil without one
	authorities *x509.CertPool   // nil for those of the system
}

// Load reads the keys for a purpose, such as "peer", that names them in errors.
// It returns nil if security is off.
func Load(purpose string, s settings.TLS, now func() time.Time) (*Credentials, error) {
	if !s.Enabled {
		return nil, nil
	}
	k := &Credentials{purpose: purpose, settings: s, now: now}
	pem, err := k.read()
	if err != nil {
		return nil, err
	}
	return k, k.install(pem)
}

// Purpose returns what the keys are for.
func (k *Credentials) Purpose() string { return k.purpose }

// Mutual reports whether the other end has to show a certificate when it
// connects.
func (k *Credentials) Mutual() bool { return k.settings.HasCA() }

// Expires returns when the certificate expires, or the zero time without one.
func (k *Credentials) Expires() time.Time {
	if certificate := k.current.Load().certificate; certificate != nil {
		return certificate.Leaf.NotAfter
	}
	return time.Time{}
}

// Replace puts values in force for new connections. If they can't be used, the
// present ones stay. An empty CA keeps the present authorities.
func (k *Credentials) Replace(p PEM) error {
	if k.fromFiles() {
		return k.fail("replace", ErrFileBacked, nil)
	}
	k.replacing.Lock()
	defer k.replacing.Unlock()
	if len(p.CA) == 0 {
		p.CA = k.pem.CA
	}
	return k.install(p)
}

// Reload reads the files again and reports whether they changed. If they can't be
// used, the present certificate stays.
func (k *Credentials) Reload() (changed bool, err error) {
	if !k.fromFiles() {
		return false, nil
	}
	k.replacing.Lock()
	defer k.replacing.Unlock()
	pem, err := k.read()
	if err != nil || pem.equal(&k.pem) {
		return false, err
	}
	return true, k.install(pem)
}

func (k *Credentials) fromFiles() bool {
	return k.settings.CertificateFile != "" || k.settings.KeyFile != "" || k.settings.CAFile != ""
}

// read takes each text from its file, or from the settings without one.
func (k *Credentials) read() (PEM, error) {
	var p PEM
	for _, part := range []struct {
		into  *[]byte
		file  string
		value string
	}{
		{&p.Certificate, k.settings.CertificateFile, k.settings.Certificate},
		{&p.Key, k.settings.KeyFile, string(k.settings.Key)},
		{&p.CA, k.settings.CAFile, k.settings.CA},
	} {
		*part.into = []byte(part.value)
		if part.file == "" {
			continue
		}
		data, err := os.ReadFile(part.file)
		if err != nil {
			return p, k.fail("read file", ErrInvalidCertificate, err)
		}
		*part.into = data
	}
	return p, nil
}

// install checks the texts whole before they come into force.
func (k *Credentials) install(p PEM) error {
	var m material
	if len(p.Certificate) > 0 {
		certificate, err := tls.X509KeyPair(p.Certificate, p.Key)
		if err != nil {
			return k.fail("read certificate", ErrInvalidCertificate, err)
		}
		if now := k.now(); now.After(certificate.Leaf.NotAfter) {
			expired := fmt.Errorf("it expired at %s", certificate.Leaf.NotAfter.UTC().Format(time.RFC3339))
			return k.fail("check certificate", ErrInvalidCertificate, expired)
		}
		m.certificate = &certificate
	} else if k.settings.HasCertificate() {
		return k.fail("read certificate", ErrInvalidCertificate, errors.New("it is empty"))
	}
	if len(p.CA) > 0 {
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(p.CA) {
			return k.fail("read authorities", ErrInvalidCertificate, errors.New("no certificate in PEM form"))
		}
	} else if k.settings.HasCA() {
		return k.fail("read authorities", ErrInvalidCertificate, errors.New("they are empty"))
	}
	k.pem = p
	k.current.Store(&m)
	return nil
}

func (k *Credentials) fail(step string, kind, cause error) error {
	if cause != nil {
		kind = fmt.Errorf("%w: %w", kind, cause)
	}
	return steperr.Wrap(kind, step+" for "+k.purpose, k.purpose)
}

// Server secures an accepted connection; nothing is exchanged before its
// handshake.
func (k *Credentials) Server(conn net.Conn) *tls.Conn { return tls.Server(conn, k.serverConfig()) }

// Listener secures the connections that a listener accepts.
func (k *Credentials) Listener(l net.Listener) net.Listener {
	config := k.serverConfig()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.serverConfig(), nil }
	return tls.NewListener(l, config)
}

// Client secures a connection to an end that has to show a certificate for the
// name, or for the one in the settings; nothing is exchanged before its handshake.
func (k *Credentials) Client(conn net.Conn, name string) *tls.Conn {
	m := k.current.Load()
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: k.expected(name),
		RootCAs:    m.authorities,
		Time:       k.now,
	}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	return tls.Client(conn, config)
}

// Dialer returns a function that opens connections with dial and secures them.
func (k *Credentials) Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Join(err, plain.Close())
		}
		secured := k.Client(plain, host)
		if err := secured.HandshakeContext(ctx); err != nil {
			plain.Close()
			return nil, steperr.Wrap(err, "secure connection", address)
		}
		return secured, nil
	}
}

// expected returns the name that the certificate of the other end must bear.
func (k *Credentials) expected(name string) string {
	if k.settings.ServerName != "" {
		return k.settings.ServerName
	}
	return name
}

// VerifyName checks that the certificate shown on a connection, whose handshake
// is done, bears the name that the other end gave.
func (k *Credentials) VerifyName(conn *tls.Conn, name string) error {
	shown := conn.ConnectionState().PeerCertificates
	if len(shown) == 0 {
		return k.fail("check certificate", ErrInvalidCertificate, errors.New("none was shown"))
	}
	if err := shown[0].VerifyHostname(k.expected(name)); err != nil {
		return k.fail("check certificate", ErrInvalidCertificate, err)
	}
	return nil
}

// serverConfig holds the present material. Session tickets are off, so that no
// session outlives its authorities.
func (k *Credentials) serverConfig() *tls.Config {
	m := k.current.Load()
	config := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		Time:                   k.now,
	}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	if m.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.authorities
	}
	return config
}
