package cluster

import (
	"context"
	"errors"
	"os/exec"
	"time"

	"sassafrasnotch.example/platform/rowstore"
)

const commandLimit = 30 * time.Second // for one command of an operator

// CommandResult is a finished run of the operators' command line.
type CommandResult struct {
	ExitCode int
	Stdout   string
	Stderr   string
}

// RunCommand runs the operators' command line against the daemon.
func (d *Daemon) RunCommand(args ...string) CommandResult {
	d.cluster.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), commandLimit)
	defer cancel()
	var stdout, stderr lockedBuffer
	command := exec.CommandContext(ctx, d.cluster.binaries.Control, args...)
	command.Env = []string{"SASSAFRAS_ADMIN=" + d.Settings.Admin.Listen}
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exited *exec.ExitError
	if err != nil && !errors.As(err, &exited) {
		d.cluster.t.Fatalf("run sassafrasctl %v: %v", args, err)
	}
	return CommandResult{ExitCode: command.ProcessState.ExitCode(), Stdout: stdout.String(), Stderr: stderr.String()}
}

// PlatformClient returns a client of the platform that no fault of the network
// reaches.
func (c *Cluster) PlatformClient() *rowstore.Client {
	return rowstore.New(rowstore.Config{URL: "http://" + c.platformAddress(), Timeout: startWait})
}
