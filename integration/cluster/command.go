package cluster

import (
	"context"
	"errors"
	"os/exec"
	"time"

	"sassafrasnotch.example/platform/rowstore"
)

const commandTimeout = 30 * time.Second // for one run of sassafrasctl

// CommandResult is the exit code and the output of a finished run of sassafrasctl.
type CommandResult struct {
	ExitCode int
	Stdout   string
	Stderr   string
}

// RunCommand runs sassafrasctl with the arguments against the daemon's admin port.
func (d *Daemon) RunCommand(args ...string) CommandResult {
	d.cluster.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
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

// PlatformClient returns a client that connects to the platform directly, so that no fault of Network
// applies to it.
func (c *Cluster) PlatformClient() *rowstore.Client {
	return rowstore.New(rowstore.Config{URL: "http://" + c.platformAddress(), Timeout: startTimeout})
}
