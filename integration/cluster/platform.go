package cluster

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/standin/loopback"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/mesh/standin/workerserver"
	"sassafrasnotch.example/platform/wire"
)

// workerPort and readyPort are the ports of a host's worker and of its daemon's readiness check.
const (
	workerPort = 7005
	readyPort  = 7006
)

// PlatformSettings returns a function for Options.Adjust that makes daemons follow the platform's
// conventions: the operator's table is the source of the configuration, and each host runs one worker
// of the service that the argument returns for the host.
func PlatformSettings(service func(host string) string) func(*settings.Settings) {
	return func(s *settings.Settings) {
		ip := s.Peer.Bind
		s.Configuration.Source = settings.SourceOperator
		s.Configuration.Settle = revision.Duration(time.Second)
		s.Service = service(s.Host)
		s.Admin.Ready = loopback.Endpoint(ip, readyPort)
		s.Exit.Target = loopback.Endpoint(ip, workerPort)
		s.Exit.DrainTimeout = revision.Duration(6 * time.Second)
		s.Entry.LameDuck = revision.Duration(time.Second)
	}
}

// StartWorker runs a worker on the daemon's host, inside the test process, until the test ends. The
// function adjust, if not nil, changes its configuration first.
func (d *Daemon) StartWorker(id, version string, adjust func(*workerserver.Config)) *workerserver.Worker {
	t := d.cluster.t
	t.Helper()
	config := workerserver.Config{
		ID: id, Service: d.Settings.Service, Version: version, Zone: d.Settings.Zone,
		Listen: d.Settings.Exit.Target, Control: d.Settings.Admin.Listen,
		Slots: 12, QueueLimit: 12, WorkDuration: 5 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond,
	}
	if adjust != nil {
		adjust(&config)
	}
	worker, err := workerserver.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Stop)
	return worker
}

// WriteOperatorRow writes a row of the operator's table: the bytes if value is a []byte, else its JSON.
func (c *Cluster) WriteOperatorRow(key string, value any) {
	c.t.Helper()
	data, ok := value.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(value); err != nil {
			c.t.Fatal(err)
		}
	}
	tx := wire.Transaction{Puts: []wire.Put{{Table: wire.TableOperator, Key: key, Value: data}}}
	if err := c.doJSON("POST", "http://"+c.platformAddress()+platformserver.PathOperator, tx, nil); err != nil {
		c.t.Fatal(err)
	}
}

// RemoveOperatorRow removes a row of the operator's table.
func (c *Cluster) RemoveOperatorRow(key string) {
	c.t.Helper()
	tx := wire.Transaction{Removals: []wire.Removal{{Table: wire.TableOperator, Key: key}}}
	if err := c.doJSON("POST", "http://"+c.platformAddress()+platformserver.PathOperator, tx, nil); err != nil {
		c.t.Fatal(err)
	}
}

// RolloutState returns the status of a service's rollout from the row that the operator reads.
func (c *Cluster) RolloutState(service string) (wire.RolloutStatus, error) {
	var row wire.Row
	query := url.Values{wire.ParamTable: {wire.TableStatus}, "Key": {wire.PrefixRollout + service}}
	var status wire.RolloutStatus
	if err := c.get("http://"+c.platformAddress()+platformserver.PathRow+"?"+query.Encode(), &row); err != nil {
		return status, err
	}
	if err := json.Unmarshal(row.Value, &status); err != nil {
		return status, fmt.Errorf("decode the rollout status of %s: %w", service, err)
	}
	return status, nil
}
