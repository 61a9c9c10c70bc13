package workerserver

import (
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/standin/loopback"
)

// Guards against a worker that cannot start again at its address while other processes are started.
func TestStartAgainWhileProcessesAreStarted(t *testing.T) {
	is := is.New(t)
	block, err := loopback.Reserve()
	is.NoErr(err)
	defer block.Release()
	stop := make(chan struct{})
	var launches sync.WaitGroup
	defer launches.Wait()
	defer close(stop)
	for range 4 {
		launches.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command(os.Args[0], "-test.run=^$").Run()
				}
			}
		})
	}
	config := Config{
		ID: "i-1", Slots: 1, HeartbeatInterval: time.Second,
		Listen: loopback.Endpoint(block.IP(1, 1), 7005), Control: loopback.Endpoint(block.IP(1, 1), 7001),
	}
	for range 500 {
		worker, err := Start(config)
		is.NoErr(err)
		worker.Stop()
	}
}
