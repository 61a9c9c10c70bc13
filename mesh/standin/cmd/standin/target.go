package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"time"

	"github.com/google/subcommands"

	"sassafrasnotch.example/mesh/standin"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

const drainTimeout = 30 * time.Second

// targetCommand serves a target until the process is interrupted, then drains it.
type targetCommand struct {
	output
	configFile string
	flags      targetserver.Config
}

func (*targetCommand) Name() string     { return "target" }
func (*targetCommand) Synopsis() string { return "serve a target that announces itself" }
func (*targetCommand) Usage() string {
	return "standin target [-config FILE] [-admin ADDRESS] ...\n" +
		"Flags override the file.\n" +
		"Example: standin target -instance desk-1 -service desk -version v1 -admin 127.0.0.1:7001\n"
}

func (c *targetCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.configFile, "config", "", "`file` with the target's configuration")
	f.StringVar(&c.flags.Instance, "instance", "", "`name` of this target")
	f.StringVar(&c.flags.Service, "service", "", "`name` of its service")
	f.StringVar(&c.flags.Version, "version", "", "`name` of its version")
	f.StringVar(&c.flags.Host, "host", "", "`name` of its host")
	f.StringVar(&c.flags.Listen, "listen", "", "`address` for requests")
	f.StringVar(&c.flags.Control, "control", "", "`address` of the execution records and the control endpoints")
	f.StringVar(&c.flags.Admin, "admin", "", "`address` of the daemon's admin port")
	f.IntVar(&c.flags.Slots, "slots", 0, "`number` of requests that run at once")
}

// config returns the file's configuration with the flags applied.
func (c *targetCommand) config() (targetserver.Config, error) {
	var config targetserver.Config
	if err := readConfig(c.configFile, &config); err != nil {
		return config, err
	}
	override(&config.Instance, c.flags.Instance)
	override(&config.Service, c.flags.Service)
	override(&config.Version, c.flags.Version)
	override(&config.Host, c.flags.Host)
	override(&config.Listen, c.flags.Listen)
	override(&config.Control, c.flags.Control)
	override(&config.Admin, c.flags.Admin)
	override(&config.Slots, c.flags.Slots)
	return config, nil
}

// override replaces a field by the value of a flag, unless that is zero.
func override[T comparable](field *T, given T) {
	var zero T
	if given != zero {
		*field = given
	}
}

func (c *targetCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	config, err := c.config()
	if err != nil {
		return c.usageError(err)
	}
	server, err := targetserver.New(config)
	if err != nil {
		return c.usageError(err)
	}
	if err := server.Start(); err != nil {
		return c.exitStatus(err)
	}
	defer server.Close()
	if err := c.printJSON(standin.Ready{Listen: server.Addr(), Control: server.ControlAddr()}); err != nil {
		return c.exitStatus(err)
	}
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err = server.Drain(drain)
	return c.exitStatus(errors.Join(err, json.NewEncoder(c.stderr).Encode(standin.DrainReport{ExecutionRecords: server.ExecutionRecords()})))
}
