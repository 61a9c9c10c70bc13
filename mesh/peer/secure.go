package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
)

// Security secures connections with certificates.
type Security interface {
	// Client and Server wrap a connection; its handshake is still to be done.
	Client(conn net.Conn, host string) *tls.Conn
	Server(conn net.Conn) *tls.Conn
	// VerifyName checks that the certificate shown bears the name of the host.
	VerifyName(conn *tls.Conn, host string) error
}

// UseSecurity secures the connections that the pool opens from now on.
func (p *Pool) UseSecurity(security Security) { p.security = security }

// UseSecurity secures the connections that the server accepts. It is called
// before Serve.
func (s *Server) UseSecurity(security Security) { s.security = security }

// secure does the TLS handshake on a connection to the host, if there is
// security. It leaves closing the connection to its caller.
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

// wrap prepares an accepted connection for its handshake.
func (s *Server) wrapTLS(conn net.Conn) net.Conn {
	if s.security == nil {
		return conn
	}
	return s.security.Server(conn)
}

// handshake does the TLS handshake of an accepted connection that has one.
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

// verify checks that a secured connection comes from the host that its Hello
// names.
func (s *Server) verifyHost(conn net.Conn, host string) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	if err := s.security.VerifyName(tlsConn, host); err != nil {
		cause := errors.Join(errors.New("the certificate is another's"), err)
		return stepError(ErrHandshake, "check identity", host, cause)
	}
	return nil
}
