package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
)

// Security secures connections with TLS and certificates.
type Security interface {
	// Client and Server wrap a connection for the dialing and the accepting side. Neither performs
	// the handshake.
	Client(conn net.Conn, host string) *tls.Conn
	Server(conn net.Conn) *tls.Conn
	// VerifyName returns an error unless the certificate of the other end is for the host.
	VerifyName(conn *tls.Conn, host string) error
}

// UseSecurity makes the pool secure the connections that it opens from then on.
func (p *Pool) UseSecurity(security Security) { p.security = security }

// UseSecurity makes the server secure the connections that it accepts. It must be called before
// Serve.
func (s *Server) UseSecurity(security Security) { s.security = security }

// tlsHandshake performs the TLS handshake on a connection to the host and returns the secured
// connection, or returns conn itself if no Security is set. On an error the caller closes conn.
func (p *Pool) tlsHandshake(ctx context.Context, conn net.Conn, host string) (net.Conn, error) {
	if p.security == nil {
		return conn, nil
	}
	tlsConn := p.security.Client(conn, host)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, stepError(ErrHandshake, "secure connection", host, err)
	}
	return tlsConn, nil
}

// wrapTLS wraps an accepted connection for TLS, if a Security is set.
func (s *Server) wrapTLS(conn net.Conn) net.Conn {
	if s.security == nil {
		return conn
	}
	return s.security.Server(conn)
}

// tlsHandshake performs the TLS handshake of an accepted connection that uses TLS.
func (s *Server) tlsHandshake(conn net.Conn) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return stepError(ErrHandshake, "secure connection", conn.RemoteAddr().String(), err)
	}
	return nil
}

// verifyHost checks that the certificate on a secured connection is for the host that its Hello
// names.
func (s *Server) verifyHost(conn net.Conn, host string) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	if err := s.security.VerifyName(tlsConn, host); err != nil {
		cause := errors.Join(errors.New("certificate is not for the host named in the hello"), err)
		return stepError(ErrHandshake, "check identity", host, cause)
	}
	return nil
}
