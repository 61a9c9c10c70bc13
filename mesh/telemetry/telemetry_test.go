package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

func TestLogLevelCanBeChanged(t *testing.T) {
	is := is.New(t)
	log, err := newLog(io.Discard, "warn", "h1", "za")
	is.NoErr(err)
	defer log.Close()
	is.True(!log.Core().Enabled(zap.InfoLevel))
	log.Level.SetLevel(zap.DebugLevel)
	is.True(log.Core().Enabled(zap.DebugLevel))
}

func TestUnknownLogLevel(t *testing.T) {
	_, err := NewLog("loud", "h1", "za")
	is.New(t).True(err != nil)
}

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct {
	release chan struct{}
	lines   bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	return o.lines.Write(p)
}

// An output that is not read must neither block a caller nor let the buffer grow without bound. The
// number of dropped lines is counted and logged.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	output := &blockedOutput{release: make(chan struct{})}
	log, err := newLog(output, "info", "h1", "za")
	is.NoErr(err)
	const lines = 10 * maxBufferedLines
	began := time.Now()
	for i := range lines {
		log.Info(fmt.Sprintf("message %d", i)) // distinct messages, so that sampling drops none
	}
	is.True(time.Since(began) < 5*time.Second)
	is.True(log.Dropped() >= lines-maxBufferedLines-2)
	is.True(len(log.out.lines) <= maxBufferedLines)
	close(output.release)
	for deadline := time.Now().Add(10 * time.Second); len(log.out.lines) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	log.Close()
	is.True(strings.Contains(output.lines.String(), "log lines dropped"))
}

// A message that repeats under load must not flood the log, and other messages are still written.
func TestLogVolumeIsBounded(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	log, err := newLog(&output, "info", "h1", "za")
	is.NoErr(err)
	const requests = 5000
	for range requests {
		log.Info("request refused")
	}
	log.Warn("store lost")
	log.Close()
	text := output.String()
	is.True(strings.Count(text, "request refused") <= 2*(sampledFirst+requests/sampledThereafter)) // the lines fall into at most two seconds
	is.Equal(strings.Count(text, "store lost"), 1)
}

func TestMetricsOfTwoProvidersAreSeparate(t *testing.T) {
	is := is.New(t)
	page := func(m *Metrics) string {
		recorder := httptest.NewRecorder()
		m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return recorder.Body.String()
	}
	first, err := NewMetrics()
	is.NoErr(err)
	second, err := NewMetrics()
	is.NoErr(err)
	calls, err := first.Meter("entry").Int64Counter("sassafras.calls")
	is.NoErr(err)
	calls.Add(t.Context(), 3)
	is.True(strings.Contains(page(first), "sassafras_calls_total"))
	is.True(!strings.Contains(page(second), "sassafras_calls_total"))
}
