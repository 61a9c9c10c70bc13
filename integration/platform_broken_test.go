package integration

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/workerserver"
	"sassafrasnotch.example/platform/wire"
)

const (
	uploadLength   = 8 << 20  // bytes
	uploadPart     = 32 << 10 // bytes
	uploadInterval = time.Millisecond
	uploadsAtOnce  = 12
	// uploadTimeout is that of the routes; every response ends long before.
	uploadTimeout = 10 * time.Second
)

// pacedBody is a request body of which a part can be read in each uploadInterval.
type pacedBody struct{ remaining int }

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	time.Sleep(uploadInterval)
	n := min(len(p), uploadPart, b.remaining)
	b.remaining -= n
	return n, nil
}

// rawResponse responds to a request on its connection, which is closed afterwards.
type rawResponse func(conn *net.TCPConn, request *http.Request)

// startRawCluster starts a system whose workers respond to requests by the last segment of their path, if there is a
// response for it, and whose routes have uploadTimeout.
func startRawCluster(t *testing.T, responses map[string]rawResponse) *platformCluster {
	t.Helper()
	p := startPlatformClusterOf(t, func(config *workerserver.Config) {
		config.Slots = 4 * uploadsAtOnce
		config.RespondRaw = func(request *http.Request) func(*net.TCPConn) {
			respond := responses[path.Base(request.URL.Path)]
			if respond == nil {
				return nil
			}
			return func(conn *net.TCPConn) { respond(conn, request) }
		}
	})
	config := testConfig(4)
	for i := range config.Routes {
		config.Routes[i].TimeoutMs = uploadTimeout.Milliseconds()
	}
	p.WriteOperatorRow(wire.KeyConfig, config)
	time.Sleep(applyWithin)
	for _, d := range p.Daemons {
		p.eventually(applyWithin*5, "requests are served", func() error { return p.served(d) })
	}
	return p
}

// served returns an error unless a request through the daemon is answered by a worker.
func (p *platformCluster) served(d *cluster.Daemon) error {
	if a := p.send(d, http.MethodGet, "/safe/1", ""); !a.complete() {
		return fmt.Errorf("status %d, error %v", a.status, a.err)
	}
	return nil
}

// signedFields are the fields of a worker's response to the request.
func signedFields(request *http.Request) string {
	return wire.HeaderRequestID + ": " + request.Header.Get(wire.HeaderRequestID) + "\r\n" + wire.HeaderSignature + ": signed-r\r\n"
}

// upload sends a request with a body of uploadLength, whose length is stated if it is not negative.
func (p *platformCluster) upload(d *cluster.Daemon, requestPath string, length int64) callerResult {
	a := callerResult{id: fmt.Sprintf("%016x", p.ids.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), uploadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Settings.Entry.Listen+requestPath, &pacedBody{uploadLength})
	if err != nil {
		a.err = err
		return a
	}
	request.Host, request.ContentLength = platformHost, length
	request.Header.Set(wire.HeaderRequestID, a.id)
	request.Header.Set(wire.HeaderDeadline, fmt.Sprint(uploadTimeout.Milliseconds()))
	return p.do(request, a)
}

// uploadRow is a response without a length and the kind of upload that it responds to.
type uploadRow struct {
	name     string
	length   int64 // that callers state, negative for chunks
	body     string
	complete bool // whether callers get it
	respond  rawResponse
}

// uploadRows are responses that begin during an upload and are cut off by a reset after a while, or end in order.
func uploadRows() []uploadRow {
	ends := []struct {
		name     string
		complete bool
		end      func(conn *net.TCPConn)
	}{
		{"reset", false, func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
		{"orderly", true, func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) }},
	}
	var rows []uploadRow
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for length, lengthName := range map[int64]string{uploadLength: "with a length", -1: "in chunks"} {
			for _, size := range []int{10, 100_000} {
				for _, pause := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
					for _, end := range ends {
						body := strings.Repeat("x", size)
						rows = append(rows, uploadRow{
							fmt.Sprintf("%s, %s, %d bytes, %s after %v", version, lengthName, size, end.name, pause), length, body, end.complete,
							func(conn *net.TCPConn, request *http.Request) {
								_, _ = io.WriteString(conn, version+" 200 OK\r\n"+signedFields(request)+"\r\n"+body)
								time.Sleep(pause)
								end.end(conn)
							},
						})
					}
				}
			}
		}
	}
	return rows
}

// Guards against a worker's response without a length that a reset cuts off during an upload, and that a caller reads
// to its end without an error; and against one that ends in order and does not reach its caller.
func TestResponsesWithoutALengthDuringAnUpload(t *testing.T) {
	t.Parallel()
	rows := uploadRows()
	responses := make(map[string]rawResponse)
	for i, row := range rows {
		responses[fmt.Sprint("upload-", i)] = row.respond
	}
	p := startRawCluster(t, responses)
	for i, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			results := make([]callerResult, uploadsAtOnce)
			var uploads sync.WaitGroup
			for j := range results {
				uploads.Go(func() {
					results[j] = p.upload(p.Daemons[j%len(p.Daemons)], fmt.Sprint("/unsafe/upload-", i), row.length)
				})
			}
			uploads.Wait()
			for _, a := range results {
				is.Equal(a.err == nil && a.status == http.StatusOK, row.complete)
				is.True(!row.complete || a.body == row.body)
			}
		})
	}
}

// headRow is a response with a broken head, and what callers got in its place.
type headRow struct {
	name, segment string
	safe, unsafe  []callerResult
}

// headRowsAtOnce is the number of rows whose requests are sent at the same time.
const headRowsAtOnce = 8

// checkBrokenHeads has workers respond with the lines in front of a body that looks like a success, with and without a
// length. No caller may get a response, and a request that may not be repeated runs once.
func checkBrokenHeads(t *testing.T, heads map[string]string) {
	t.Helper()
	responses := make(map[string]rawResponse)
	var rows []*headRow
	for name, head := range heads {
		for framing, field := range map[string]string{"length": "Content-Length: 4\r\n", "no length": ""} {
			row := &headRow{name: name + ", " + framing, segment: fmt.Sprint("head-", len(rows))}
			rows = append(rows, row)
			responses[row.segment] = func(conn *net.TCPConn, request *http.Request) {
				_, _ = io.WriteString(conn, head+field+signedFields(request)+"\r\nswan")
			}
		}
	}
	p := startRawCluster(t, responses)
	for some := range slices.Chunk(rows, headRowsAtOnce) {
		var requests sync.WaitGroup
		for _, row := range some {
			requests.Go(func() {
				for _, d := range p.Daemons[:2] { // beside a worker of the service, and beside another one
					row.safe = append(row.safe, p.send(d, http.MethodGet, "/safe/"+row.segment, ""))
					row.unsafe = append(row.unsafe, p.send(d, http.MethodPost, "/unsafe/"+row.segment, "a swan"))
				}
			})
		}
		requests.Wait()
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			for _, a := range slices.Concat(row.safe, row.unsafe) {
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusBadGateway)
				is.True(len(p.runs(a.id)) >= 1)
			}
			for _, a := range row.unsafe {
				is.Equal(len(p.runs(a.id)), 1)
			}
		})
	}
	p.eventually(applyWithin, "requests are served again", func() error { return p.served(p.Daemons[0]) })
}

// Guards against a worker's response with a line that is left out since the name of its field is none: the rest is
// not the worker's response, and its body may be another.
func TestResponsesWithInvalidFieldNames(t *testing.T) {
	t.Parallel()
	heads := make(map[string]string)
	for name, line := range map[string]string{
		"space": "X Kind: swan", "space before the colon": "X-Kind : swan", "length": "Content-Length : 2", "encoding": "Transfer-Encoding : chunked",
		"tab": "X\tKind: swan", "tab before the colon": "X-Kind\t: swan", "control byte": "X\x01Kind: swan", "NUL": "X\x00Kind: swan",
		"DEL": "X\x7fKind: swan", "carriage return": "X\rKind: swan", "empty": ": swan",
	} {
		heads[name] = "HTTP/1.1 200 OK\r\n" + line + "\r\n"
		heads[name+", informational"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n"
	}
	checkBrokenHeads(t, heads)
}

// Guards against a worker's response whose status is none, and that reaches a caller.
func TestResponsesWithInvalidStatuses(t *testing.T) {
	t.Parallel()
	heads := make(map[string]string)
	for _, status := range []string{"000", "099", "600", "999", "-20", "+20", "0200", "20", "2 0"} {
		heads[status] = "HTTP/1.1 " + status + " Status\r\n"
		heads[status+", no reason"] = "HTTP/1.1 " + status + "\r\n"
	}
	checkBrokenHeads(t, heads)
}
