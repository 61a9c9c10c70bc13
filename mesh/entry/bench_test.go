package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// immediateStream responds to every request at once, without a connection.
type immediateStream struct{ attempt uint64 }

func (s *immediateStream) Send(frame *peerpb.CallFrame) error {
	s.attempt = frame.GetAttempt()
	return nil
}

func (s *immediateStream) Receive(frame *peerpb.CallFrame) error {
	frame.Attempt = s.attempt
	frame.Body = immediateResponse
	return nil
}

func (*immediateStream) KeepThroughSilence(func()) {}

func (*immediateStream) ConfirmsDispatch() bool { return false }

func (*immediateStream) SetDeadline(time.Time) error { return nil }
func (*immediateStream) Release()                    {}
func (*immediateStream) Discard()                    {}

var immediateResponse = &peerpb.CallFrame_Answer{Answer: &peerpb.AnswerHead{
	Status:        200,
	Headers:       []*peerpb.Header{{Name: "Content-Type", Value: "text/plain"}},
	ContentLength: 4,
	InlineBody:    []byte("swan"),
	Load:          &peerpb.Load{Outstanding: 1, Slots: 4},
	Complete:      true,
}}

type immediateDialer struct{ stream immediateStream }

func (d *immediateDialer) OpenStream(context.Context, string, string) (Stream, error) {
	return &d.stream, nil
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header             { return w.header }
func (*discardWriter) Write(data []byte) (int, error)    { return len(data), nil }
func (*discardWriter) WriteHeader(int)                   {}
func (*discardWriter) SetReadDeadline(_ time.Time) error { return nil }

// BenchmarkCall measures the entry's own part of a request, without the HTTP server, the
// encoding of the stream and the network.
func BenchmarkCall(b *testing.B) {
	configuration := &fixedConfiguration{}
	configuration.Store(newOrdersSnapshot(b))
	handler := New(testSettings(), balance.Locality{Host: "a0", Zone: "a", Region: "west"}, Deps{
		Configuration: configuration,
		Dialer:        &immediateDialer{},
	})
	var members []gossip.Member
	for _, host := range []string{"a0", "a1", "a2", "b0", "b1", "c0"} {
		members = append(members, hostMember(host, host[:1], "v1"))
	}
	handler.SetMembers(members)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			body := bytes.NewReader([]byte("a swan"))
			request, err := http.NewRequest(method, "http://x/order/7?size=large", nil)
			if err != nil {
				b.Fatal(err)
			}
			request.Header.Set(HeaderRequestID, "r-1")
			request.Header.Set("User-Agent", "bench")
			writer := &discardWriter{header: make(http.Header)}
			b.ReportAllocs()
			for b.Loop() {
				clear(writer.header)
				if method == http.MethodPost {
					body.Reset([]byte("a swan"))
					request.Body = io.NopCloser(body)
					request.ContentLength = int64(body.Len())
				}
				handler.ServeHTTP(writer, request)
			}
		})
	}
}

// BenchmarkConnections measures the memory that an idle caller connection holds after a
// first request, with its goroutine. The caller's end is a plain socket in the same process
// and is included.
func BenchmarkConnections(b *testing.B) {
	const connections = 2000
	limits := testSettings()
	limits.MaxConnections = connections
	for b.Loop() {
		f := newFixture(b, limits, nil, map[string]hostHandler{"a0": respondsWith(200, "swan")})
		f.entry.deps.Dialer = &immediateDialer{} // retains no memory of a request
		before := memoryInUse()
		for range connections {
			sendFirstRequest(b, f)
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// sendFirstRequest sends a request on a new connection, which stays open.
func sendFirstRequest(b *testing.B, f *fixture) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, "GET /order HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		b.Fatal(err)
	}
	var response [1024]byte
	if _, err := conn.Read(response[:]); err != nil {
		b.Fatal(err)
	}
}
