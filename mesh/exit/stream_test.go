package exit_test

import (
	"bytes"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

const longBody = 5 << 20 // bytes

func randomBody(size int) []byte {
	body := make([]byte, size)
	rand.NewChaCha8([32]byte{1}).Read(body)
	return body
}

// sendBody sends a body in data frames.
func sendBody(stream *peer.Stream, attempt uint64, body []byte) error {
	for chunk := range bytesChunks(body, peer.MaxDataChunk) {
		frame := &peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_Data{Data: chunk}}
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return stream.Send(&peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_End{End: &peerpb.CallEnd{}}})
}

func bytesChunks(body []byte, size int) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(body) > 0 {
			n := min(size, len(body))
			if !yield(body[:n]) {
				return
			}
			body = body[n:]
		}
	}
}

func streamedHead(length int64) *peerpb.CallHead {
	head := requestHead(http.MethodPost, "/orders", "")
	head.Complete = false
	head.ContentLength = length
	return head
}

func TestBodiesStreamInBothDirections(t *testing.T) {
	sent := randomBody(longBody)
	cases := []struct {
		name   string
		length int64
		inline int // bytes of the body in the first frame
	}{
		{"with a length", longBody, 0},
		{"in chunks", -1, 0},
		{"with a length and the first part inline", longBody, 1000},
		{"in chunks and the first part inline", -1, 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t)
			fx.target(1, func(w http.ResponseWriter, r *http.Request) {
				http.NewResponseController(w).EnableFullDuplex()
				io.Copy(w, r.Body)
			})
			for range 2 {
				head := streamedHead(c.length)
				head.InlineBody = sent[:c.inline]
				stream := fx.send(head)
				sendResult := make(chan error, 1)
				go func() { sendResult <- sendBody(stream, fx.attempt, sent[c.inline:]) }()
				body, complete, _ := receiveResponse(t, stream)
				is.True(complete)
				is.True(bytes.Equal(digest([]byte(body)), digest(sent)))
				is.NoErr(<-sendResult)
				stream.Release()
			}
		})
	}
}

func digest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// Guards against a truncated request body that the target reads as a complete one.
func TestTruncatedRequestBodyFailsAtTheTarget(t *testing.T) {
	for _, length := range []int64{10, -1} {
		is := is.New(t)
		fx := newFixture(t)
		began, readResult := make(chan struct{}), make(chan error, 1)
		fx.target(1, func(_ http.ResponseWriter, r *http.Request) {
			close(began)
			_, err := io.ReadAll(r.Body)
			readResult <- err
		})
		stream := fx.send(streamedHead(length))
		is.NoErr(stream.Send(&peerpb.CallFrame{Attempt: fx.attempt, Body: &peerpb.CallFrame_Data{Data: []byte("12345")}}))
		<-began
		stream.Discard()
		is.True(<-readResult != nil)
	}
}

// Guards against an exit that waits for the remaining body after the target has responded.
func TestEarlyResponseEndsTheStream(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	fx.target(1, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) })
	stream := fx.send(streamedHead(longBody))
	_, complete, _ := receiveResponse(t, stream)
	is.True(complete)
	stream.Discard()
	is.True(fx.roundTrip(requestHead(http.MethodGet, "/", "")).GetAnswer() != nil)
}
