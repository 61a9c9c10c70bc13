package peer

import (
	"bufio"
	"errors"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Limits on the size of frames and of their parts, in bytes.
const (
	// MaxInlineBody is the largest body that is sent within a head frame.
	MaxInlineBody = 32 << 10
	// MaxDataChunk is the largest part of a body that is sent in one data frame.
	MaxDataChunk = 64 << 10

	maxHelloFrame   = 1 << 10 // also limits the header of a stream
	maxCallFrame    = 2 << 20
	maxControlFrame = 16 << 20
	// maxPooledBuffer is the capacity above which a buffer is not kept for reuse.
	maxPooledBuffer = 2 * MaxDataChunk
)

var errFrameSize = errors.New("frame exceeds the size limit")

// frameBuffers holds the buffers in which frames are encoded.
var frameBuffers = sync.Pool{New: func() any { return new([]byte) }}

// writeFrame writes the length of the message and the message in a single write. It returns the
// number of bytes written, and errFrameSize for a message of more than limit bytes.
func writeFrame(w io.Writer, m proto.Message, limit int) (int, error) {
	size := proto.Size(m)
	if size > limit {
		return 0, errFrameSize
	}
	buffer := frameBuffers.Get().(*[]byte)
	defer putFrameBuffer(buffer)
	data := protowire.AppendVarint((*buffer)[:0], uint64(size))
	data, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(data, m)
	if err != nil {
		return 0, err
	}
	*buffer = data
	return w.Write(data)
}

func putFrameBuffer(buffer *[]byte) {
	if cap(*buffer) > maxPooledBuffer {
		return
	}
	frameBuffers.Put(buffer)
}

// readFrame reads a message of at most limit bytes. It returns io.EOF only if the reader ended
// before the first byte.
func readFrame(r protodelim.Reader, m proto.Message, limit int) error {
	return protodelim.UnmarshalOptions{MaxSize: int64(limit)}.UnmarshalFrom(r, m)
}

// frameSize returns the size in bytes of the encoded message with its length prefix.
func frameSize(m proto.Message) int {
	size := proto.Size(m)
	return size + protowire.SizeVarint(uint64(size))
}

// byteReader reads one byte at a time, so that nothing after a frame is consumed.
type byteReader struct{ io.Reader }

func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

// streamReadBuffer is the size in bytes of the read buffer of a stream.
const streamReadBuffer = 4 << 10

func newFrameReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, streamReadBuffer) }
