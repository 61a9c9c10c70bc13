package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
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

// PlatformName is the platform's name in the network of faults.
const PlatformName = "platform"

const (
	startWait   = 30 * time.Second // cap for a process to become ready
	maxClusters = 4                // that run at once
)

// running bounds the clusters of parallel tests.
var running = make(chan struct{}, maxClusters)

// Options describe a cluster.
type Options struct {
	// Zones and HostsPerZone give the number of daemons.
	Zones        int
	HostsPerZone int
	// Direct lets the daemons reach each other without the fault proxies.
	Direct bool
	// Adjust changes the settings of each daemon.
	Adjust func(*settings.Settings)
}

// Cluster is a running system.
type Cluster struct {
	t        testing.TB
	binaries Binaries
	block    *loopback.Block
	dir      string
	// Network injects faults between hosts and towards the platform.
	Network  *faultproxy.Network
	Daemons  []*Daemon
	platform *Process
	client   *http.Client
	targets  int
}

// Daemon is one host's daemon.
type Daemon struct {
	*Process
	cluster  *Cluster
	Settings settings.Settings
	path     string
}

// Start runs the platform stand-in and the daemons until the test ends. It
// returns when every daemon answers on its admin port.
func Start(t testing.TB, options Options) *Cluster {
	t.Helper()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	binaries, err := Build()
	if err != nil {
		t.Fatal(err)
	}
	c := &Cluster{
		t:        t,
		binaries: binaries,
		block:    reserve(t),
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
	return loopback.Endpoint(c.block.IP(platformNet, 1), peerPort)
}

func (c *Cluster) startPlatform() {
	c.t.Helper()
	c.platform = start(c.t, PlatformName, c.binaries.Standin, "platform", "-listen", c.platformAddress())
	proxied := loopback.Endpoint(c.block.IP(platformNet+1, 1), peerPort)
	if err := c.Network.ForwardTCP(proxied, PlatformName, c.platformAddress()); err != nil {
		c.t.Fatal(err)
	}
	Eventually(c.t, startWait, "the platform answers", func() error {
		_, err := c.PlatformCounters()
		return err
	})
}

// zoneName and hostName name the places of a cluster.
func zoneName(zone int) string       { return fmt.Sprintf("zone-%c", 'a'+zone) }
func hostName(zone, host int) string { return fmt.Sprintf("host-%c%d", 'a'+zone, host+1) }

func (c *Cluster) addDaemon(zone, host int, options Options) {
	c.t.Helper()
	ip := c.block.IP(zone+1, host+1)
	proxy := c.block.IP(zone+1+proxyOffset, host+1)
	s := settings.Default()
	s.Host, s.Zone, s.Region = hostName(zone, host), zoneName(zone), "region"
	s.Entry.Listen = loopback.Endpoint(ip, entryPort)
	s.Admin.Listen = loopback.Endpoint(ip, adminPort)
	s.Peer.Listen, s.Peer.Bind = loopback.Endpoint(ip, peerPort), ip
	s.Gossip.Listen = loopback.Endpoint(ip, peerPort)
	s.Platform.URL = "http://" + loopback.Endpoint(c.block.IP(platformNet+1, 1), peerPort)
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
	c.Daemons = append(c.Daemons, &Daemon{cluster: c, Settings: s, path: path})
}

// forward puts the proxies in front of a daemon.
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
	d.Process = start(d.cluster.t, d.Settings.Host, d.cluster.binaries.Daemon, "-settings", d.path)
}

// Restart kills the process and starts it again.
func (d *Daemon) Restart() {
	d.cluster.t.Helper()
	d.Kill()
	d.Launch()
}

// WaitReady waits until the daemon answers on its admin port.
func (d *Daemon) WaitReady() {
	d.cluster.t.Helper()
	Eventually(d.cluster.t, startWait, d.Settings.Host+" is ready", func() error {
		_, err := d.Status()
		return err
	})
}

// ZoneHosts returns the names of the hosts in a zone.
func (c *Cluster) ZoneHosts(zone int) []string {
	var hosts []string
	for _, daemon := range c.Daemons {
		if daemon.Settings.Zone == zoneName(zone) {
			hosts = append(hosts, daemon.Settings.Host)
		}
	}
	return hosts
}

// Entries returns the addresses that callers use.
func (c *Cluster) Entries() []string {
	var entries []string
	for _, daemon := range c.Daemons {
		entries = append(entries, daemon.Settings.Entry.Listen)
	}
	return entries
}

// Target is a running target.
type Target struct {
	*Process
	cluster *Cluster
	Config  targetserver.Config
}

// StartTarget runs a target on the daemon's host until the test ends.
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
		Work:             revision.Duration(time.Millisecond),
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
	Eventually(c.t, startWait, config.Instance+" is ready", func() error {
		return c.get("http://"+config.Control+targetserver.PathWitness, nil)
	})
	return target
}

// ExecutionRecords returns the requests that the target ran, also once it has drained.
func (g *Target) ExecutionRecords() ([]targetserver.Record, error) {
	if !g.Running() {
		return g.finalWitness()
	}
	var records []targetserver.Record
	err := g.cluster.get("http://"+g.Config.Control+targetserver.PathWitness, &records)
	return records, err
}

// finalWitness reads what a drained target printed last.
func (g *Target) finalWitness() ([]targetserver.Record, error) {
	lines := strings.Split(strings.TrimSpace(g.Log()), "\n")
	var final standin.Final
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &final); err != nil || final.Witness == nil {
		return nil, fmt.Errorf("%s ended without its records: %w", g.Name, err)
	}
	return final.Witness, nil
}

// Crash ends all of the target's connections and its listener for its time of
// restart. The records of what it ran survive.
func (g *Target) Crash() {
	g.cluster.t.Helper()
	url := "http://" + g.Config.Control + targetserver.PathCrash
	if err := g.cluster.exchange(http.MethodPost, url, nil, nil); err != nil {
		g.cluster.t.Fatalf("crash %s: %v", g.Name, err)
	}
}

// SetPlatformFaults sets the faults of the platform.
func (c *Cluster) SetPlatformFaults(faults platformserver.Faults) {
	c.t.Helper()
	if err := c.put("http://"+c.platformAddress()+platformserver.PathFaults, faults); err != nil {
		c.t.Fatal(err)
	}
}

// PlatformCounters returns the operations that reached the platform.
func (c *Cluster) PlatformCounters() (platformserver.Counters, error) {
	var counters platformserver.Counters
	err := c.get("http://"+c.platformAddress()+platformserver.PathCounters, &counters)
	return counters, err
}
