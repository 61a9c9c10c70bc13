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
	requestTimeout   = 10 * time.Second // of one request to a daemon
	maxResponseBytes = 64 << 20         // of one response body
)

// Client sends requests to the admin ports of daemons and uses the first daemon that can be
// reached.
type Client struct {
	scheme    string
	addresses []string
	http      http.Client
}

// NewClient returns a client that tries the daemons at the addresses (host:port) in this order.
func NewClient(addresses []string) *Client {
	return &Client{scheme: "http", addresses: addresses, http: http.Client{Timeout: requestTimeout}}
}

// UseTLS makes the client connect with TLS and the given keys.
func (c *Client) UseTLS(keys *security.Credentials) {
	c.scheme = "https"
	c.http.Transport = &http.Transport{DialTLSContext: keys.Dialer(new(net.Dialer).DialContext)}
}

// forAddress returns a client of the daemon at the address only.
func (c *Client) forAddress(address string) *Client {
	return &Client{scheme: c.scheme, addresses: []string{address}, http: c.http}
}

// Submit sends the text of a ticket unchanged. Submitting it again after an unknown outcome
// is safe: the daemon reports the first result.
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

// Tickets returns the statuses of all tickets with numbers above after, in ascending order.
// It requests page after page until a page is empty.
func (c *Client) Tickets(ctx context.Context, after uint64) ([]ticket.Status, error) {
	var statuses []ticket.Status
	for {
		var page []ticket.Status
		path := fmt.Sprintf("%s?after=%d", admin.PathTickets, after)
		if err := c.send(ctx, http.MethodGet, path, nil, &page); err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return statuses, nil
		}
		statuses = append(statuses, page...)
		last := page[len(page)-1].Number
		if last <= after {
			return statuses, nil
		}
		after = last
	}
}

// Status returns the status of the system as one daemon reports it.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	err := c.send(ctx, http.MethodGet, admin.PathStatus, nil, &status)
	return status, err
}

// send sends a request to one daemon after the other until one carries it out or refuses its
// content, and decodes the response into result. If the outcome was unknown at any of them,
// the returned error says so.
func (c *Client) send(ctx context.Context, method, path string, body []byte, result any) error {
	var requestErrs []error
	worst := kindUnreachable
	for _, address := range c.addresses {
		requestErr := c.sendTo(ctx, address, method, path, body, result)
		if requestErr == nil {
			return nil
		}
		if !requestErr.kind.retriable() {
			return requestErr
		}
		worst = max(worst, requestErr.kind)
		requestErrs = append(requestErrs, requestErr)
	}
	if len(requestErrs) == 1 {
		return requestErrs[0]
	}
	return &RequestError{kind: worst, Address: "every address", cause: errors.Join(requestErrs...)}
}

// sendTo sends a request to the daemon at one address.
func (c *Client) sendTo(ctx context.Context, address, method, path string, body []byte, result any) *RequestError {
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
	if err := json.Unmarshal(data, result); err != nil {
		return &RequestError{kind: kindUnknown, Address: address, cause: err}
	}
	return nil
}

// responseError returns the error for a response with an error status. A body that is not a
// daemon's admin.Error becomes the cause as text.
func responseError(address string, status int, data []byte) *RequestError {
	requestErr := &RequestError{kind: kindOfStatus(status), Address: address}
	if json.Unmarshal(data, &requestErr.Response) != nil || requestErr.Response.Step == "" {
		const maxShown = 200 // bytes
		return &RequestError{kind: kindFailed, Address: address, cause: fmt.Errorf("status %d: %.*s", status, maxShown, data)}
	}
	return requestErr
}
