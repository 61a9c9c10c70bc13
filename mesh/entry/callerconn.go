package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasnotch.example/mesh/clientmemory"
	"sassafrasnotch.example/mesh/connclose"
	"sassafrasnotch.example/mesh/connstate"
)

const (
	// readAheadBytes bounds what is read of a connection while a request of it is served. The close
	// behind more bytes is noticed once some of them have been consumed.
	readAheadBytes = 16 << 10
	// backgroundReadLength is the length of the read by which net/http watches a connection while
	// a request is served, in bytes.
	backgroundReadLength = 1
	// closeCheckInterval is the interval between two looks at the socket of a connection whose close unread
	// bytes may hide.
	closeCheckInterval = 100 * time.Millisecond
	// readAheadChunk is the length of one read ahead, in bytes.
	readAheadChunk = 4 << 10
)

// countedConn is a caller's connection. It counts as open until it is closed.
//
// While a request is served, net/http reads one byte ahead to notice that the caller closes the
// connection. Once a further request has arrived, that read has ended. From then on the connection
// reads ahead by itself: it cancels the request when the caller closes the connection, and starts
// further requests early (see prefetch). For that, it hands net/http one message at a time for as
// long as the caller sends requests without a body. After another one, it reads ahead only to notice
// the close and whether a further request has begun; it still ends what it hands over with a message
// where the end is stated, and hands over all bytes as they come where it is not. While no read can
// notice the close, behind a body that is not read yet or more than readAheadBytes, it looks at the state
// of the socket from time to time.
type countedConn struct {
	net.Conn
	entry     *Entry
	overLimit bool // accepted only to be refused
	share     connectionShare
	account   *clientmemory.Account // nil has no limit
	once      sync.Once
	onClose   func()
	// headerStart is when the first byte of a header arrived, in Unix nanoseconds; 0 while
	// the connection waits for a request.
	headerStart atomic.Int64

	mutex   sync.Mutex
	changed *sync.Cond         // signals buffer, readErr and reading
	ctx     context.Context    // ends when the connection is closed by either side
	cancel  context.CancelFunc // ends ctx
	buffer  []byte             // read from the socket and not yet handed over
	partial []byte             // handed over of the current message, which is incomplete
	raw     bool               // a message had a body, or an unknown end
	// remaining is the number of bytes of the current message that were not handed over, while raw; 0
	// between messages and where the end is unknown.
	remaining int
	serving   bool  // a request is served
	reading   bool  // readAhead runs
	watching  bool  // watchClose is scheduled
	readErr   error // why readAhead ended, unless by a time-out
	// prefetches are the requests started early, in the order in which net/http will read them.
	prefetches []*prefetch
	// ahead is the length of the messages of those prefetches that were not handed over whole.
	ahead   int
	closing bool // no further request may be started early
	// unreadBody is the number of bytes of a body that the caller may still send when the connection is
	// closed. resets means that the caller must not take what it received for a whole response.
	unreadBody int64
	resets     bool
}

func newCountedConn(conn net.Conn, entry *Entry, overLimit bool, onClose func()) *countedConn {
	c := &countedConn{Conn: conn, entry: entry, overLimit: overLimit, onClose: onClose}
	c.changed = sync.NewCond(&c.mutex)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// startContext returns the context of the connection's requests. It ends with the connection.
func (c *countedConn) startContext(parent context.Context) context.Context {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancel() // that of newCountedConn, which nothing has used
	c.ctx, c.cancel = context.WithCancel(parent)
	return c.ctx
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.fill(p); err != nil {
		return 0, err
	}
	if c.headerStart.Load() == 0 {
		c.headerStart.Store(time.Now().UnixNano())
	}
	n := c.handOver(p)
	if !c.account.ReadBytes(p[:n]) {
		_ = c.Conn.Close() // net/http may ignore one error and read again
		return 0, clientmemory.ErrRead
	}
	if c.serving && len(p) == backgroundReadLength {
		c.startReadAhead()
		c.startPrefetches()
	}
	return n, nil
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	return c.account.Write(c.Conn, p)
}

// fill waits until the buffer holds bytes; p receives those of a read of the socket on their way
// there. The caller holds mutex.
func (c *countedConn) fill(p []byte) error {
	for len(c.buffer) == 0 && c.reading {
		c.changed.Wait()
	}
	if len(c.buffer) > 0 {
		return nil
	}
	if c.readErr != nil {
		return c.readErr
	}
	return c.readSocket(p)
}

// readSocket appends what one read of the socket into chunk returns to the buffer. The caller holds
// mutex, which is released during the read.
func (c *countedConn) readSocket(chunk []byte) error {
	c.mutex.Unlock()
	n, err := c.Conn.Read(chunk)
	c.mutex.Lock()
	c.buffer = append(c.buffer, chunk[:n]...)
	if n > 0 {
		return nil
	}
	return err
}

// handOver copies bytes of the current message from the buffer to p. The caller holds mutex.
func (c *countedConn) handOver(p []byte) int {
	limit := len(c.buffer)
	end, form := len(c.partial)+limit, messageIncomplete
	if c.raw {
		limit = c.rawLimit()
	} else {
		end, form = c.message(0)
	}
	switch form {
	case messageComplete:
		limit = end - len(c.partial)
	case messageOther:
		c.raw = true
		if len(c.partial) > 0 {
			c.partial = nil // the message has begun, its end is not looked for
			break
		}
		limit = c.rawLimit()
	}
	n := copy(p, c.buffer[:limit])
	switch {
	case c.raw:
		c.remaining = max(c.remaining-n, 0)
	case form == messageComplete && n == limit:
		c.partial = c.partial[:0]
		c.ahead = max(c.ahead-end, 0)
	default:
		c.partial = append(c.partial, c.buffer[:n]...)
	}
	c.buffer = c.buffer[n:]
	if len(c.buffer) == 0 {
		c.buffer = nil
	}
	return n
}

// rawLimit returns how many bytes of the buffer belong to the current message, or all if its end is
// unknown. The caller holds mutex.
func (c *countedConn) rawLimit() int {
	if c.remaining == 0 {
		c.remaining = sizedMessage(c.buffer)
	}
	if c.remaining == 0 {
		return len(c.buffer)
	}
	return min(c.remaining, len(c.buffer))
}

// message returns the end and the form of the message that starts offset bytes after the start of
// the current one. The caller holds mutex.
func (c *countedConn) message(offset int) (end int, form messageForm) {
	if offset >= len(c.partial) {
		return parseMessage(c.buffer[offset-len(c.partial):])
	}
	return parseMessage(append(c.partial[offset:len(c.partial):len(c.partial)], c.buffer...))
}

// beginServing records that the request is served, until endServing. It returns the request's
// prefetch, or nil if it was not started early. The connection may be nil.
func (c *countedConn) beginServing(request *http.Request) *prefetch {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	started := c.takePrefetch(request)
	c.serving = true
	if len(c.buffer) >= readAheadBytes {
		c.startWatch()
	}
	if !c.raw && len(c.partial)+len(c.buffer) > 0 {
		c.startReadAhead()
		c.startPrefetches()
	}
	return started
}

func (c *countedConn) endServing() {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.serving = false
}

// startReadAhead reads ahead in a goroutine of its own unless it does so already or the buffer is
// full. The caller holds mutex.
func (c *countedConn) startReadAhead() {
	if len(c.buffer) >= readAheadBytes {
		c.startWatch()
	}
	if c.reading || c.readErr != nil || len(c.buffer) >= readAheadBytes {
		return
	}
	c.reading = true
	go c.readAhead()
}

// readAhead reads until the buffer is full or a read fails. A time-out is left to the next Read,
// which meets the same read deadline.
func (c *countedConn) readAhead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	defer c.changed.Broadcast()
	chunk := make([]byte, readAheadChunk)
	for len(c.buffer) < readAheadBytes {
		if err := c.readSocket(chunk); err != nil {
			c.reading = false
			if !isTimeout(err) {
				c.readErr = err
				c.cancel()
			}
			return
		}
		c.changed.Broadcast()
		c.startPrefetches()
	}
	c.reading = false
	c.startWatch()
}

// watchBody looks for the close while the body of the request served is read as its host takes it. The
// connection may be nil.
func (c *countedConn) watchBody() {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.startWatch()
}

// startWatch schedules watchClose unless it is scheduled. The caller holds mutex.
func (c *countedConn) startWatch() {
	if c.watching {
		return
	}
	c.watching = true
	time.AfterFunc(closeCheckInterval, c.watchClose)
}

// watchClose cancels the requests of the connection if the caller has closed it, and looks again later
// for as long as a request is served.
func (c *countedConn) watchClose() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watching = false
	switch {
	case !c.serving || c.ctx.Err() != nil:
	case c.closedByCaller():
		c.cancel()
	default:
		c.startWatch()
	}
}

// startClosing reports whether the connection may be closed after the current response, and if so
// keeps further requests from being started early. A further request that was started or has been read
// must be answered: its caller could not tell whether it ran.
func (c *countedConn) startClosing() bool {
	if c == nil {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.prefetches) > 0 || len(c.buffer) > 0 || len(c.partial) > 0 || c.remaining > 0 {
		return false
	}
	c.closing = true
	return true
}

// closedByCaller reports whether the caller has closed the connection, also where bytes that were not
// read yet hide it from a read. The connection may be nil.
func (c *countedConn) closedByCaller() bool {
	return c != nil && connstate.ClosedByPeer(c.Conn)
}

// cancelRequests ends the context of the connection's requests.
func (c *countedConn) cancelRequests() {
	c.mutex.Lock()
	cancel := c.cancel
	c.mutex.Unlock()
	cancel()
}

// Close implements net.Conn. It does not block: while the caller may be sending a body, the socket is closed
// later, or by another Close. Whole requests that were not read are not discarded: a reset tells their
// callers that they were not run.
func (c *countedConn) Close() error {
	c.cancelRequests()
	first := false
	c.once.Do(func() {
		first = true
		c.releasePrefetches()
		c.entry.tenantShares.forget(c)
	})
	if !first {
		return c.Conn.Close()
	}
	limits := c.lingerLimits()
	if limits.Bytes == 0 {
		defer c.onClose()
		return c.Conn.Close()
	}
	go func() {
		defer c.onClose()
		_ = connclose.Linger(c.Conn, limits)
	}()
	return nil
}

// releasePrefetches releases the requests whose responses no caller waits for any more.
func (c *countedConn) releasePrefetches() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closing = true
	for _, p := range c.prefetches {
		p.release()
	}
}
