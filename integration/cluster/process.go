package cluster

import (
	"bytes"
	"fmt"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"
)

const exitTimeout = 40 * time.Second // limit for a graceful stop

// Process is a program that a test runs. Its output is collected.
type Process struct {
	Name    string
	command *exec.Cmd
	log     *lockedBuffer
	exited  chan struct{}
	exitErr error
}

// lockedBuffer collects the output of a process. It is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// start runs a program until the test ends, and then kills it. If the test failed it logs the start and the end of
// the program's output. The kernel kills the program if the test process dies.
func start(t testing.TB, name, path string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, command: exec.Command(path, args...), log: &lockedBuffer{}, exited: make(chan struct{})}
	p.command.Stdout = p.log
	p.command.Stderr = p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.exitErr = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("---- %s\n%s", name, abridgedLog(p.log.String()))
		}
	})
	return p
}

// The output of a process that is logged for a failed test: its start, where a daemon says how it got
// its configuration, and its end.
const (
	logStartBytes = 12000
	logEndBytes   = 12000
)

func abridgedLog(text string) string {
	if omitted := len(text) - logStartBytes - logEndBytes; omitted > 0 {
		return fmt.Sprintf("%s\n[%d bytes omitted]\n%s", text[:logStartBytes], omitted, text[len(text)-logEndBytes:])
	}
	return text
}

// Log returns what the process printed to stdout and stderr so far.
func (p *Process) Log() string { return p.log.String() }

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits for the end of the process.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate requests a graceful stop with SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup sends SIGHUP, on which a daemon reloads its settings.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Wait waits for the end of the process and returns the error of its exit. It fails the test after
// exitTimeout.
func (p *Process) Wait(t testing.TB) error {
	t.Helper()
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(exitTimeout):
		t.Fatalf("%s did not end within %v", p.Name, exitTimeout)
		return nil
	}
}

func (p *Process) signal(signal syscall.Signal) {
	if p.Running() {
		_ = p.command.Process.Signal(signal)
	}
}
