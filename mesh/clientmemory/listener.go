package clientmemory

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
)

// ErrShort means that the memory of this process that clients may hold is used up.
var ErrShort = errors.New("the memory for clients is used up")

// ErrRead is ErrShort as the error of a read, for which net/http closes the connection without a response.
var ErrRead error = &net.OpError{Op: "read", Net: "tcp", Err: ErrShort}

// bodyCopies is how often the handlers of the admin port hold a body: as text and as the values decoded from it.
const bodyCopies = 3

// Listener counts the connections of a listener. Those that can't be granted are closed at once.
func (m *Memory) Listener(l net.Listener, encrypted bool) net.Listener {
	return &listener{l, m, encrypted}
}

type listener struct {
	net.Listener
	memory    *Memory
	encrypted bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		account, ok := l.memory.Open(ConnBytes, func() { _ = accepted.Close() })
		if !ok {
			_ = accepted.Close()
			continue
		}
		if account != nil {
			account.opaque = l.encrypted
		}
		return &conn{accepted, account}, nil
	}
}

type conn struct {
	net.Conn
	account *Account
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.account.ReadBytes(p[:n]) {
		_ = c.Conn.Close() // net/http may ignore one error and read again
		return 0, ErrRead
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	return c.account.Write(c.Conn, p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.account.ConnClosed()
	return c.Conn.Close()
}

// CloseWrite closes the sending direction alone, as net/http does before it closes a connection with unread
// bytes.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// accountOf returns the account of a connection of a Listener, or nil.
func accountOf(c net.Conn) *Account {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	if counted, ok := c.(*conn); ok {
		return counted.account
	}
	return nil
}

type accountKey struct{}

// Attach makes a server follow the state of the connections of a Listener, and counts what its handler reads of
// bodies. It must be called before the server serves.
func Attach(server *http.Server) {
	server.ConnState = func(c net.Conn, state http.ConnState) { accountOf(c).Track(state) }
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, accountKey{}, accountOf(c))
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if account, _ := r.Context().Value(accountKey{}).(*Account); account != nil && r.Body != http.NoBody {
			r.Body = &body{r.Body, account}
		}
		handler.ServeHTTP(w, r)
	})
}

type body struct {
	io.ReadCloser
	account *Account
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.account.GrowRequest(int64(bodyCopies * n)) {
		return 0, ErrShort
	}
	return n, err
}
