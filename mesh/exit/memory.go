package exit

import (
	"sassafrasnotch.example/mesh/clientmemory"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// What a request holds at the exit, in bytes.
const (
	// requestBytes are the goroutines, the stream and the buffers of the connection to the target.
	requestBytes = 24 << 10
	// headCopies is how often the text of a head is held: in the frame, as header fields, and as it is sent.
	headCopies = 3
	// headerFieldBytes is a field of a head besides its text.
	headerFieldBytes = 256
)

// WithMemory makes the requests of the exit count in the memory.
func WithMemory(m *clientmemory.Memory) Option { return func(e *Exit) { e.memory = m } }

// holdMemory counts what the request holds until the returned function is called. It returns a refusal if
// memory is short.
func (c *callerRequest) holdMemory() (release func(), refused *refusal) {
	bytes := requestBytes + headCopies*len(c.head.Path) + len(c.head.InlineBody)
	for _, header := range c.head.Headers {
		bytes += headCopies*(len(header.Name)+len(header.Value)) + headerFieldBytes
	}
	if !c.head.Complete {
		bytes += peer.MaxDataChunk
	}
	release, granted := c.exit.memory.Hold(int64(bytes))
	if granted {
		return release, nil
	}
	return func() {}, &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED, detail: clientmemory.ErrShort.Error(), byAdmission: true}
}
