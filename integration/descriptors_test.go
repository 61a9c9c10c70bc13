package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/integration/cluster"
)

const (
	descriptorLimit = 256 // of each daemon
	crowdSize       = 600 // connections of callers to one daemon
	// promptResponse bounds the time in which a daemon beyond its limits responds or closes the connection.
	promptResponse = time.Second
)

// openCrowd opens connections to the daemon's entry, without a request, until the test ends.
func openCrowd(t *testing.T, entry string, size int) (closeAll func()) {
	t.Helper()
	var conns []net.Conn
	closeAll = func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
		conns = nil
	}
	t.Cleanup(closeAll)
	for range size {
		conn, err := net.DialTimeout("tcp", entry, promptResponse)
		if err != nil {
			t.Fatalf("after %d connections: %v", len(conns), err)
		}
		conns = append(conns, conn)
	}
	return closeAll
}

// endedPromptly sends a request on a new connection and returns an error unless the daemon responds or
// closes the connection in time.
func endedPromptly(entry string) error {
	conn, err := net.DialTimeout("tcp", entry, promptResponse)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(promptResponse))
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 900\r\n\r\n", lookupPath)
	if _, err := bufio.NewReader(conn).ReadByte(); err != nil && isTimeoutError(err) {
		return fmt.Errorf("neither a response nor a close within %v", promptResponse)
	}
	return nil
}

func isTimeoutError(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// statusOf sends a request to the daemon's entry and returns the status of the response.
func statusOf(entry string) (int, error) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + entry + lookupPath)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func TestCrowdOfConnectionsLeavesDescriptorsToPeersAndAdmin(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRequestTest(t, requestTestOptions{zones: 1, hosts: 2, targetHosts: 1, descriptors: descriptorLimit})
	crowded, other := r.Daemons[0], r.Daemons[1]

	closeCrowd := openCrowd(t, crowded.Settings.Entry.Listen, crowdSize)
	time.Sleep(promptResponse)
	client := http.Client{Timeout: promptResponse, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + crowded.Settings.Admin.Listen + "/v1/status")
	is.NoErr(err) // the admin port responds
	_ = response.Body.Close()
	is.NoErr(endedPromptly(crowded.Settings.Entry.Listen))
	for range 10 {
		status, err := statusOf(other.Settings.Entry.Listen) // the target is on the crowded host
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}

	closeCrowd()
	cluster.Eventually(t, 3*time.Second, "the daemon serves again", func() error {
		status, err := statusOf(crowded.Settings.Entry.Listen)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}
