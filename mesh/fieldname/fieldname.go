// Package fieldname rejects messages with header fields whose names are no tokens (RFC 9110, section 5.1). net/http
// accepts a space within a name or behind it: it neither acts on such a field nor passes it on.
package fieldname

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// maxInformational bounds the informational responses before the final one.
const maxInformational = 8

var (
	// ErrInvalid means that the name of a field is no token. A field that it was meant to be may have framed the
	// body, so that neither the body nor what follows on the connection can be relied on.
	ErrInvalid = errors.New("a header field has an invalid name")

	errInformational = errors.New("too many informational responses")
)

// Check returns ErrInvalid if the name of a field in a header or trailer, as net/http has read it, is no token. Fields
// without a value, which a Trailer field only announces, are not checked.
func Check(fields map[string][]string) error {
	for name, values := range fields {
		if len(values) > 0 && !Valid(name) {
			return ErrInvalid
		}
	}
	return nil
}

// Valid reports whether the name of a field is a token.
func Valid(name string) bool { return httpguts.ValidHeaderFieldName(name) }

// RoundTrip sends a request and returns its response. The error wraps ErrInvalid if Check rejects the header of the
// response, or that of an informational one before it; the connection is not used again then.
func RoundTrip(transport *http.Transport, request *http.Request) (*http.Response, error) {
	informational := 0
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if informational++; informational > maxInformational {
				return errInformational
			}
			return Check(header)
		},
	})
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(response.Header); err != nil {
		_ = response.Body.Close()
		transport.CloseIdleConnections() // a response without a body has returned its connection
		return nil, err
	}
	return response, nil
}
