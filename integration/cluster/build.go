// Package cluster runs the system as real processes for tests: the platform stand-in, daemons and
// targets. Each host has its own loopback address.
package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	// Imported so that a change of the programs invalidates cached test results: go test doesn't see
	// the dependency on the binaries that Build builds.
	_ "sassafrasnotch.example/mesh/ctl"
	_ "sassafrasnotch.example/mesh/daemon"
)

// Binaries holds the paths of the built programs: sassafrasd, sassafrasctl and standin.
type Binaries struct {
	Daemon  string
	Control string
	Standin string
}

var buildOnce = sync.OnceValues(build)

// Build builds the programs once per test process and returns their paths.
func Build() (Binaries, error) { return buildOnce() }

func build() (Binaries, error) {
	dir, err := os.MkdirTemp("", "sassafrasnotch-bin-")
	if err != nil {
		return Binaries{}, err
	}
	command := exec.Command("go", "build", "-o", dir,
		"sassafrasnotch.example/mesh/cmd/sassafrasd",
		"sassafrasnotch.example/mesh/cmd/sassafrasctl",
		"sassafrasnotch.example/mesh/standin/cmd/standin")
	if output, err := command.CombinedOutput(); err != nil {
		return Binaries{}, fmt.Errorf("build the programs: %w\n%s", err, output)
	}
	return Binaries{
		Daemon:  filepath.Join(dir, "sassafrasd"),
		Control: filepath.Join(dir, "sassafrasctl"),
		Standin: filepath.Join(dir, "standin"),
	}, nil
}

// RemoveBinaries deletes the programs that Build built. TestMain calls it after the last test.
func RemoveBinaries() {
	if binaries, err := buildOnce(); err == nil {
		_ = os.RemoveAll(filepath.Dir(binaries.Daemon))
	}
}
