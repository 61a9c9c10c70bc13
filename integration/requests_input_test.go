package integration

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

const (
	inputRepeats     = 20               // of each invalid input
	inputWait        = 15 * time.Second // limit for a response or the end of a connection
	descriptorWait   = 90 * time.Second // limit for the closing of idle connections
	descriptorMargin = 10               // allowed above the initial number, for connections that stay open
	bodyLimit        = 1 << 20          // bytes
)

// TestBadInputOnTheWire sends invalid input to the entry, peer and gossip ports of a running daemon. It
// checks that no target runs any of it, that the daemon serves further requests, and that it leaks no
// file descriptors.
func TestBadInputOnTheWire(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := cluster.Start(t, cluster.Options{Zones: 1, HostsPerZone: 2, Direct: true, Adjust: func(s *settings.Settings) {
		s.Entry.MaxBodyBytes = bodyLimit
	}})
	daemon := c.Daemons[0]
	target := c.StartTarget(c.Daemons[1], "counter", "v1", nil)
	daemon.MustSubmit(setupTicket(1))
	cluster.WaitRevision(t, convergence, 1, c.Daemons...)
	c.WaitTargets("counter", "v1", 1)
	checkLookup(t, daemon)
	before, err := daemon.Descriptors()
	is.NoErr(err)

	var hello bytes.Buffer
	_, err = protodelim.MarshalTo(&hello, &peerpb.Hello{Protocol: 99, Host: "stranger", Zone: "zone-a"})
	is.NoErr(err)
	smuggled := "GET /counter/orders/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	cases := []struct {
		name    string
		address string
		input   string
		status  int // 0 if the connection must end without a response
	}{
		{"oversized header", daemon.Settings.Entry.Listen, "GET /counter/orders HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", 128<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"oversized body", daemon.Settings.Entry.Listen, fmt.Sprintf("POST /counter/orders HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 2*bodyLimit, strings.Repeat("a", 2*bodyLimit)), http.StatusRequestEntityTooLarge},
		{"length beside chunks", daemon.Settings.Entry.Listen, "POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, http.StatusNotFound},
		{"two lengths", daemon.Settings.Entry.Listen, "POST /counter/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\naaaaaa", http.StatusBadRequest},
		{"unknown transfer encoding", daemon.Settings.Entry.Listen, "POST /counter/orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", http.StatusNotImplemented},
		{"bad chunk", daemon.Settings.Entry.Listen, "POST /counter/orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\naaa\r\n", http.StatusBadRequest},
		{"no HTTP", daemon.Settings.Entry.Listen, "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", http.StatusBadRequest},
		{"garbage on the peer port", daemon.Settings.Peer.Listen, strings.Repeat("\xff\x00garbage", 100), 0},
		{"another protocol version", daemon.Settings.Peer.Listen, hello.String(), 0},
	}
	for _, test := range cases {
		for range inputRepeats {
			status, err := sendRaw(test.address, test.input)
			if err != nil || status != test.status {
				t.Fatalf("%s: got status %d, want %d: %v", test.name, status, test.status, err)
			}
		}
	}
	sendDatagrams(t, daemon.Settings.Gossip.Listen)

	checkLookup(t, daemon)
	records, err := target.ExecutionRecords()
	is.NoErr(err)
	is.Equal(len(records), 2) // the lookups before and after the invalid input
	cluster.Eventually(t, descriptorWait, "the daemon has closed the idle connections", func() error {
		now, err := daemon.Descriptors()
		if err == nil && now > before+descriptorMargin {
			err = fmt.Errorf("%d open file descriptors, %d before the invalid input", now, before)
		}
		return err
	})
}

// checkLookup sends a valid request and checks that its status is 200.
func checkLookup(t *testing.T, daemon *cluster.Daemon) {
	t.Helper()
	is := is.New(t)
	response, err := http.Get("http://" + daemon.Settings.Entry.Listen + "/counter/lookups/1")
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK)
}

// sendRaw sends bytes on a new connection and returns the status of the response, or 0 if the connection
// ended without one. It returns an error if neither occurs within inputWait.
func sendRaw(address, input string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, inputWait)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(inputWait)); err != nil {
		return 0, err
	}
	go func() { _, _ = io.WriteString(conn, input) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return 0, fmt.Errorf("no response, and the connection stayed open: %w", err)
		}
		return 0, nil
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

// sendDatagrams sends invalid datagrams with lengths of 1 byte to 16 KiB.
func sendDatagrams(t *testing.T, address string) {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("udp", address)
	is.NoErr(err)
	defer conn.Close()
	for length := 1; length <= 1<<14; length *= 2 {
		_, err := conn.Write(bytes.Repeat([]byte{0xff}, length))
		is.NoErr(err)
	}
}
