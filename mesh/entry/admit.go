package entry

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/revision"
)

const (
	// maxHops bounds the number of entries that a chain of requests passes.
	maxHops = 32
	// maxTimeout bounds the timeout that a caller may request.
	maxTimeout = time.Hour
	// maxRequestIDBytes bounds the length of a caller's request id.
	maxRequestIDBytes = 128
)

// admit checks a request and sets the fields that its dispatch needs. It returns why the
// request is refused, or nil.
func (c *callerRequest) admit() *failure {
	c.requestID = c.entry.requestID(c.httpRequest)
	if c.entry.leaving.Load() {
		return refused(ReasonLeaving, stepAdmit, "this daemon is stopping").withPeer(c.entry.self.Host)
	}
	if overLimit(c.httpRequest.Context()) {
		return refused(ReasonLimit, stepAdmit, "too many connections to this daemon").withPeer(c.entry.self.Host)
	}
	steps := []func() *failure{
		c.admitRoute, c.admitTenant, c.admitShare, c.admitHeader, c.admitHops, c.admitDeadline, c.admitMemory,
		c.admitBody, c.admitTenantLimit,
	}
	for _, step := range steps {
		if failed := step(); failed != nil {
			return failed
		}
	}
	return nil
}

func (c *callerRequest) admitRoute() *failure {
	c.snapshot = c.entry.deps.Configuration.Snapshot()
	if c.snapshot == nil {
		failed := refused(ReasonNotConfigured, stepAdmit, "this daemon has no configuration yet").withPeer(c.entry.self.Host)
		failed.retryAfter = c.entry.startingRetryAfter()
		return failed
	}
	if !strings.HasPrefix(c.httpRequest.URL.Path, "/") || hasDotSegment(c.httpRequest.URL.Path) {
		return refused(ReasonBadRequest, stepAdmit, "the path is not absolute or has a dot segment")
	}
	route, ok := c.snapshot.Match(c.httpRequest.Host, routePath(c.httpRequest.URL))
	if !ok {
		return refused(ReasonNoRoute, stepAdmit, "no route matches the host and path")
	}
	c.route = route
	c.service = c.entry.pickService(route)
	return nil
}

// routePath returns the path by which a route is selected. It is decoded, except for slashes: an encoded
// slash is part of a segment (RFC 3986, section 2.2), and the path is forwarded as it was sent.
func routePath(u *url.URL) string {
	if u.RawPath == "" {
		return u.Path // nothing but the usual encoding, which has no encoded slash
	}
	kept := encodedSlash.Replace(u.EscapedPath())
	path, err := url.PathUnescape(kept)
	if err != nil {
		return u.EscapedPath()
	}
	return path
}

// encodedSlash encodes the percent sign of an encoded slash, so that the slash outlives decoding.
var encodedSlash = strings.NewReplacer("%2F", "%252F", "%2f", "%252F")

// admitHeader enforces the header limit of the configuration. net/http enforces the one of
// the settings.
func (c *callerRequest) admitHeader() *failure {
	limit := c.snapshot.CallerLimits().MaxHeaderBytes
	if limit > 0 && headerBytes(c.httpRequest) > limit {
		return refused(ReasonHeaderTooLarge, stepAdmit, "the header fields exceed maxHeaderBytes of the configuration")
	}
	return nil
}

// headerBytes returns the size of a request's header fields.
func headerBytes(request *http.Request) int {
	const separators = len(": \r\n")
	size := len("Host") + len(request.Host) + separators
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// maxBody returns the limit of a body in bytes: the lower of the limits in the settings and
// the configuration.
func (c *callerRequest) maxBody() int64 {
	limit := c.entry.settings.MaxBodyBytes
	if configured := c.snapshot.CallerLimits().MaxBodyBytes; configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}

// pickService draws one of the route's services by weight.
func (e *Entry) pickService(route *revision.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	sum := 0
	for _, share := range route.Split {
		sum += share.Weight
	}
	point := balance.IntN(e.deps.Random, sum)
	for _, share := range route.Split {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return route.Split[len(route.Split)-1].Service
}

// hasDotSegment reports whether the path has a segment "." or "..", by which the target
// could resolve it to another path.
func hasDotSegment(urlPath string) bool {
	if !strings.Contains(urlPath, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(urlPath, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func (c *callerRequest) admitHops() *failure {
	text := c.httpRequest.Header.Get(HeaderHops)
	if text == "" {
		c.hops = 1
		return nil
	}
	hops, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return refused(ReasonBadRequest, stepAdmit, HeaderHops+" is not a number")
	}
	if hops >= maxHops {
		return refused(ReasonLoop, stepAdmit, "the chain of requests exceeds the hop limit")
	}
	c.hops = uint32(hops) + 1
	return nil
}

func (c *callerRequest) admitDeadline() *failure {
	timeout := c.entry.settings.DefaultTimeout.Std()
	if c.route.Timeout > 0 {
		timeout = c.route.Timeout.Std()
	}
	if text := c.httpRequest.Header.Get(c.entry.deps.Conventions.DeadlineHeader); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return refused(ReasonBadRequest, stepAdmit, c.entry.deps.Conventions.DeadlineHeader+" is not a number of milliseconds")
		}
		if millis <= 0 {
			return refused(ReasonExpired, stepAdmit, "the deadline has passed")
		}
		requested := time.Duration(min(millis, maxTimeout.Milliseconds())) * time.Millisecond
		c.deadlineFromCaller = requested < timeout
		if c.route.Timeout == 0 || c.deadlineFromCaller {
			timeout = requested
		}
	}
	c.startedAt = time.Now()
	c.deadline = c.startedAt.Add(timeout)
	return nil
}

func (c *callerRequest) admitBody() *failure {
	if c.httpRequest.ContentLength > c.maxBody() {
		return refused(ReasonBodyTooLarge, stepBody, "the body exceeds maxBodyBytes")
	}
	if c.route.Repeat == revision.RepeatKeyed {
		if failed := c.admitKey(); failed != nil {
			return failed
		}
	}
	return c.readInlineBody()
}

// requestID returns the caller's id if it is safe to log, else a new one.
func (e *Entry) requestID(request *http.Request) string {
	id := request.Header.Get(e.deps.Conventions.RequestIDHeader)
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, invalidInID) {
		return strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
	}
	return id
}

// admitKey checks the idempotency key of a keyed request.
func (c *callerRequest) admitKey() *failure {
	key := c.httpRequest.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return refused(ReasonKeyMissing, stepAdmit, "the route requires the header field "+HeaderIdempotencyKey)
	}
	if len(key) > claim.MaxKeyBytes || strings.ContainsFunc(key, invalidInID) {
		return refused(ReasonBadRequest, stepAdmit, HeaderIdempotencyKey+" is too long or not printable")
	}
	return nil
}

// invalidInID reports whether a character is other than a visible ASCII character.
func invalidInID(r rune) bool { return r <= ' ' || r > '~' }
