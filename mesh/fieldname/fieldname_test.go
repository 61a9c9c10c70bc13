package fieldname

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

func TestNames(t *testing.T) {
	for name, valid := range map[string]bool{
		"X-Kind": true, "x!#$%&'*+-.^_`|~09": true,
		"": false, "X Kind": false, "X-Kind ": false, "X\tKind": false, "X\x01": false, "X\x7f": false, "X:": false, "Xé": false,
	} {
		is := is.New(t)
		is.Equal(Valid(name), valid)
		is.Equal(Check(http.Header{"X-A": {"1"}, name: {"swan"}}) == nil, valid)
		is.NoErr(Check(http.Header{name: nil}))
	}
}

// roundTrips sends requests one after the other to a server that responds with the bytes, and returns the errors
// and the number of connections.
func roundTrips(t *testing.T, response string, count int) (errs []error, connections int64) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	transport := new(http.Transport)
	defer transport.CloseIdleConnections()
	for range count {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
		is.NoErr(err)
		response, err := RoundTrip(transport, request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		errs = append(errs, err)
	}
	return errs, accepted.Load()
}

func TestRoundTrip(t *testing.T) {
	const (
		informational = "HTTP/1.1 103 Early Hints\r\n"
		final         = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	)
	for _, test := range []struct {
		name, response string
		want           error
		connections    int64
	}{
		{"valid", final + "\r\nok", nil, 1},
		{"informational responses first", strings.Repeat(informational+"\r\n", maxInformational) + final + "\r\nok", nil, 1},
		{"too many", strings.Repeat(informational+"\r\n", maxInformational+1) + final + "\r\nok", errInformational, 2},
		{"invalid name", final + "X Kind: swan\r\n\r\nok", ErrInvalid, 2},
		{"invalid name, no body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX Kind: swan\r\n\r\n", ErrInvalid, 2},
		{"invalid name, informational", informational + "X Kind: swan\r\n\r\n" + final + "\r\nok", ErrInvalid, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			errs, connections := roundTrips(t, test.response, 2)
			for _, err := range errs {
				is.True(errors.Is(err, test.want))
			}
			is.Equal(connections, test.connections)
		})
	}
}
