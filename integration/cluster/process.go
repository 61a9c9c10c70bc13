package cluster

import (
	"bytes"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"
)

const exitWait = 40 * time.Second // cap for a graceful stop

// Process is a running program of the test.
type Process struct {
	Name    string
	command *exec.Cmd
	log     *lockedBuffer
	done    chan struct{}
	err     error
}

// lockedBuffer collects the output of a process.
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

// start runs a program until the test ends.
func start(t testing.TB, name, path string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, command: exec.Command(path, args...), log: &lockedBuffer{}, done: make(chan struct{})}
	p.command.Stdout = p.log
	p.command.Stderr = p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("---- %s\n%s", name, tail(p.log.String()))
		}
	})
	return p
}

const tailBytes = 6000 // of a log shown for a failed test

func tail(text string) string {
	if len(text) > tailBytes {
		return text[len(text)-tailBytes:]
	}
	return text
}

// Log returns what the process printed.
func (p *Process) Log() string { return p.log.String() }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the process without ending it.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks for a graceful stop.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup tells the process that its settings changed.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Wait returns the error of the process once it has ended.
func (p *Process) Wait(t testing.TB) error {
	t.Helper()
	select {
	case <-p.done:
		return p.err
	case <-time.After(exitWait):
		t.Fatalf("%s did not end within %v", p.Name, exitWait)
		return nil
	}
}

func (p *Process) signal(signal syscall.Signal) {
	if p.Running() {
		_ = p.command.Process.Signal(signal)
	}
}
