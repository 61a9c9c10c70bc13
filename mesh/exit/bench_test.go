package exit_test

import (
	"io"
	"net/http"
	"testing"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

func ok(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }

// BenchmarkCall compares a request through a peer session and the exit with a
// direct one to the same target.
func BenchmarkCall(b *testing.B) {
	fx := newFixture(b)
	target := fx.target(64, ok)
	b.Run("through the exit", func(b *testing.B) {
		b.ReportAllocs()
		head := requestHead(http.MethodGet, "/", "")
		head.Idempotent = true
		frame := &peerpb.CallFrame{}
		for range b.N {
			stream := fx.send(head)
			if err := stream.Receive(frame); err != nil {
				b.Fatal(err)
			}
			stream.Release()
		}
	})
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			response, err := target.Client().Get(target.URL)
			if err != nil {
				b.Fatal(err)
			}
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	})
}
