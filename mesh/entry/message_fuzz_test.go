package entry

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// FuzzParseMessage checks that a message which parseMessage takes for a whole one ends at the same
// byte for net/http, if net/http accepts it at all: a request must never be found inside another.
func FuzzParseMessage(f *testing.F) {
	for _, seed := range []string{
		get("/a"), get("/a") + get("/b"), post("/a", "swan"), "HEAD / HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
		"GET / HTTP/1.1\r\nHost: x\r\ncontent-length : 5\r\n\r\nhello",
		"GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nX:\r\n Content-Length: 5\r\n\r\nhello",
		"GET / HTTP/1.1\nHost: x\n\nGET /b HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\nGET /b HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\rContent-Length: 5\r\n\r\nhello", "GET http://x/ HTTP/1.0\r\n\r\n", "\r\n" + get("/a"),
		"GET / HTTP/1.1\r\nHost: x\r\nContent-Length\x00: 5\r\n\r\nhello", "GET /",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		length, form := parseMessage(data)
		if form != messageComplete {
			return
		}
		rest := bytes.NewReader(data)
		reader := bufio.NewReaderSize(rest, 16)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // net/http closes the connection
		}
		if body, err := io.ReadAll(request.Body); err != nil || len(body) > 0 || request.ContentLength != 0 {
			t.Fatalf("a message without a body has one of %d bytes (stated %d), %v: %q", len(body), request.ContentLength, err, data)
		}
		if consumed := len(data) - rest.Len() - reader.Buffered(); consumed != length {
			t.Fatalf("the message ends at %d for net/http, not at %d: %q", consumed, length, data)
		}
	})
}
