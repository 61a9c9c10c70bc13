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

func TestLogLevelCanBeTurned(t *testing.T) {
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

// stuck is an output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	lines   bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.lines.Write(p)
}

// Standard output that is not read neither blocks a caller nor costs memory
// without bound, and what was lost is told.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	output := &stuck{release: make(chan struct{})}
	log, err := newLog(output, "info", "h1", "za")
	is.NoErr(err)
	const lines = 10 * bufferedLines
	began := time.Now()
	for i := range lines {
		log.Info(fmt.Sprintf("message %d", i)) // each its own, so that none is sampled
	}
	is.True(time.Since(began) < 5*time.Second)
	is.True(log.Dropped() >= lines-bufferedLines-2)
	is.True(len(log.out.lines) <= bufferedLines)
	close(output.release)
	for deadline := time.Now().Add(10 * time.Second); len(log.out.lines) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	log.Close()
	is.True(strings.Contains(output.lines.String(), "log lines dropped"))
}

// Under load a message takes a bounded number of lines, and others are still
// written.
func TestLogVolumeIsBounded(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	log, err := newLog(&output, "info", "h1", "za")
	is.NoErr(err)
	const calls = 5000
	for range calls {
		log.Info("request refused")
	}
	log.Warn("store lost")
	log.Close()
	text := output.String()
	is.True(strings.Count(text, "request refused") <= 2*(linesPerSecond+calls/everyLine)) // two seconds at most
	is.Equal(strings.Count(text, "store lost"), 1)
}

func TestMetricsOfTwoProvidersAreApart(t *testing.T) {
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
