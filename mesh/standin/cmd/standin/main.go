// Command standin runs the stand-ins of the platform, the targets and the callers as processes.
// It is used by tests and is not one of the two binaries of the product.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"sassafrasnotch.example/mesh/jsonc"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "standin")
	commander.Register(commander.HelpCommand(), "")
	out := output{stdout: os.Stdout, stderr: os.Stderr}
	commander.Register(&platformCommand{output: out}, "")
	commander.Register(&targetCommand{output: out}, "")
	commander.Register(&loadCommand{output: out}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// output holds the streams that a command writes to.
type output struct {
	stdout, stderr io.Writer
}

// printJSON writes a value as one line of JSON to the standard output.
func (o output) printJSON(value any) error {
	return json.NewEncoder(o.stdout).Encode(value)
}

// exitStatus returns the exit status for an error, which it writes to the standard error.
func (o output) exitStatus(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(o.stderr, err)
	return subcommands.ExitFailure
}

// usageError writes an error in the input to the standard error and returns its exit status.
func (o output) usageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(o.stderr, err)
	return subcommands.ExitUsageError
}

// readConfig decodes a file of JSON with comments into a value, unless the name is empty.
func readConfig(name string, into any) error {
	if name == "" {
		return nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	return jsonc.DecodeFile(name, data, into)
}
