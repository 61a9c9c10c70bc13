package entry

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// isHopByHop reports whether a field applies to one connection only (RFC 9110,
// section 7.6.1). The name is in canonical form.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// setByMesh reports whether the mesh sets the field itself on each hop.
func setByMesh(name string) bool {
	switch name {
	case HeaderHops, HeaderOutcome, HeaderReplayed, "Content-Length":
		return true
	}
	return false
}

// setsHeader reports whether the mesh sets the field under these conventions.
func (c *Conventions) setsHeader(name string) bool {
	return name == c.RequestIDHeader || name == c.DeadlineHeader || c.OriginHeader != "" && name == c.OriginHeader
}

// requestHeaders returns the header fields that are sent to the target.
func requestHeaders(c *callerRequest) []*peerpb.Header {
	fields := c.httpRequest.Header
	named := connectionFields(fields)
	conventions := c.entry.deps.Conventions
	withTenants := len(c.snapshot.Tenants()) > 0
	list := newHeaderList(fields)
	for name, values := range fields {
		if isHopByHop(name) || setByMesh(name) || conventions.setsHeader(name) || named[name] || withTenants && conventions.concernsTenant(name) {
			continue
		}
		for _, value := range values {
			list.add(name, value)
		}
	}
	list.add(conventions.RequestIDHeader, c.requestID)
	if conventions.OriginHeader != "" {
		list.add(conventions.OriginHeader, *c.entry.service.Load())
	}
	if c.tenant != nil && conventions.TenantHeader != "" {
		list.add(conventions.TenantHeader, c.tenant.Name)
	}
	list.add(HeaderHops, strconv.FormatUint(uint64(c.hops), 10))
	return list.headers
}

// headerList builds a list of header messages whose elements share one allocation.
type headerList struct {
	backing []peerpb.Header
	headers []*peerpb.Header
}

// maxAddedFields is the largest number of fields that the mesh adds.
const maxAddedFields = 4

// newHeaderList returns a list with capacity for the fields and those that the mesh adds.
func newHeaderList(fields http.Header) *headerList {
	size := maxAddedFields
	for _, values := range fields {
		size += len(values)
	}
	return &headerList{
		backing: make([]peerpb.Header, size),
		headers: make([]*peerpb.Header, 0, size),
	}
}

func (l *headerList) add(name, value string) {
	header := &l.backing[len(l.headers)]
	header.Name = name
	header.Value = value
	l.headers = append(l.headers, header)
}

// connectionFields returns the fields that the Connection field names.
func connectionFields(fields http.Header) map[string]bool {
	values := fields["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
