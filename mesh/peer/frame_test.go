package peer

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// requestFrame returns a request with the body.
func requestFrame(body string) *peerpb.CallFrame {
	return &peerpb.CallFrame{Attempt: 3, Body: &peerpb.CallFrame_Head{Head: &peerpb.CallHead{
		Service: "desk", InlineBody: []byte(body), Complete: true,
	}}}
}

func TestFrameRoundTrip(t *testing.T) {
	is := is.New(t)
	var buffer bytes.Buffer
	want := requestFrame("swan")
	n, err := writeFrame(&buffer, want, maxCallFrame)
	is.NoErr(err)
	is.Equal(n, frameSize(want))
	var got peerpb.CallFrame
	is.NoErr(readFrame(bufio.NewReader(&buffer), &got, maxCallFrame))
	is.True(proto.Equal(&got, want))
	is.Equal(readFrame(bufio.NewReader(&buffer), &got, maxCallFrame), io.EOF)
}

func TestFrameAboveTheLimitIsNotWritten(t *testing.T) {
	is := is.New(t)
	var buffer bytes.Buffer
	_, err := writeFrame(&buffer, requestFrame("swan"), 4)
	is.Equal(err, errFrameSize)
	is.Equal(buffer.Len(), 0)
}

func FuzzReadFrame(f *testing.F) {
	var validFrame bytes.Buffer
	writeFrame(&validFrame, requestFrame("swan"), maxCallFrame)
	f.Add(validFrame.Bytes())
	f.Add(validFrame.Bytes()[:5])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{0x80, 0x80, 0x80, 0x01, 0x0a})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(data), streamReadBuffer)
		for {
			var frame peerpb.CallFrame
			if readFrame(reader, &frame, maxHelloFrame) != nil {
				return
			}
			var rewritten bytes.Buffer
			if _, err := writeFrame(&rewritten, &frame, maxCallFrame); err != nil {
				t.Fatalf("cannot write a frame that was read: %v", err)
			}
		}
	})
}
