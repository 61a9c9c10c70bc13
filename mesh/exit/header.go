package exit

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Header fields that are set on requests to a target, see DefaultConventions.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline holds the remaining time of the request in milliseconds, not a point in time.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderRevision holds the configuration revision by which the request was routed.
	HeaderRevision = "X-Sassafras-Revision"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerUserAgent      = "User-Agent"
)

// hopByHop are the header fields that apply to one connection only, or that
// net/http writes itself.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
}

// addedHeaders is the capacity reserved for the header fields that the exit adds to a request.
const addedHeaders = 4

// requestHeader returns the header to send to the target, without the hop-by-hop fields.
func (c *Conventions) requestHeader(head *peerpb.CallHead) http.Header {
	header := make(http.Header, len(head.Headers)+addedHeaders)
	values := make([]string, len(head.Headers)) // one allocation for all values
	for i, h := range head.Headers {
		name := textproto.CanonicalMIMEHeaderKey(h.Name)
		if hopByHop[name] {
			continue
		}
		if earlier := header[name]; earlier != nil {
			header[name] = append(earlier, h.Value)
			continue
		}
		values[i] = h.Value
		header[name] = values[i : i+1 : i+1]
	}
	removeConnectionHeaders(header, head.Headers)
	if _, set := header[headerUserAgent]; !set {
		header[headerUserAgent] = nil // prevents the default of net/http
	}
	if head.RequestId != "" {
		header.Set(c.RequestID, head.RequestId)
	}
	if c.Revision != "" {
		header.Set(c.Revision, strconv.FormatUint(head.Revision, 10))
	}
	return header
}

// setDeadline sets the field with the remaining time, at least 1 ms.
func (c *Conventions) setDeadline(header http.Header, remaining time.Duration) {
	header.Set(c.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
}

// removeConnectionHeaders removes the fields that the Connection field lists.
func removeConnectionHeaders(header http.Header, fields []*peerpb.Header) {
	for _, field := range fields {
		if !strings.EqualFold(field.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(field.Value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
}

// responseHeader returns the header of a response without the fields that apply to the
// connection to the target only.
func responseHeader(header http.Header) []*peerpb.Header {
	connectionNamed := connectionHeaders(header)
	count := 0
	for _, values := range header {
		count += len(values)
	}
	fields := make([]*peerpb.Header, 0, count)
	backing := make([]peerpb.Header, count)
	for name, values := range header {
		if hopByHop[name] || slices.Contains(connectionNamed, name) {
			continue
		}
		for _, value := range values {
			field := &backing[len(fields)]
			field.Name, field.Value = name, value
			fields = append(fields, field)
		}
	}
	return fields
}

// connectionHeaders returns the canonical names that the Connection field lists.
func connectionHeaders(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}

// headerValue returns the first value of a field, or "" if there is none.
func headerValue(fields []*peerpb.Header, name string) string {
	for _, field := range fields {
		if strings.EqualFold(field.Name, name) {
			return field.Value
		}
	}
	return ""
}
