package integration

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

const (
	warmUpRequests  = 500
	histogramMax    = int64(10 * time.Second / time.Microsecond) // highest value, in microseconds
	histogramDigits = 3                                          // significant digits
)

// caller sends one request after the other on its own connection.
type caller struct {
	client    *http.Client
	histogram *hdrhistogram.Histogram
	url       string
}

func newCaller(address string) *caller {
	return &caller{
		client:    &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}},
		histogram: hdrhistogram.New(1, histogramMax, histogramDigits),
		url:       "http://" + address + "/counter/lookups/1",
	}
}

// send sends one request and returns its latency. It fails the benchmark without a status of 200.
func (c *caller) send(b *testing.B) time.Duration {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, c.url, nil)
	if err != nil {
		b.Fatal(err)
	}
	begin := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("%s: status %d, %v", c.url, response.StatusCode, err)
	}
	return time.Since(begin)
}

// record sends one request and adds its latency to the histogram.
func (c *caller) record(b *testing.B) { _ = c.histogram.RecordValue(c.send(b).Microseconds()) }

// report reports the percentiles of the latency as metrics in microseconds. If other is not nil, it
// subtracts other's percentiles.
func (c *caller) report(b *testing.B, name string, other *caller) {
	for _, percentile := range []float64{50, 99} {
		value := c.histogram.ValueAtQuantile(percentile)
		if other != nil {
			value -= other.histogram.ValueAtQuantile(percentile)
		}
		b.ReportMetric(float64(value), name+metricSuffix[percentile])
	}
}

var metricSuffix = map[float64]string{50: "-p50-us", 99: "-p99-us"}

// BenchmarkAddedLatency compares requests through an entry and an exit on another host with requests
// sent directly to the target. It sends one request at a time, alternating between the two.
func BenchmarkAddedLatency(b *testing.B) {
	c := cluster.Start(b, cluster.Options{Zones: 1, HostsPerZone: 2, Direct: true})
	target := c.StartTarget(c.Daemons[1], "counter", "v1", func(config *targetserver.Config) { config.WorkDuration = 0 })
	c.Daemons[0].MustSubmit(setupTicket(1))
	cluster.WaitRevision(b, convergence, 1, c.Daemons...)
	c.WaitTargets("counter", "v1", 1)
	direct := newCaller(target.Config.Listen)
	through := newCaller(c.Daemons[0].Settings.Entry.Listen)
	for range warmUpRequests {
		direct.send(b)
		through.send(b)
	}
	b.ResetTimer()
	for range b.N {
		direct.record(b)
		through.record(b)
	}
	direct.report(b, "direct", nil)
	through.report(b, "through", nil)
	through.report(b, "added", direct)
}
