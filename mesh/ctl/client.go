package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/security"
)

const (
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 64 << 20
)

// Client talks to the admin ports of daemons, to the first that can be reached.
type Client struct {
	scheme    string
	addresses []string
	http      http.Client
}

// NewClient returns a client of the daemons at the addresses, in this order.
func NewClient(addresses []string) *Client {
	return &Client{scheme: "http", addresses: addresses, http: http.Client{Timeout: requestTimeout}}
}

// UseTLS has the client speak TLS.
func (c *Client) UseTLS(keys *security.Keys) {
	c.scheme = "https"
	c.http.Transport = &http.Transport{DialTLSContext: keys.Dialer(new(net.Dialer).DialContext)}
}

// forAddress returns a client of the one daemon forAddress the address.
func (c *Client) forAddress(address string) *Client {
	return &Client{scheme: c.scheme, addresses: []string{address}, http: c.http}
}

// Submit sends a ticket as it stands in its file. Sending it again after an
// unknown outcome is safe: the daemon reports the first result.
func (c *Client) Submit(ctx context.Context, data []byte) (ticket.Status, error) {
	var status ticket.Status
	err := c.send(ctx, http.MethodPost, admin.PathTickets, data, &status)
	return status, err
}

// Ticket returns the status of a ticket.
func (c *Client) Ticket(ctx context.Context, number uint64) (ticket.Status, error) {
	var status ticket.Status
	path := admin.PathTickets + "/" + strconv.FormatUint(number, 10)
	err := c.send(ctx, http.MethodGet, path, nil, &status)
	return status, err
}

// Tickets returns the statuses of all tickets with numbers above after, in
// order of their numbers.
func (c *Client) Tickets(ctx context.Context, after uint64) ([]ticket.Status, error) {
	var all []ticket.Status
	for {
		var page []ticket.Status
		path := fmt.Sprintf("%s?after=%d", admin.PathTickets, after)
		if err := c.send(ctx, http.MethodGet, path, nil, &page); err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return all, nil
		}
		all = append(all, page...)
		last := page[len(page)-1].Number
		if last <= after {
			return all, nil
		}
		after = last
	}
}

// Status returns a daemon's view of the system.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	err := c.send(ctx, http.MethodGet, admin.PathStatus, nil, &status)
	return status, err
}

// send sends a request to one daemon after the other until one carries it out
// or refuses it for what it says. An outcome that was unknown at any of them
// stays unknown.
func (c *Client) send(ctx context.Context, method, path string, body []byte, into any) error {
	var failures []error
	worst := kindUnreachable
	for _, address := range c.addresses {
		failure := c.sendTo(ctx, address, method, path, body, into)
		if failure == nil {
			return nil
		}
		if !failure.kind.retriable() {
			return failure
		}
		worst = max(worst, failure.kind)
		failures = append(failures, failure)
	}
	if len(failures) == 1 {
		return failures[0]
	}
	return &RequestError{kind: worst, Address: "every address", cause: errors.Join(failures...)}
}

func (c *Client) sendTo(ctx context.Context, address, method, path string, body []byte, into any) *RequestError {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return &RequestError{kind: kindBadInput, Address: address, cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return &RequestError{kind: kindOfError(err), Address: address, cause: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &RequestError{kind: kindUnknown, Address: address, cause: err}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return responseError(address, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &RequestError{kind: kindUnknown, Address: address, cause: err}
	}
	return nil
}

// responseError returns the failure that a daemon explained. An answer that is not a
// daemon's own is no explanation.
func responseError(address string, status int, data []byte) *RequestError {
	failure := &RequestError{kind: kindOfStatus(status), Address: address}
	if json.Unmarshal(data, &failure.Response) != nil || failure.Response.Step == "" {
		const maxShown = 200 // bytes
		return &RequestError{kind: kindFailed, Address: address, cause: fmt.Errorf("status %d: %.*s", status, maxShown, data)}
	}
	return failure
}
