package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/standin"
	"sassafrasnotch.example/mesh/standin/load"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

// execute runs a command with arguments and returns its exit status.
func execute(ctx context.Context, c subcommands.Command, args ...string) subcommands.ExitStatus {
	flags := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	c.SetFlags(flags)
	if err := flags.Parse(args); err != nil {
		return subcommands.ExitUsageError
	}
	return c.Execute(ctx, flags)
}

// serve runs a command in the background until the test ends, and returns its Ready line.
func serve(t *testing.T, command func(output) subcommands.Command, args ...string) standin.Ready {
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	done := make(chan subcommands.ExitStatus, 1)
	go func() { done <- execute(ctx, command(output{stdout: writer, stderr: io.Discard}), args...) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).Equal(<-done, subcommands.ExitSuccess)
	})
	var ready standin.Ready
	is.New(t).NoErr(json.NewDecoder(reader).Decode(&ready))
	return ready
}

func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "config.json")
	is.New(t).NoErr(os.WriteFile(name, []byte(text), 0o600))
	return name
}

func TestPlatformCommand(t *testing.T) {
	is := is.New(t)
	ready := serve(t, func(o output) subcommands.Command { return &platformCommand{output: o} })
	resp, err := http.Get("http://" + ready.Control + platformserver.PathCounters)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
}

func TestLoadAgainstTarget(t *testing.T) {
	is := is.New(t)
	config := writeFile(t, `{"instance": "a", "service": "s", "linger": "1ms" /* short */}`)
	ready := serve(t, func(o output) subcommands.Command { return &targetCommand{output: o} }, "-version", "v9", "-config", config)

	run := writeFile(t, `{"rate": 1000, "concurrency": 50, "duration": "5ms", "timeout": "30s",
		"routes": [{"method": "GET", "path": "/", "weight": 1}]}`)
	results := filepath.Join(t.TempDir(), "answers.json")
	var stdout, stderr bytes.Buffer
	c := &loadCommand{output: output{stdout: &stdout, stderr: &stderr}}
	is.Equal(execute(t.Context(), c, "-config", run, "-entries", ready.Listen, "-answers", results), subcommands.ExitSuccess)
	is.Equal(stderr.String(), "")
	var summary load.Summary
	is.NoErr(json.Unmarshal(stdout.Bytes(), &summary))
	is.Equal(summary.Versions, []load.VersionCounts{{Version: "v9", Responses: 5}})

	resp, err := http.Get("http://" + ready.Control + targetserver.PathExecutionRecords)
	is.NoErr(err)
	defer resp.Body.Close()
	var records []targetserver.ExecutionRecord
	is.NoErr(json.NewDecoder(resp.Body).Decode(&records))
	is.Equal(len(records), 5)
}

func TestInvalidInputIsAUsageError(t *testing.T) {
	unknown := writeFile(t, "{\n\"slot\": 3}")
	cases := []struct {
		name    string
		command func(output) subcommands.Command
		args    []string
		message string
	}{
		{"target without a name", func(o output) subcommands.Command { return &targetCommand{output: o} }, nil, "instance"},
		{"target with an unknown field", func(o output) subcommands.Command { return &targetCommand{output: o} }, []string{"-config", unknown}, unknown + ":2: slot: unknown field"},
		{"load without routes", func(o output) subcommands.Command { return &loadCommand{output: o} }, nil, "routes"},
		{"load without its file", func(o output) subcommands.Command { return &loadCommand{output: o} }, []string{"-config", "absent.json"}, "absent.json"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var stderr bytes.Buffer
			status := execute(t.Context(), c.command(output{stdout: io.Discard, stderr: &stderr}), c.args...)
			is.Equal(status, subcommands.ExitUsageError)
			is.True(strings.Contains(stderr.String(), c.message))
		})
	}
}
