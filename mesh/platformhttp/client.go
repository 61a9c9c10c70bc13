// Package platformhttp is the platform's storage service over HTTP: a client
// that implements store.Store, and the messages that it exchanges.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/steperr"
)

const (
	defaultTimeout     = 2 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdleConnections = 8
	maxAnswerBytes     = 256 << 20
)

// Client is a store.Store over HTTP. It is safe for concurrent use.
type Client struct {
	base      string
	peer      string
	timeout   time.Duration
	transport *http.Transport
	dialer    net.Dialer
	reads     atomic.Uint64
	writes    atomic.Uint64
	sent      atomic.Uint64
	received  atomic.Uint64
}

var _ store.Store = (*Client)(nil)

// Counts are the operations that a client started.
type Counts struct {
	Reads  uint64
	Writes uint64
}

// Option changes how a client connects.
type Option func(*Client)

// WithLocalIP binds outgoing connections to a local IP address; an empty one
// lets the system choose.
func WithLocalIP(ip string) Option {
	return func(c *Client) {
		if ip == "" {
			return
		}
		c.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(ip)}
	}
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// WithSecurity secures the connections to an https URL; secure adds TLS to those
// that a function opens.
func WithSecurity(secure func(DialFunc) DialFunc) Option {
	return func(c *Client) {
		c.transport.DialTLSContext = secure(c.dial)
	}
}

// New returns a client of the service at s.URL. Every operation is bounded by
// s.Timeout.
func New(s settings.Platform, opts ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(s.URL, "/"),
		peer:    peerOf(s.URL),
		timeout: s.Timeout.Std(),
		transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
		},
	}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	c.transport.DialContext = c.dial
	for _, opt := range opts {
		opt(c)
	}
	return c
}

func peerOf(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return base
	}
	return u.Host
}

// Counts returns the operations started so far.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.reads.Load(), Writes: c.writes.Load()}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get implements store.Table.
func (c *Client) Get(ctx context.Context, key string) (store.Row, error) {
	var row store.Row
	data, err := c.read(ctx, "platform.get", PathRows, url.Values{ParamKey: {key}})
	if err != nil {
		return row, err
	}
	return row, c.decode("platform.get", data, &row)
}

// Scan implements store.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	query := url.Values{
		ParamPrefix: {prefix},
		ParamAfter:  {after},
		ParamLimit:  {strconv.Itoa(limit)},
	}
	data, err := c.read(ctx, "platform.scan", PathScan, query)
	if err != nil {
		return nil, err
	}
	var rows Rows
	return rows.Rows, c.decode("platform.scan", data, &rows)
}

// Txn implements store.Table.
func (c *Client) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) error {
	body, err := json.Marshal(Txn{Compares: compares, Writes: writes})
	if err != nil {
		return steperr.Wrap(err, "platform.txn", c.peer)
	}
	return c.write(ctx, "platform.txn", http.MethodPost, PathTxn, nil, body)
}

// PutObject implements store.Objects.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	return c.write(ctx, "platform.put-object", http.MethodPut, PathObjects, url.Values{ParamKey: {key}}, data)
}

// GetObject implements store.Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.read(ctx, "platform.get-object", PathObjects, url.Values{ParamKey: {key}})
}

// DeleteObject implements store.Objects.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	return c.write(ctx, "platform.delete-object", http.MethodDelete, PathObjects, url.Values{ParamKey: {key}}, nil)
}

func (c *Client) decode(step string, data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return c.fail(step, store.ErrUnavailable, err)
	}
	return nil
}

func (c *Client) read(ctx context.Context, step, path string, query url.Values) ([]byte, error) {
	c.reads.Add(1)
	reply := c.exchange(ctx, http.MethodGet, path, query, nil)
	if kind := reply.readError(); kind != nil {
		return nil, c.fail(step, kind, reply.cause())
	}
	return reply.body, nil
}

func (c *Client) write(ctx context.Context, step, method, path string, query url.Values, body []byte) error {
	c.writes.Add(1)
	reply := c.exchange(ctx, method, path, query, body)
	if kind := reply.writeError(); kind != nil {
		return c.fail(step, kind, reply.cause())
	}
	return nil
}

// exchange sends one request and reads its whole answer.
func (c *Client) exchange(ctx context.Context, method, path string, query url.Values, body []byte) reply {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent delivery
	req, err := http.NewRequestWithContext(sent.trace(ctx), method, c.base+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return reply{err: err, delivered: sent.possible()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return reply{status: resp.StatusCode, body: data, err: err, delivered: true}
}
