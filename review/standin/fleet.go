package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the two sites in force that the settings template uses.
var bounds = map[string]string{"ConfigApplyMs": "2000", "GraceS": "6", "RetryBudgetSlack": "62"}

// machine is one machine of the deployment: its daemon, run with the command of the deploy file, and the
// addresses of its settings.
type machine struct {
	name, zone, service, ip            string
	app, outbound, ready, control, log string
	internal                           int
	settings                           string
	command                            *exec.Cmd
	ended                              chan struct{}
}

// fleet is a small deployment: a store and some machines.
type fleet struct {
	root, dir string
	store     *store
	machines  []*machine
	record    *record
}

// record is the file record.txt of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// newFleet starts the store and the daemons of the machines, and writes the first configuration. Each
// machine has the service given for it.
func newFleet(root string, rec *record, services []string, config any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: rec}
	if f.store, err = startStore("127.0.0.1"); err != nil {
		return nil, err
	}
	f.store.put("op", "config", config)
	for i, service := range services {
		m := &machine{
			name: fmt.Sprintf("sidecar-%d", i+1), zone: fmt.Sprintf("zone-%c", 'a'+i%3), service: service,
			ip: fmt.Sprintf("127.88.%d.%d", 1+os.Getpid()%250, 10+i),
		}
		for _, address := range []*string{&m.app, &m.outbound, &m.ready, &m.control} {
			*address = fmt.Sprintf("%s:%d", m.ip, freePort(m.ip))
		}
		m.internal = freePort(m.ip)
		m.log = filepath.Join(dir, m.name+".log")
		if err := f.writeSettings(m); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
		if err := f.start(m); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freePort returns a port that is free for TCP and UDP at an address, below those that the system gives to
// outgoing connections.
func freePort(ip string) int {
	for range 1000 {
		port := 20000 + rand.IntN(12000)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		listener.Close()
		if err == nil {
			packets.Close()
			return port
		}
	}
	panic("no free port")
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)

// writeSettings renders the settings template of the deploy file.
func (f *fleet) writeSettings(m *machine) error {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.json.tmpl"))
	if err != nil {
		return err
	}
	values := map[string]string{
		"Node": m.name, "Zone": m.zone, "Region": "region", "Service": m.service, "Ip": m.ip,
		"Listen.Outbound": m.outbound, "Listen.Control": m.control, "Listen.Ready": m.ready,
		"InternalPorts.0": fmt.Sprint(m.internal), "Platform.Address": f.store.address, "AppAddr": m.app,
	}
	for name, value := range bounds {
		values["Bounds."+name] = value
	}
	rendered := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		value, ok := values[strings.Trim(p, "{}")]
		if !ok {
			err = errors.Join(err, fmt.Errorf("the template has the unknown field %s", p))
		}
		return value
	})
	m.settings = filepath.Join(f.dir, m.name+".json")
	return errors.Join(err, os.WriteFile(m.settings, []byte(rendered), 0o600))
}

// start starts the daemon of a machine.
func (f *fleet) start(m *machine) error {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.command = exec.Command(filepath.Join(f.root, "target", "sassafrasd"))
	m.command.Dir = f.root
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASNOTCH_CONFIG=" + m.settings}
	m.command.Stdout, m.command.Stderr = out, out
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	command, ended := m.command, make(chan struct{})
	m.ended = ended
	go func() { command.Wait(); close(ended) }()
	f.record.add("daemon of %s started, process %d", m.name, m.command.Process.Pid)
	return nil
}

// kill ends the daemon of a machine with SIGKILL.
func (f *fleet) kill(m *machine) {
	m.command.Process.Kill()
	<-m.ended
	f.record.add("daemon of %s killed (SIGKILL)", m.name)
}

// running reports whether the daemon of a machine runs.
func (m *machine) running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// isReady reports whether the daemon answers the readiness check with 200.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for !m.isReady() {
			if !m.running() {
				return fmt.Errorf("the daemon of %s ended", m.name)
			}
			if time.Now().After(end) {
				return fmt.Errorf("the daemon of %s is not ready within %v", m.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	f.record.add("all daemons are ready")
	return nil
}

// stop ends all daemons and removes the temporary folder.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.command != nil && m.running() {
			m.command.Process.Kill()
			<-m.ended
		}
	}
	f.store.server.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// Configuration as the operator writes it.
type (
	config struct {
		Version  string
		Routes   []route
		Services []service
		Limits   limits
	}
	route struct {
		Name, Host, PathPrefix, Kind string
		TimeoutMs, TargetLatencyMs   int
		Priority                     int
		Service                      string
		MaxAttempts                  int
	}
	service struct {
		Name, HealthPath string
		MaxConnections   int
		Protocol         string
		Tls              bool
	}
	limits struct {
		MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
	}
)

// sameLimits are those of the example of `fleetbench wire`.
var sameLimits = limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
