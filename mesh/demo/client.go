package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
)

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// client sends requests to the admin ports of the daemons.
type client struct{ http *http.Client }

func newClient() *client { return &client{http: &http.Client{Timeout: 10 * time.Second}} }

func (c *client) status(ctx context.Context, address string) (admin.Status, error) {
	var status admin.Status
	err := c.exchange(ctx, http.MethodGet, "http://"+address+admin.PathStatus, nil, &status)
	return status, err
}

func (c *client) ticket(ctx context.Context, address string, number uint64) (ticket.Status, error) {
	var status ticket.Status
	url := fmt.Sprintf("http://%s%s/%d", address, admin.PathTickets, number)
	err := c.exchange(ctx, http.MethodGet, url, nil, &status)
	return status, err
}

func (c *client) submit(ctx context.Context, address string, t ticket.Ticket) (ticket.Status, error) {
	var status ticket.Status
	body, err := json.Marshal(t)
	if err != nil {
		return status, err
	}
	err = c.exchange(ctx, http.MethodPost, "http://"+address+admin.PathTickets, body, &status)
	return status, err
}

// exchange sends a request and decodes the JSON response into result.
func (c *client) exchange(ctx context.Context, method, url string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: status %d: %s", method, url, response.StatusCode, data)
	}
	return json.Unmarshal(data, result)
}
