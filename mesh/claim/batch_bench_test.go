package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// BenchmarkTransactions reports the transactions in the store for each claim and the latency of
// claims that are spread over the daemons of a zone: with zoned=false each daemon writes its own
// batches, with zoned=true two daemons write those of all.
func BenchmarkTransactions(b *testing.B) {
	const daemons = 140
	var names []string
	for i := range daemons {
		names = append(names, fmt.Sprint("h", i))
	}
	for _, rate := range []int{100, 1000} { // claims per second
		for _, zoned := range []bool{false, true} {
			b.Run(fmt.Sprintf("rate=%d/zoned=%t", rate, zoned), func(b *testing.B) {
				table := newTable()
				z := newZone(table, names...)
				if !zoned {
					for _, name := range names {
						z.hosts[name] = New(table, zap.NewNop())
					}
				}
				claims := 0
				var latencies []time.Duration
				for b.Loop() {
					latencies = append(latencies, claimAtRate(b, z, names, claims, rate)...)
					claims += rate
				}
				slices.Sort(latencies)
				b.ReportMetric(float64(table.txns)/float64(claims), "txns/claim")
				b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// claimAtRate makes the claims of one second, numbered from first, and returns their latencies.
func claimAtRate(b *testing.B, z *zone, names []string, first, rate int) []time.Duration {
	var mutex sync.Mutex
	var latencies []time.Duration
	var attempts sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := first; i < first+rate; i++ {
		<-ticker.C
		attempts.Go(func() {
			start := time.Now()
			if _, err := z.hosts[names[i*37%len(names)]].Claim(context.Background(), request(fmt.Sprint("k", i), fmt.Sprint("attempt", i))); err != nil {
				b.Error(err)
			}
			mutex.Lock()
			defer mutex.Unlock()
			latencies = append(latencies, time.Since(start))
		})
	}
	attempts.Wait()
	return latencies
}
