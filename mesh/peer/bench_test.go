package peer_test

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"

	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

// benchmarkRequest sends one small request and receives the response. An error fails the benchmark.
func benchmarkRequest(b *testing.B, pool *peer.Pool, address string, attempt uint64) {
	stream, err := pool.OpenStream(context.Background(), "h2", address)
	if err != nil {
		b.Error(err)
		return
	}
	var frame peerpb.CallFrame
	if err := stream.Send(requestFrame(attempt, "swan")); err != nil {
		b.Error(err)
	}
	if err := stream.Receive(&frame); err != nil {
		b.Error(err)
	}
	stream.Release()
}

func BenchmarkRequest(b *testing.B) {
	_, address, pool := startServer(b, settings.Default().Peer, requestHandlerFunc(echoRequest))
	b.Run("one in flight", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			benchmarkRequest(b, pool, address, uint64(i))
		}
	})
	b.Run("about 64 in flight", func(b *testing.B) {
		b.ReportAllocs()
		b.SetParallelism(64 / runtime.GOMAXPROCS(0))
		var attempt atomic.Uint64
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				benchmarkRequest(b, pool, address, attempt.Add(1))
			}
		})
	})
}
