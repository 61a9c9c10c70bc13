package peer

import (
	"context"
	"net"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

const (
	// dialTimeout bounds opening a connection, with its handshakes.
	dialTimeout = time.Second
	// connectTimeout bounds the TCP handshake, which takes one round trip and no work of the other
	// daemon. It ends before the kernel sends the first packet again, after a second, so that a
	// longer wait would reach no more hosts.
	connectTimeout = 250 * time.Millisecond
)

// connect opens a connection of the given kind to the daemon, and returns it with the Hello of the
// daemon. It fails if the daemon is not that of key.host.
func (p *Pool) connect(ctx context.Context, key remoteKey, carries peerpb.StreamKind) (net.Conn, *peerpb.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	tcpConn, err := p.limit.Dial(ctx, p.dialer().DialContext, "tcp", key.address)
	if err != nil {
		return nil, nil, stepError(ErrDial, "connect", key.host, err)
	}
	conn, err := p.tlsHandshake(ctx, tcpConn, key.host)
	if err != nil {
		tcpConn.Close()
		return nil, nil, err
	}
	stopInterrupt := context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })
	hello, err := dialHandshake(conn, p.self, key.host, carries)
	if !stopInterrupt() && err == nil {
		err = stepError(ErrHandshake, "greet", key.host, ctx.Err())
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, hello, nil
}

// dialer returns a dialer that binds to the configured local address, if there is one.
func (p *Pool) dialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: connectTimeout}
	if p.settings.Bind != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.settings.Bind)}
	}
	return dialer
}

// dialSession opens a connection to the daemon and a session on it.
func (p *Pool) dialSession(key remoteKey) (*session, error) {
	conn, hello, err := p.connect(context.Background(), key, peerpb.StreamKind_STREAM_KIND_UNSPECIFIED)
	if err != nil {
		return nil, err
	}
	s, err := newSession(conn, identityOf(hello), true, p.settings, &p.controlBytes, p.log)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}
