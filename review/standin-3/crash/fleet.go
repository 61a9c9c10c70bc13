package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as the settings of the site give them.
const (
	graceS        = 6
	configApplyMs = 2000
	retrySlack    = 62
	// stabilityWindow is the time after its start from which a machine is in touch.
	stabilityWindow = 3 * time.Second
	memoryMb        = 284
)

// fleet is a small deployment: a store and machines with a daemon and a worker each.
type fleet struct {
	run      *run
	dir      string
	subnet   string
	ports    [5]int // internal, outbound, control, ready, worker
	store    *store
	machines []*machine
	// startedAt is when the last daemon was started.
	startedAt time.Time
}

// machine is one machine: a daemon as a process of its own, and the address of a worker.
type machine struct {
	fleet                                         *fleet
	name, ip, zone, service                       string
	internal, outbound, control, ready, appAdress string
	command                                       *exec.Cmd
	exited                                        chan struct{}

	mu      sync.Mutex
	workers []*worker   // all that were started here
	crashes []time.Time // of the workers
	// lives are the times at which the daemon was started and told to stop.
	lives []life
}

// startFleet starts the store and a daemon on each machine; services lists theirs, one after another by zone.
func startFleet(r *run, services []string) *fleet {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.fail("temporary folder: %v", err)
	}
	f := &fleet{run: r, dir: dir}
	r.fleet = f
	f.choosePorts(len(services))
	f.store = startStore(r, fmt.Sprintf("%s.200:%d", f.subnet, f.ports[0]))
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, service := range services {
		ip := fmt.Sprintf("%s.%d", f.subnet, i+1)
		m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%d", i+1), ip: ip, zone: zones[i%len(zones)], service: service}
		m.internal, m.outbound, m.control = endpoint(ip, f.ports[0]), endpoint(ip, f.ports[1]), endpoint(ip, f.ports[2])
		m.ready, m.appAdress = endpoint(ip, f.ports[3]), endpoint(ip, f.ports[4])
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		m.start()
	}
	f.startedAt = time.Now()
	return f
}

func endpoint(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// choosePorts chooses a part of the loopback network and ports that are free on all its addresses.
func (f *fleet) choosePorts(machines int) {
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		for i := range f.ports {
			f.ports[i] = 20000 + rand.IntN(10000)
		}
		if f.portsFree(machines) {
			return
		}
	}
	f.run.fail("no free ports")
}

func (f *fleet) portsFree(machines int) bool {
	for host := 0; host <= machines; host++ {
		ip := fmt.Sprintf("%s.%d", f.subnet, host)
		if host == 0 {
			ip = f.subnet + ".200"
		}
		for _, port := range f.ports {
			listener, err := net.Listen("tcp", endpoint(ip, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// root returns the root of the repository: the folder above review.
func root() string {
	dir, err := os.Getwd()
	if err != nil {
		return "."
	}
	return dir
}

// settings renders the template of the deploy file for the machine.
func (m *machine) settings() string {
	f := m.fleet
	template, err := os.ReadFile(filepath.Join(root(), "deploy", "settings.json.tmpl"))
	if err != nil {
		f.run.fail("template: %v", err)
	}
	return strings.NewReplacer(
		"{{Node}}", m.name, "{{Zone}}", m.zone, "{{Region}}", "region",
		`{{#Zones}}"{{@}}"{{,}}{{/Zones}}`, `"zone-a","zone-b","zone-c"`,
		"{{Service}}", m.service, "{{Bounds.ConfigApplyMs}}", fmt.Sprint(configApplyMs),
		"{{Bounds.StrictRevoke}}", "", "{{Bounds.RevokeMs}}", "",
		"{{Listen.Outbound}}", m.outbound, "{{Bounds.RetryBudgetSlack}}", fmt.Sprint(retrySlack),
		"{{Ip}}:{{InternalPorts.0}}", m.internal, "{{Ip}}", m.ip,
		"{{Listen.Control}}", m.control, "{{Listen.Ready}}", m.ready,
		"{{Platform.Address}}", f.store.address, "{{AppAddr}}", m.appAdress,
		"{{Bounds.GraceS}}", fmt.Sprint(graceS), "{{Limits.MemoryMb}}", fmt.Sprint(memoryMb),
	).Replace(string(template))
}

// start starts the daemon of the machine with the command of the deploy file.
func (m *machine) start() {
	f := m.fleet
	path := filepath.Join(f.dir, m.name+".json")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		f.run.fail("settings: %v", err)
	}
	output, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.run.fail("log: %v", err)
	}
	defer output.Close()
	m.command = exec.Command(filepath.Join(root(), "target", "sassafrasd"))
	m.command.Dir = root()
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASNOTCH_CONFIG=" + path}
	m.command.Stdout, m.command.Stderr = output, output
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		f.run.fail("start the daemon: %v", err)
	}
	m.mu.Lock()
	m.lives = append(m.lives, life{started: time.Now()})
	m.mu.Unlock()
	exited := make(chan struct{})
	m.exited = exited
	command := m.command
	go func() {
		err := command.Wait()
		f.run.log("%s: daemon ended: %v", m.name, err)
		close(exited)
	}()
	f.run.log("%s: daemon started, service %s, outbound %s", m.name, m.service, m.outbound)
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.fleet.run.log("%s: daemon gets %v", m.name, s)
	_ = m.command.Process.Signal(s)
}

// running reports whether the daemon has not ended.
func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// isReady reports whether the daemon answers the readiness check with 200.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + m.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady() {
	f.await("all daemons ready", 30*time.Second, func() bool {
		for _, m := range f.machines {
			if !m.isReady() {
				return false
			}
		}
		return true
	})
}

// await waits for a condition; the case can't run if it does not come.
func (f *fleet) await(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			f.run.fail("not within %v: %s", limit, what)
		}
	}
	f.run.log("%s", what)
}

// awaitInTouch waits until all daemons have run for the stability window.
func (f *fleet) awaitInTouch() {
	time.Sleep(time.Until(f.startedAt.Add(stabilityWindow + stabilityMargin)))
	f.run.log("all machines in touch")
}

// stabilityMargin is waited beyond the stability window.
const stabilityMargin = 200 * time.Millisecond

// awaitService waits until a safe request with the path is served at a machine.
func (f *fleet) awaitService(m *machine, path string) {
	attempts := 0
	f.await("requests for "+path+" are served", 10*time.Second, func() bool {
		c := m.newClient()
		defer c.close()
		attempts++
		return c.send(fmt.Sprintf("probe-%s-%d", path, attempts), http.MethodGet, siteHost, path, time.Second, "").status == http.StatusOK
	})
}

// stop ends all daemons.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// life is the time of a daemon from its start until its SIGTERM, which is zero if there was none.
type life struct{ started, stopped time.Time }

// inTouch reports whether the daemon has run undisturbed for the stability window at the time.
func (m *machine) inTouch(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.lives {
		if at.Sub(l.started) >= stabilityWindow+stabilityMargin && (l.stopped.IsZero() || at.Before(l.stopped)) {
			return true
		}
	}
	return false
}

// restart stops the daemon with SIGTERM and starts it again.
func (m *machine) restart() {
	m.mu.Lock()
	m.lives[len(m.lives)-1].stopped = time.Now()
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
	<-m.exited
	m.start()
}

func (m *machine) addWorker(w *worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.workers = append(m.workers, w)
}

func (m *machine) crashed(_ *worker, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes = append(m.crashes, at)
}

// allArrivals returns the requests that began to run at any worker.
func (f *fleet) allArrivals() []arrival {
	var all []arrival
	for _, m := range f.machines {
		m.mu.Lock()
		for _, w := range m.workers {
			all = append(all, w.takeArrivals()...)
		}
		m.mu.Unlock()
	}
	return all
}

// allCrashes returns the times at which workers crashed, in order.
func (f *fleet) allCrashes() []time.Time {
	var all []time.Time
	for _, m := range f.machines {
		m.mu.Lock()
		all = append(all, m.crashes...)
		m.mu.Unlock()
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}
