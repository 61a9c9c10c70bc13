package integration

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// rawWorkers starts all workers again so that they respond with the function that is stored in the result, if any, to
// requests other than health checks, and gives the routes uploadTimeout.
func rawWorkers(p *platformCluster) *atomic.Pointer[func(conn *net.TCPConn, request *http.Request)] {
	respond := new(atomic.Pointer[func(conn *net.TCPConn, request *http.Request)])
	for _, d := range p.Daemons {
		p.workers[d.Settings.Host].Stop()
		p.workers[d.Settings.Host] = d.StartWorker("r-"+d.Settings.Host, "v1", func(config *workerserver.Config) {
			config.Slots = 4 * uploadsAtOnce
			config.RespondRaw = func(request *http.Request) func(*net.TCPConn) {
				function := respond.Load()
				if function == nil {
					return nil
				}
				return func(conn *net.TCPConn) { (*function)(conn, request) }
			}
		})
	}
	config := testConfig(4)
	for i := range config.Routes {
		config.Routes[i].TimeoutMs = uploadTimeout.Milliseconds()
	}
	p.WriteOperatorRow(wire.KeyConfig, config)
	time.Sleep(applyWithin)
	for _, d := range p.Daemons {
		p.eventually(applyWithin*5, "requests are served", func() error { return p.send(d, http.MethodGet, "/safe/1", "").err })
	}
	p.WaitTargets("desk", "v1", 3)
	p.WaitTargets("studio", "v1", 3)
	return respond
}

// signedFields are the fields of a worker's response to the request.
func signedFields(request *http.Request) string {
	return wire.HeaderRequestID + ": " + request.Header.Get(wire.HeaderRequestID) + "\r\n" + wire.HeaderSignature + ": signed-r\r\n"
}

// uploadAtOnce sends uploads to all daemons and returns the results of those whose responses their callers read to the
// end.
func uploadAtOnce(p *platformCluster, length int64) []callerResult {
	var mu sync.Mutex
	var whole []callerResult
	var uploads sync.WaitGroup
	for i := range uploadsAtOnce {
		uploads.Go(func() {
			a := p.upload(p.Daemons[i%len(p.Daemons)], length)
			mu.Lock()
			defer mu.Unlock()
			if a.err == nil {
				whole = append(whole, a)
			}
		})
	}
	uploads.Wait()
	return whole
}

// upload sends a request with a body of uploadLength. The length is stated if it is not negative.
func (p *platformCluster) upload(d *cluster.Daemon, length int64) callerResult {
	a := callerResult{id: fmt.Sprintf("%016x", p.ids.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), uploadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Settings.Entry.Listen+"/unsafe/upload", &pacedBody{uploadLength})
	if err != nil {
		a.err = err
		return a
	}
	request.Host, request.ContentLength = platformHost, length
	request.Header.Set(wire.HeaderRequestID, a.id)
	request.Header.Set(wire.HeaderDeadline, fmt.Sprint(uploadTimeout.Milliseconds()))
	return p.do(request, a)
}

// Guards against a worker's response without a length that a reset cuts off during an upload, and that a caller reads
// to its end without an error; and against one that ends in order and does not reach its caller.
func TestResponsesWithoutALengthDuringAnUpload(t *testing.T) {
	p := startPlatformCluster(t)
	respond := rawWorkers(p)
	ends := []struct {
		name  string
		whole bool
		end   func(conn *net.TCPConn)
	}{
		{"reset", false, func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
		{"orderly, reads on", true, func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) }},
	}
	for _, version := range []string{"1.1", "1.0"} {
		for _, length := range []int64{uploadLength, -1} {
			for _, size := range []int{10, 100_000} {
				for _, pause := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
					for _, end := range ends {
						t.Run(fmt.Sprintf("HTTP-%s/length %d/%d bytes/%s after %v", version, length, size, end.name, pause), func(t *testing.T) {
							is := is.New(t)
							body := strings.Repeat("x", size)
							function := func(conn *net.TCPConn, request *http.Request) {
								_, _ = io.WriteString(conn, "HTTP/"+version+" 200 OK\r\n"+signedFields(request)+"\r\n"+body)
								time.Sleep(pause)
								end.end(conn)
							}
							respond.Store(&function)
							successes := 0
							for _, a := range uploadAtOnce(p, length) {
								if a.status == http.StatusOK {
									successes++
									is.Equal(a.body, body)
								}
							}
							if end.whole {
								is.Equal(successes, uploadsAtOnce)
							} else {
								is.Equal(successes, 0)
							}
						})
					}
				}
			}
		}
	}
}

// checkBrokenHeads has all workers respond with the lines in front of a body that looks like a success, with and without
// a length. No caller may get a response, and a request that may not be repeated runs once.
func checkBrokenHeads(t *testing.T, p *platformCluster, respond *atomic.Pointer[func(*net.TCPConn, *http.Request)], heads map[string]string) {
	t.Helper()
	for name, head := range heads {
		for framing, field := range map[string]string{"length": "Content-Length: 4\r\n", "no length": ""} {
			t.Run(name+"/"+framing, func(t *testing.T) {
				is := is.New(t)
				function := func(conn *net.TCPConn, request *http.Request) {
					_, _ = io.WriteString(conn, head+field+signedFields(request)+"\r\nswan")
				}
				respond.Store(&function)
				safe, unsafe := make([]callerResult, len(p.Daemons)), make([]callerResult, len(p.Daemons))
				var requests sync.WaitGroup
				for i, d := range p.Daemons {
					requests.Go(func() { safe[i] = p.send(d, http.MethodGet, "/safe/broken", "") })
					requests.Go(func() { unsafe[i] = p.send(d, http.MethodPost, "/unsafe/broken", "a swan") })
				}
				requests.Wait()
				for i := range p.Daemons {
					is.NoErr(safe[i].err)
					is.Equal(safe[i].status, http.StatusBadGateway)
					is.True(len(p.runs(safe[i].id)) >= 1)
					is.NoErr(unsafe[i].err)
					is.Equal(unsafe[i].status, http.StatusBadGateway)
					is.Equal(len(p.runs(unsafe[i].id)), 1)
				}
			})
		}
	}
	respond.Store(nil)
	p.eventually(applyWithin, "requests are served again", func() error {
		if a := p.send(p.Daemons[0], http.MethodGet, "/safe/after", ""); !a.complete() {
			return fmt.Errorf("status %d: %w", a.status, a.err)
		}
		return nil
	})
}

// Guards against a worker's response with a line that is left out since the name of its field is none: the rest is
// not the worker's response, and its body may be another.
func TestResponsesWithInvalidFieldNames(t *testing.T) {
	t.Parallel()
	p := startPlatformCluster(t)
	respond := rawWorkers(p)
	heads := make(map[string]string)
	for name, line := range map[string]string{
		"space": "X Kind: swan", "space before the colon": "X-Kind : swan", "length": "Content-Length : 2", "encoding": "Transfer-Encoding : chunked",
		"tab": "X\tKind: swan", "tab before the colon": "X-Kind\t: swan", "control byte": "X\x01Kind: swan", "NUL": "X\x00Kind: swan",
		"DEL": "X\x7fKind: swan", "carriage return": "X\rKind: swan", "empty": ": swan",
	} {
		heads[name] = "HTTP/1.1 200 OK\r\n" + line + "\r\n"
		heads[name+", informational"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n"
	}
	checkBrokenHeads(t, p, respond, heads)
}

// Guards against a worker's response whose status is none, and that reaches a caller.
func TestResponsesWithInvalidStatuses(t *testing.T) {
	t.Parallel()
	p := startPlatformCluster(t)
	respond := rawWorkers(p)
	heads := make(map[string]string)
	for _, status := range []string{"000", "099", "600", "999", "-20", "+20", "0200", "20", "2 0"} {
		heads[status] = "HTTP/1.1 " + status + " Status\r\n"
		heads[status+", no reason"] = "HTTP/1.1 " + status + "\r\n"
	}
	checkBrokenHeads(t, p, respond, heads)
}
