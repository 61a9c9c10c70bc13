package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Programs that the script starts, from the root of the repository.
const (
	daemonProgram   = "target/sassafrasd"
	controlProgram  = "target/sassafrasctl"
	platformProgram = "target/review-3/standin"
)

const startLimit = 15 * time.Second

// fleet is the system of one case: a platform, and daemons with a worker beside each.
type fleet struct {
	dir       string
	platform  string
	processes []*process
	daemons   []*daemon
}

// daemon is one daemon of the fleet with its addresses.
type daemon struct {
	host, zone              string
	outbound, control, peer string
	app                     string
	process                 *process
}

// process is a program that the fleet started.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// startProcess starts a program whose output goes to a file in dir.
func (f *fleet) startProcess(name string, env []string, program string, args ...string) (*process, error) {
	out, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &process{command: exec.Command(program, args...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = out, out
	p.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	f.processes = append(f.processes, p)
	return p, nil
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// stop ends all processes of the fleet and removes its folder.
func (f *fleet) stop() {
	for _, p := range f.processes {
		p.kill()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 100 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		listener.Close()
		if err == nil {
			packets.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// newFleet starts the platform and one daemon in each of three zones.
func newFleet() (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir}
	if f.platform, err = freeAddress(); err != nil {
		return f, err
	}
	if _, err := f.startProcess("platform", nil, platformProgram, "platform", "-listen", f.platform); err != nil {
		return f, err
	}
	zones := []string{"bzh-west-a", "bzh-west-b", "bzh-west-c"}
	for _, zone := range zones {
		d := &daemon{host: "sidecar-" + zone + "-1", zone: zone}
		for _, address := range []*string{&d.outbound, &d.control, &d.peer, &d.app} {
			if *address, err = freeAddress(); err != nil {
				return f, err
			}
		}
		settings := f.settingsOf(d, zones)
		path := filepath.Join(dir, d.host+".json")
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return f, err
		}
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return f, err
		}
		d.process, err = f.startProcess(d.host, []string{"SASSAFRASNOTCH_CONFIG=" + path}, daemonProgram)
		if err != nil {
			return f, err
		}
		f.daemons = append(f.daemons, d)
	}
	return f, nil
}

// settingsOf returns settings like those of examples/kerbrat and of the deploy file's template.
func (f *fleet) settingsOf(d *daemon, zones []string) map[string]any {
	return map[string]any{
		"host": d.host, "zone": d.zone, "region": "bzh-west", "zones": zones, "service": "order-desk",
		"entry":    map[string]any{"listen": d.outbound, "lameDuck": "2500ms", "confirmDispatch": true},
		"peer":     map[string]any{"listen": d.peer, "bind": "127.0.0.1"},
		"gossip":   map[string]any{"listen": d.peer},
		"admin":    map[string]any{"listen": d.control},
		"platform": map[string]any{"url": "http://" + f.platform},
		"exit":     map[string]any{"target": d.app, "announceTTL": "6s", "drainTimeout": "6s"},
		"runtime":  map[string]any{"gcPercent": 100, "memory": "284MB"},
	}
}

// control runs the command line of the project against the first daemon.
func (f *fleet) control(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	command := exec.CommandContext(ctx, controlProgram, args...)
	command.Env = []string{"SASSAFRAS_ADMIN=" + f.daemons[0].control}
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	err := command.Run()
	return out.String(), err
}

// await calls the function until it returns nil, at most until the limit.
func await(limit time.Duration, condition func() error) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		err := condition()
		if err == nil || time.Now().After(deadline) {
			return err
		}
	}
}
