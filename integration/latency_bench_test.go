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
	warmUpCalls = 500
	slowest     = int64(10 * time.Second / time.Microsecond) // of a histogram
	digits      = 3                                          // of precision
)

// caller sends one call after the other on a connection of its own.
type caller struct {
	client    *http.Client
	histogram *hdrhistogram.Histogram
	url       string
}

func newCaller(address string) *caller {
	return &caller{
		client:    &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}},
		histogram: hdrhistogram.New(1, slowest, digits),
		url:       "http://" + address + "/counter/lookups/1",
	}
}

// call sends one request and returns how long it took.
func (c *caller) call(b *testing.B) time.Duration {
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

func (c *caller) record(b *testing.B) { _ = c.histogram.RecordValue(c.call(b).Microseconds()) }

// report adds a percentile as a metric in microseconds.
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

// BenchmarkAddedLatency compares calls through an entry and an exit on another
// host with calls straight to the target, one at a time and in turns.
func BenchmarkAddedLatency(b *testing.B) {
	c := cluster.Start(b, cluster.Options{Zones: 1, HostsPerZone: 2, Direct: true})
	target := c.StartTarget(c.Daemons[1], "counter", "v1", func(config *targetserver.Config) { config.WorkDuration = 0 })
	c.Daemons[0].MustSubmit(setUp(1))
	cluster.WaitRevision(b, convergence, 1, c.Daemons...)
	c.WaitTargets("counter", "v1", 1)
	direct := newCaller(target.Config.Listen)
	through := newCaller(c.Daemons[0].Settings.Entry.Listen)
	for range warmUpCalls {
		direct.call(b)
		through.call(b)
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
