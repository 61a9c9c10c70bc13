package integration

import (
	"context"
	"testing"

	"sassafrasnotch.example/mesh/standin/load"
)

// loadRun is a load generator that runs concurrently with a test.
type loadRun struct {
	cancel context.CancelFunc
	done   chan load.Report
}

// startLoad starts a load generator, which sends requests until stop is called or the configured
// duration has passed.
func startLoad(t *testing.T, config load.Config) *loadRun {
	t.Helper()
	generator, err := load.New(config)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r := &loadRun{cancel: cancel, done: make(chan load.Report, 1)}
	go func() { r.done <- generator.Run(ctx) }()
	return r
}

// stop stops the load and returns its report.
func (r *loadRun) stop() load.Report {
	r.cancel()
	return <-r.done
}
