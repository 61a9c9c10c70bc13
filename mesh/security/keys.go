// Package security loads the certificates for the daemon's ports and connections and secures
// connections with TLS, with or without client certificates. Certificates can be replaced while
// they are in use; open connections keep the certificates that they started with.
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

// Causes of errors about certificates, keys and authorities; such errors wrap one of them.
var (
	// ErrInvalidCertificate means that a certificate, private key or authority is invalid, missing
	// or expired, is for another name, or can't be read from its file.
	ErrInvalidCertificate = errors.New("security: invalid certificate")
	// ErrFileBacked means that Replace was called for credentials that are read from files.
	ErrFileBacked = errors.New("security: the certificate is read from files and can't be replaced by value")
)

// PEM contains a certificate chain, its private key and the certificates of the trusted
// authorities, each as PEM text.
type PEM struct {
	Certificate []byte
	Key         []byte
	CA          []byte
}

// equal reports whether all texts are the same.
func (p *PEM) equal(other *PEM) bool {
	return bytes.Equal(p.Certificate, other.Certificate) && bytes.Equal(p.Key, other.Key) && bytes.Equal(p.CA, other.CA)
}

// Credentials are the certificate, private key and trusted authorities for one purpose, such as the
// connections between daemons. They are safe for concurrent use.
type Credentials struct {
	purpose  string
	settings settings.TLS
	now      func() time.Time
	current  atomic.Pointer[material]

	replaceMu sync.Mutex // serializes Replace and Reload
	pem       PEM        // source of current; guarded by replaceMu
}

// material is the parsed content of a PEM.
type material struct {
	certificate *tls.Certificate // nil if none is set
	authorities *x509.CertPool   // nil for the authorities of the system
}

// Load loads the credentials for a purpose, such as "peer", which names them in errors. It returns
// nil without an error if s is not enabled. now returns the time at which certificates are checked.
func Load(purpose string, s settings.TLS, now func() time.Time) (*Credentials, error) {
	if !s.Enabled {
		return nil, nil
	}
	c := &Credentials{purpose: purpose, settings: s, now: now}
	pem, err := c.read()
	if err != nil {
		return nil, err
	}
	return c, c.install(pem)
}

// Purpose returns the purpose that Load received.
func (c *Credentials) Purpose() string { return c.purpose }

// Mutual reports whether clients that connect must present a certificate.
func (c *Credentials) Mutual() bool { return c.settings.HasCA() }

// Expires returns the expiry time of the certificate, or the zero time if there is none.
func (c *Credentials) Expires() time.Time {
	if certificate := c.current.Load().certificate; certificate != nil {
		return certificate.Leaf.NotAfter
	}
	return time.Time{}
}

// Replace makes new connections use the credentials in p. An empty CA keeps the current
// authorities. On an error the current credentials stay in use; it is ErrFileBacked if they are
// read from files.
func (c *Credentials) Replace(p PEM) error {
	if c.fromFiles() {
		return c.fail("replace", ErrFileBacked, nil)
	}
	c.replaceMu.Lock()
	defer c.replaceMu.Unlock()
	if len(p.CA) == 0 {
		p.CA = c.pem.CA
	}
	return c.install(p)
}

// Reload reads the files again, makes new connections use their content and reports whether it
// changed. On an error the current credentials stay in use.
func (c *Credentials) Reload() (changed bool, err error) {
	if !c.fromFiles() {
		return false, nil
	}
	c.replaceMu.Lock()
	defer c.replaceMu.Unlock()
	pem, err := c.read()
	if err != nil || pem.equal(&c.pem) {
		return false, err
	}
	return true, c.install(pem)
}

// fromFiles reports whether any of the credentials are read from a file.
func (c *Credentials) fromFiles() bool {
	return c.settings.CertificateFile != "" || c.settings.KeyFile != "" || c.settings.CAFile != ""
}

// read returns the PEM texts, each from its file or, without a file, from the settings.
func (c *Credentials) read() (PEM, error) {
	var p PEM
	for _, part := range []struct {
		into  *[]byte
		file  string
		value string
	}{
		{&p.Certificate, c.settings.CertificateFile, c.settings.Certificate},
		{&p.Key, c.settings.KeyFile, string(c.settings.Key)},
		{&p.CA, c.settings.CAFile, c.settings.CA},
	} {
		*part.into = []byte(part.value)
		if part.file == "" {
			continue
		}
		data, err := os.ReadFile(part.file)
		if err != nil {
			return p, c.fail("read file", ErrInvalidCertificate, err)
		}
		*part.into = data
	}
	return p, nil
}

// install parses and checks all of p before new connections use any of it.
func (c *Credentials) install(p PEM) error {
	var m material
	if len(p.Certificate) > 0 {
		certificate, err := tls.X509KeyPair(p.Certificate, p.Key)
		if err != nil {
			return c.fail("read certificate", ErrInvalidCertificate, err)
		}
		if now := c.now(); now.After(certificate.Leaf.NotAfter) {
			expired := fmt.Errorf("it expired at %s", certificate.Leaf.NotAfter.UTC().Format(time.RFC3339))
			return c.fail("check certificate", ErrInvalidCertificate, expired)
		}
		m.certificate = &certificate
	} else if c.settings.HasCertificate() {
		return c.fail("read certificate", ErrInvalidCertificate, errors.New("the certificate is empty"))
	}
	if len(p.CA) > 0 {
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(p.CA) {
			return c.fail("read authorities", ErrInvalidCertificate, errors.New("no certificate in PEM form"))
		}
	} else if c.settings.HasCA() {
		return c.fail("read authorities", ErrInvalidCertificate, errors.New("the list of authorities is empty"))
	}
	c.pem = p
	c.current.Store(&m)
	return nil
}

// fail returns an error that wraps kind and, if it is not nil, cause, with the step and the
// purpose.
func (c *Credentials) fail(step string, kind, cause error) error {
	if cause != nil {
		kind = fmt.Errorf("%w: %w", kind, cause)
	}
	return steperr.Wrap(kind, step+" for "+c.purpose, c.purpose)
}

// Server wraps an accepted connection with TLS; it does not perform the handshake.
func (c *Credentials) Server(conn net.Conn) *tls.Conn { return tls.Server(conn, c.serverConfig()) }

// Listener wraps a listener so that it accepts TLS connections, each with the credentials that are
// current at its handshake.
func (c *Credentials) Listener(l net.Listener) net.Listener {
	config := c.serverConfig()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.serverConfig(), nil }
	return tls.NewListener(l, config)
}

// Client wraps a connection that was opened to a server with TLS; it does not perform the
// handshake. The server's certificate must be valid for name or, if it is set, for ServerName of
// the settings.
func (c *Credentials) Client(conn net.Conn, name string) *tls.Conn {
	m := c.current.Load()
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: c.expectedName(name),
		RootCAs:    m.authorities,
		Time:       c.now,
	}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	return tls.Client(conn, config)
}

// Dialer returns a function that opens connections with dial and performs the TLS handshake. The
// server's certificate must be valid for the host in the address, as in Client.
func (c *Credentials) Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		tlsConn := c.Client(conn, host)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, steperr.Wrap(err, "secure connection", address)
		}
		return tlsConn, nil
	}
}

// expectedName returns the name for which the certificate of the other end must be valid.
func (c *Credentials) expectedName(name string) string {
	if c.settings.ServerName != "" {
		return c.settings.ServerName
	}
	return name
}

// VerifyName returns an error unless the certificate that the other end presented is valid for name
// or, if it is set, for ServerName of the settings. The handshake of conn must have completed.
func (c *Credentials) VerifyName(conn *tls.Conn, name string) error {
	certificates := conn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return c.fail("check certificate", ErrInvalidCertificate, errors.New("the other end presented no certificate"))
	}
	if err := certificates[0].VerifyHostname(c.expectedName(name)); err != nil {
		return c.fail("check certificate", ErrInvalidCertificate, err)
	}
	return nil
}

// serverConfig returns a server configuration with the current material. Session tickets are off,
// so that no client resumes a session whose authority is no longer trusted.
func (c *Credentials) serverConfig() *tls.Config {
	m := c.current.Load()
	config := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		Time:                   c.now,
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
