package connstate

import (
	"net"
	"testing"
)

// BenchmarkClosedByPeer measures one look at a connection.
func BenchmarkClosedByPeer(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	b.ReportAllocs()
	for b.Loop() {
		ClosedByPeer(conn)
	}
}
