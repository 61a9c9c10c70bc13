package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/standin/load"
)

// loadCommand sends requests and prints a summary of their results.
type loadCommand struct {
	output
	configFile  string
	resultsFile string
	entries     string
	rate        float64
	duration    time.Duration
}

func (*loadCommand) Name() string { return "load" }
func (*loadCommand) Synopsis() string {
	return "send requests at a fixed rate and record the responses"
}
func (*loadCommand) Usage() string {
	return "standin load -config FILE [-entries ADDRESS,...] [-answers FILE]\n" +
		"Flags override the file. It prints the summary as JSON.\n" +
		"Example: standin load -config load.json -entries 127.0.0.1:8001,127.0.0.1:8002 -rate 200\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.configFile, "config", "", "`file` with the configuration of the run")
	f.StringVar(&c.resultsFile, "answers", "", "`file` to which the result of every attempt is written as JSON")
	f.StringVar(&c.entries, "entries", "", "`addresses` of the daemons, comma-separated")
	f.Float64Var(&c.rate, "rate", 0, "`requests` per second")
	f.DurationVar(&c.duration, "duration", 0, "`time` for which requests are sent")
}

// config returns the file's configuration with the flags applied.
func (c *loadCommand) config() (load.Config, error) {
	var config load.Config
	if err := readConfig(c.configFile, &config); err != nil {
		return config, err
	}
	if c.entries != "" {
		config.Entries = strings.Split(c.entries, ",")
	}
	override(&config.Rate, c.rate)
	override(&config.Duration, revision.Duration(c.duration))
	return config, nil
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	config, err := c.config()
	if err != nil {
		return c.usageError(err)
	}
	generator, err := load.New(config)
	if err != nil {
		return c.usageError(err)
	}
	report := generator.Run(ctx)
	if err := writeResults(c.resultsFile, report.Results); err != nil {
		return c.exitStatus(err)
	}
	return c.exitStatus(c.printJSON(report.Summary))
}

func writeResults(name string, results []load.AttemptResult) error {
	if name == "" {
		return nil
	}
	data, err := json.Marshal(results)
	if err != nil {
		return err
	}
	return os.WriteFile(name, data, 0o644)
}
