package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/integration/faultproxy"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/standin"
	"sassafrasnotch.example/mesh/standin/loopback"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

// PlatformName is the host name of the platform in Network.
const PlatformName = "platform"

const (
	startTimeout = 30 * time.Second // limit for a process to become ready
	maxClusters  = 4                // that run concurrently
)

// clusterSlots bounds the number of clusters that parallel tests run concurrently.
var clusterSlots = make(chan struct{}, maxClusters)

// Options describes a cluster.
type Options struct {
	// Zones is the number of availability zones, each with HostsPerZone hosts and one daemon per host.
	Zones        int
	HostsPerZone int
	// Direct makes the daemons connect to each other directly, not through the fault proxies.
	Direct bool
	// Descriptors, if not 0, is the number of file descriptors that each daemon may open.
	Descriptors int
	// Adjust, if set, changes the settings of each daemon before they are written.
	Adjust func(*settings.Settings)
}

// Cluster is a running system: the platform stand-in, the daemons and the targets of a test.
type Cluster struct {
	t        testing.TB
	binaries Binaries
	block    *loopback.Block
	dir      string
	// Network injects faults between hosts and on the way to the platform.
	Network  *faultproxy.Network
	Daemons  []*Daemon
	platform *Process
	client   *http.Client
	targets  int
}

// Daemon is the daemon of one host, with the settings that it was started with.
type Daemon struct {
	*Process
	cluster     *Cluster
	Settings    settings.Settings
	path        string
	descriptors int // that it may open; 0 leaves the limit of the test
}

// Start runs the platform stand-in and the daemons until the test ends. It returns when every daemon
// responds on its admin port. It waits while maxClusters clusters are running.
func Start(t testing.TB, options Options) *Cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	binaries, err := Build()
	if err != nil {
		t.Fatal(err)
	}
	c := &Cluster{
		t:        t,
		binaries: binaries,
		block:    reserveBlock(t),
		dir:      t.TempDir(),
		Network:  faultproxy.NewNetwork(),
		client:   &http.Client{Timeout: 10 * time.Second},
	}
	t.Cleanup(c.Network.Close)
	c.startPlatform()
	for zone := range options.Zones {
		for host := range options.HostsPerZone {
			c.addDaemon(zone, host, options)
		}
	}
	for _, daemon := range c.Daemons {
		daemon.Launch()
	}
	for _, daemon := range c.Daemons {
		daemon.WaitReady()
	}
	return c
}

func (c *Cluster) platformAddress() string {
	return loopback.Endpoint(c.block.IP(platformSubnet, 1), peerPort)
}

func (c *Cluster) startPlatform() {
	c.t.Helper()
	c.platform = start(c.t, PlatformName, c.binaries.Standin, "platform", "-listen", c.platformAddress())
	proxied := loopback.Endpoint(c.block.IP(platformSubnet+1, 1), peerPort)
	if err := c.Network.ForwardTCP(proxied, PlatformName, c.platformAddress()); err != nil {
		c.t.Fatal(err)
	}
	Eventually(c.t, startTimeout, "the platform responds", func() error {
		_, err := c.PlatformCounters()
		return err
	})
}

// zoneName and hostName return the names for the zero-based indexes of a zone and of a host in it.
func zoneName(zone int) string       { return fmt.Sprintf("zone-%c", 'a'+zone) }
func hostName(zone, host int) string { return fmt.Sprintf("host-%c%d", 'a'+zone, host+1) }

func (c *Cluster) addDaemon(zone, host int, options Options) {
	c.t.Helper()
	ip := c.block.IP(zone+1, host+1)
	proxy := c.block.IP(zone+1+proxyOffset, host+1)
	s := settings.Default()
	s.Host, s.Zone, s.Region = hostName(zone, host), zoneName(zone), "region"
	for i := range options.Zones {
		s.Zones = append(s.Zones, zoneName(i))
	}
	s.Entry.Listen = loopback.Endpoint(ip, entryPort)
	s.Admin.Listen = loopback.Endpoint(ip, adminPort)
	s.Peer.Listen, s.Peer.Bind = loopback.Endpoint(ip, peerPort), ip
	s.Gossip.Listen = loopback.Endpoint(ip, peerPort)
	s.Platform.URL = "http://" + loopback.Endpoint(c.block.IP(platformSubnet+1, 1), peerPort)
	c.Network.RegisterHost(ip, s.Host)
	if !options.Direct {
		s.Peer.Advertise = loopback.Endpoint(proxy, peerPort)
		s.Gossip.Advertise = loopback.Endpoint(proxy, peerPort)
		c.forward(s)
	}
	if options.Adjust != nil {
		options.Adjust(&s)
	}
	path := filepath.Join(c.dir, s.Host+".json")
	writeJSON(c.t, path, s)
	c.Daemons = append(c.Daemons, &Daemon{cluster: c, Settings: s, path: path, descriptors: options.Descriptors})
}

// forward starts the fault proxies on the addresses that a daemon advertises.
func (c *Cluster) forward(s settings.Settings) {
	c.t.Helper()
	if err := c.Network.ForwardTCP(s.Peer.Advertise, s.Host, s.Peer.Listen); err != nil {
		c.t.Fatal(err)
	}
	if err := c.Network.ForwardUDP(s.Gossip.Advertise, s.Host, s.Gossip.Listen); err != nil {
		c.t.Fatal(err)
	}
}

func writeJSON(t testing.TB, path string, value any) {
	t.Helper()
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Launch starts the daemon's process.
func (d *Daemon) Launch() {
	d.cluster.t.Helper()
	program := []string{d.cluster.binaries.Daemon, "-settings", d.path}
	if d.descriptors > 0 {
		// The shell lowers its own limit and becomes the daemon.
		program = append([]string{"/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(d.descriptors)}, program...)
	}
	d.Process = start(d.cluster.t, d.Settings.Host, program[0], program[1:]...)
}

// Restart kills the daemon's process and starts it again.
func (d *Daemon) Restart() {
	d.cluster.t.Helper()
	d.Kill()
	d.Launch()
}

// WaitReady waits until the daemon responds on its admin port.
func (d *Daemon) WaitReady() {
	d.cluster.t.Helper()
	Eventually(d.cluster.t, startTimeout, d.Settings.Host+" is ready", func() error {
		_, err := d.Status()
		return err
	})
}

// ZoneHosts returns the names of the hosts in the zone with the zero-based index.
func (c *Cluster) ZoneHosts(zone int) []string {
	var hosts []string
	for _, daemon := range c.Daemons {
		if daemon.Settings.Zone == zoneName(zone) {
			hosts = append(hosts, daemon.Settings.Host)
		}
	}
	return hosts
}

// Entries returns the entry address of each daemon, to which callers send requests.
func (c *Cluster) Entries() []string {
	var entries []string
	for _, daemon := range c.Daemons {
		entries = append(entries, daemon.Settings.Entry.Listen)
	}
	return entries
}

// Target is a running target process.
type Target struct {
	*Process
	cluster *Cluster
	Config  targetserver.Config
}

// StartTarget runs a target on the daemon's host until the test ends. The function adjust, if not
// nil, changes its configuration first.
func (c *Cluster) StartTarget(daemon *Daemon, service, version string, adjust func(*targetserver.Config)) *Target {
	c.t.Helper()
	c.targets++
	ip := daemon.Settings.Peer.Bind
	config := targetserver.Config{
		Instance:         fmt.Sprintf("%s-%s-%s-%d", daemon.Settings.Host, service, version, c.targets),
		Service:          service,
		Version:          version,
		Host:             daemon.Settings.Host,
		Admin:            daemon.Settings.Admin.Listen,
		Listen:           loopback.Endpoint(ip, targetPort+2*c.targets),
		Control:          loopback.Endpoint(ip, targetPort+2*c.targets+1),
		Slots:            12,
		WorkDuration:     revision.Duration(time.Millisecond),
		Behaviours:       []targetserver.Behaviour{},
		AnnounceInterval: revision.Duration(500 * time.Millisecond),
	}
	if adjust != nil {
		adjust(&config)
	}
	path := filepath.Join(c.dir, config.Instance+".json")
	writeJSON(c.t, path, config)
	process := start(c.t, config.Instance, c.binaries.Standin, "target", "-config", path)
	target := &Target{Process: process, cluster: c, Config: config}
	Eventually(c.t, startTimeout, config.Instance+" is ready", func() error {
		return c.get("http://"+config.Control+targetserver.PathExecutionRecords, nil)
	})
	return target
}

// ExecutionRecords returns the records of the requests that the target ran, also after it has drained
// and ended.
func (g *Target) ExecutionRecords() ([]targetserver.ExecutionRecord, error) {
	if !g.Running() {
		return g.finalRecords()
	}
	var records []targetserver.ExecutionRecord
	err := g.cluster.get("http://"+g.Config.Control+targetserver.PathExecutionRecords, &records)
	return records, err
}

// finalRecords reads the execution records from the last line that a drained target printed.
func (g *Target) finalRecords() ([]targetserver.ExecutionRecord, error) {
	lines := strings.Split(strings.TrimSpace(g.Log()), "\n")
	var final standin.DrainReport
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &final); err != nil || final.ExecutionRecords == nil {
		return nil, fmt.Errorf("%s ended without printing its execution records: %w", g.Name, err)
	}
	return final.ExecutionRecords, nil
}

// Crash closes all of the target's connections, and its listener for the configured restart time. The
// execution records survive.
func (g *Target) Crash() {
	g.cluster.t.Helper()
	url := "http://" + g.Config.Control + targetserver.PathCrash
	if err := g.cluster.doJSON(http.MethodPost, url, nil, nil); err != nil {
		g.cluster.t.Fatalf("crash %s: %v", g.Name, err)
	}
}

// SetPlatformFaults replaces the faults that the platform stand-in injects.
func (c *Cluster) SetPlatformFaults(faults platformserver.Faults) {
	c.t.Helper()
	if err := c.put("http://"+c.platformAddress()+platformserver.PathFaults, faults); err != nil {
		c.t.Fatal(err)
	}
}

// PlatformCounters returns the counts of the operations that reached the platform stand-in.
func (c *Cluster) PlatformCounters() (platformserver.Counters, error) {
	var counters platformserver.Counters
	err := c.get("http://"+c.platformAddress()+platformserver.PathCounters, &counters)
	return counters, err
}
