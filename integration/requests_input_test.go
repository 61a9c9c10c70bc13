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
	inputRepeats   = 20               // of each bad input
	inputWait      = 15 * time.Second // cap for an answer or the end of a connection
	descriptorWait = 90 * time.Second // cap until idle connections are closed
	descriptorRoom = 10               // above the number before, for connections that stay
	bodyLimit      = 1 << 20          // bytes
)

// TestBadInputOnTheWire sends what no caller or daemon should send to a running
// daemon's ports. Nothing of it may run, the daemon serves on, and it keeps no
// descriptor of it.
func TestBadInputOnTheWire(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := cluster.Start(t, cluster.Options{Zones: 1, HostsPerZone: 2, Direct: true, Adjust: func(s *settings.Settings) {
		s.Entry.MaxBodyBytes = bodyLimit
	}})
	daemon := c.Daemons[0]
	target := c.StartTarget(c.Daemons[1], "counter", "v1", nil)
	daemon.MustSubmit(setUp(1))
	cluster.WaitRevision(t, convergence, 1, c.Daemons...)
	c.WaitTargets("counter", "v1", 1)
	expectAnswer(t, daemon)
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
		status  int // 0 if the connection is to end without an answer
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
				t.Fatalf("%s: status %d, expected %d: %v", test.name, status, test.status, err)
			}
		}
	}
	sendDatagrams(t, daemon.Settings.Gossip.Listen)

	expectAnswer(t, daemon)
	records, err := target.ExecutionRecords()
	is.NoErr(err)
	is.Equal(len(records), 2) // the two calls before and after
	cluster.Eventually(t, descriptorWait, "the daemon closed what was left open", func() error {
		now, err := daemon.Descriptors()
		if err == nil && now > before+descriptorRoom {
			err = fmt.Errorf("%d descriptors, %d before", now, before)
		}
		return err
	})
}

// expectAnswer sends a good request.
func expectAnswer(t *testing.T, daemon *cluster.Daemon) {
	t.Helper()
	is := is.New(t)
	response, err := http.Get("http://" + daemon.Settings.Entry.Listen + "/counter/lookups/1")
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK)
}

// sendRaw sends bytes on a connection and returns the status of the answer, or
// 0 if the connection ended without one.
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
			return 0, fmt.Errorf("the connection stayed open: %w", err)
		}
		return 0, nil
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

// sendDatagrams sends garbage of several lengths.
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
