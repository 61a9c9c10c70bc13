package exit_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// invalidFields are header lines whose name is no token (RFC 9110, section 5.1).
var invalidFields = map[string]string{
	"space":                       "X Kind: swan",
	"space before the colon":      "X-Kind : swan",
	"spaces":                      "X  Kind  : swan",
	"tab":                         "X\tKind: swan",
	"tab before the colon":        "X-Kind\t: swan",
	"space and tab":               "X-Kind \t: swan",
	"control byte":                "X\x01Kind: swan",
	"control byte at the end":     "X-Kind\x1f: swan",
	"NUL":                         "X\x00Kind: swan",
	"DEL":                         "X\x7fKind: swan",
	"carriage return":             "X\rKind: swan",
	"carriage return at the end":  "X-Kind\r: swan",
	"vertical tab":                "X\vKind: swan",
	"byte outside ASCII":          "X\xa0Kind: swan",
	"separator":                   "X(Kind): swan",
	"empty":                       ": swan",
	"no colon":                    "X-Kind",
	"space before the length":     "Content-Length : 2",
	"space in the length":         "Content Length: 2",
	"space before the encoding":   "Transfer-Encoding : chunked",
	"space before the connection": "Connection : close",
}

// strayChunks are a body whose bytes differ if the field with its encoding is left out.
const strayChunks = "2\r\nok\r\n0\r\n\r\n"

// closeDelimiting are conventions with close-delimited responses, for which a field that would frame the body is as
// important as for others.
var closeDelimiting = func() exit.Conventions {
	conventions := exit.DefaultConventions
	conventions.AllowUnframed = true
	return conventions
}()

// Guards against a line that is left out of a header because its name is none, so that the caller gets a header, and
// perhaps a body, that is not the target's.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for name, line := range invalidFields {
		for place, head := range map[string]string{
			"first line":    "HTTP/1.1 200 OK\r\n" + line + "\r\nX-A: 1\r\n",
			"last line":     "HTTP/1.1 200 OK\r\nX-A: 1\r\n" + line + "\r\n",
			"failure":       "HTTP/1.1 500 Internal Server Error\r\nX-A: 1\r\n" + line + "\r\nX-B: 1\r\n",
			"informational": "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n",
		} {
			for body, rest := range map[string]string{
				"length":    "Content-Length: 2\r\n\r\nok",
				"no length": "\r\n" + strayChunks,
			} {
				for _, reused := range []bool{false, true} {
					t.Run(strings.Join([]string{name, place, body, connectionName(reused)}, "/"), func(t *testing.T) {
						t.Parallel()
						checkNoResponseBy(t, closeDelimiting, head+rest, reused)
					})
				}
			}
		}
	}
}

func connectionName(reused bool) string {
	if reused {
		return "reused connection"
	}
	return "new connection"
}

// Guards against a trailer section that the same reader accepts.
func TestInvalidFieldNameInATrailerTruncatesTheResponse(t *testing.T) {
	for name, line := range invalidFields {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fx := newFixture(t)
			fx.rawTarget(func(conn net.Conn, requests *bufio.Reader) {
				if _, err := readRequest(requests); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n"+line+"\r\n\r\n")
				}
			})
			stream := fx.send(requestHead(http.MethodPost, "/orders", "swan"))
			defer stream.Discard()
			_, complete, failure := receiveResponse(t, stream)
			is.True(!complete)
			is.True(failure != nil)
		})
	}
}

// Fields that are unusual and yet valid reach the caller.
func TestUnusualFieldsAreRelayed(t *testing.T) {
	for name, test := range map[string]struct{ head, field, value string }{
		"folded value":             {"X-Kind: white\r\n  swan\r\n", "X-Kind", "white swan"},
		"folded with a tab":        {"X-Kind: white\r\n\tswan\r\n", "X-Kind", "white swan"},
		"every token character":    {"x!#$%&'*+-.^_`|~09: swan\r\n", "X!#$%&'*+-.^_`|~09", "swan"},
		"no space behind":          {"X-Kind:swan\r\n", "X-Kind", "swan"},
		"colon and space in value": {"X-Kind: a : swan\r\n", "X-Kind", "a : swan"},
		"empty value":              {"X-Kind:\r\n", "X-Kind", ""},
		"trailer":                  {"Trailer: X Sum\r\nX-Kind: swan\r\n", "X-Kind", "swan"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t)
			fx.rawTarget(func(conn net.Conn, requests *bufio.Reader) {
				if _, err := readRequest(requests); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+test.head+"Transfer-Encoding: chunked\r\n\r\n"+strayChunks)
				}
			})
			stream := fx.send(requestHead(http.MethodGet, "/", ""))
			defer stream.Discard()
			head := receive(t, stream).GetAnswer()
			is.True(head != nil)
			body, complete, _ := receiveResponse(t, stream)
			is.True(complete)
			is.Equal(body, "ok")
			is.Equal(fieldValues(head, test.field), []string{test.value})
		})
	}
}

func fieldValues(head *peerpb.AnswerHead, name string) []string {
	var values []string
	for _, field := range head.Headers {
		if field.Name == name {
			values = append(values, field.Value)
		}
	}
	return values
}
