package entry

import (
	"net/http"
	"time"

	"sassafrasnotch.example/mesh/clientmemory"
)

// What a request holds besides the head that net/http keeps, in bytes.
const (
	// dispatchBytes are the goroutines, the stream to the host and the connection to the target.
	dispatchBytes = 16 << 10
	// uploadBytes are the buffers of a streamed body in addition: here, and as frames on their way.
	uploadBytes = chunkBytes + 48<<10
	// headCopies is how often the text of a head is held for a dispatch: in the frame, encoded, and as fields.
	headCopies = 4
	// headerMessageBytes is a field of the frame besides its text.
	headerMessageBytes = 128
	// prefetchBytes is what a request started early holds besides its head.
	prefetchBytes = dispatchBytes + maxHeldBody
)

// memoryRetryAfter is what callers are told for lack of memory: clients that have stalled for as long make room.
const memoryRetryAfter = time.Second

// admitMemory counts what the dispatch of the request and its body will hold. Requests that were started early
// have been counted by startPrefetches.
func (c *callerRequest) admitMemory() *failure {
	if c.conn == nil {
		return nil
	}
	if _, early := c.writer.(*heldWriter); early {
		return nil
	}
	bytes := dispatchBytes + headMemory(c.httpRequest)
	if c.httpRequest.ContentLength < 0 || c.httpRequest.ContentLength > maxInlineBody {
		bytes += maxInlineBody + uploadBytes
	} else {
		bytes += c.httpRequest.ContentLength
	}
	if c.conn.account.GrowRequest(bytes) {
		return nil
	}
	failed := refused(ReasonLocalLimit, stepAdmit, clientmemory.ErrShort.Error()).withPeer(c.entry.self.Host)
	failed.retryAfter = memoryRetryAfter
	return failed
}

// headMemory returns the bytes that the head of a request holds once it is dispatched.
func headMemory(request *http.Request) int64 {
	fields := 0
	for _, values := range request.Header {
		fields += len(values)
	}
	return int64(headCopies*(len(request.RequestURI)+headerBytes(request)) + headerMessageBytes*fields)
}

// openAccount counts the connection in the memory. It returns false if it must be refused.
func (c *countedConn) openAccount(m *clientmemory.Memory) bool {
	account, granted := m.Open(clientmemory.ConnBytes, c.closeForMemory)
	if granted && account != nil {
		onClose := c.onClose
		c.account, c.onClose = account, func() {
			account.ConnClosed()
			onClose()
		}
	}
	return granted
}

// awaitCaller records whether a part of the request has not arrived. The connection may be nil.
func (c *countedConn) awaitCaller(awaits bool) {
	if c != nil {
		c.account.AwaitClient(awaits)
	}
}

// closeForMemory closes the connection because others need its memory more. Its caller must not take what it
// received for a whole response.
func (c *countedConn) closeForMemory() {
	c.mutex.Lock()
	c.resets = true
	c.mutex.Unlock()
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// tailTimeout bounds the writing of a refusal, and of the end of a response that net/http writes after the
// handler. Without it, a caller that sends requests and reads nothing holds its connection for an hour.
const tailTimeout = 30 * time.Second

// limitTail sets the deadline of what is written to the caller from now on. net/http sets another one with the
// next request.
func limitTail(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(tailTimeout))
}

// UseMemory makes the connections of the server count in the memory. It must be called before Serve.
func (s *Server) UseMemory(m *clientmemory.Memory) { s.memory = m }
