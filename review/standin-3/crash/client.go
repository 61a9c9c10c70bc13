package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client sends requests, one after another, on one kept connection.
type client struct {
	run     *run
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
	key     string // of Idempotency-Key, if any
}

// answer is what a client got.
type answer struct {
	status int // 0 if there was none
	signed bool
	body   string
	err    error
}

func (m *machine) newClient() *client { return &client{run: m.fleet.run, machine: m} }

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.machine.outbound, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer.
func (c *client) send(id, method, host, path string, deadline time.Duration, body string) answer {
	got := c.exchange(id, method, host, path, deadline, body)
	c.run.log("client at %s: %s %s %s: status %d, signed %v, %d bytes, error %v", c.machine.name, id, method, path, got.status, got.signed, len(got.body), got.err)
	return got
}

func (c *client) exchange(id, method, host, path string, deadline time.Duration, body string) answer {
	if err := c.connect(); err != nil {
		return answer{err: err}
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	length := ""
	if body != "" || method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if c.key != "" {
		length += "Idempotency-Key: " + c.key + "\r\n"
	}
	if _, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s", method, path, host, headerID, id, headerDeadline, deadline.Milliseconds(), length, body); err != nil {
		c.close()
		return answer{err: err}
	}
	request, _ := http.NewRequest(method, "http://"+host+path, nil)
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		c.close()
		return answer{err: err}
	}
	data, err := io.ReadAll(response.Body)
	got := answer{status: response.StatusCode, signed: response.Header.Get(headerSigned) != "", body: string(data), err: err}
	if err != nil || response.Close {
		c.close()
	}
	return got
}
