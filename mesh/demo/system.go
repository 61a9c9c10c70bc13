package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/fx"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/daemon"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/standin/loopback"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/mesh/standin/targetserver"
	"sassafrasnotch.example/platform"
)

const (
	zoneCount         = 3
	hostsPerZone      = 2
	targetSlots       = 12               // requests that a target runs at the same time
	targetServiceTime = time.Millisecond // of one request at a target
	platformSubnet    = 200              // third octet of the platform stand-in's loopback address
	peerPort          = 7000
	adminPort         = 7001
	entryPort         = 7002
	stopTimeout       = 20 * time.Second
	headerTimeout     = 5 * time.Second // of a request to the platform stand-in
)

// system holds the platform stand-in, the daemons and the targets of the demonstration, all in this
// process. The platform and each host have a loopback address of their own.
type system struct {
	addresses       *loopback.Block
	platformServer  *http.Server
	platformStandIn *platformserver.Server
	settings        []settings.Settings
	apps            []*fx.App
	targets         []*targetserver.Server
}

// startSystem starts the platform, the daemons and the targets; on an error it stops those that were
// started.
func startSystem(ctx context.Context) (*system, error) {
	block, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	s := &system{addresses: block}
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(err, s.stop())
	}
	return s, nil
}

func (s *system) start(ctx context.Context) error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	for zone := range zoneCount {
		for host := range hostsPerZone {
			if err := s.startHost(ctx, zone, host); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *system) startPlatform() error {
	s.platformStandIn = platformserver.New()
	address := loopback.Endpoint(s.addresses.IP(platformSubnet, 1), peerPort)
	s.platformServer = &http.Server{Addr: address, Handler: s.platformStandIn.Handler(), ReadHeaderTimeout: headerTimeout}
	listener, err := listen(address)
	if err != nil {
		return fmt.Errorf("demo: start the platform stand-in: %w", err)
	}
	go func() { _ = s.platformServer.Serve(listener) }()
	return nil
}

// startHost starts a daemon with one target of each version.
func (s *system) startHost(ctx context.Context, zone, host int) error {
	hostSettings := s.hostSettings(zone, host)
	app := daemon.New(hostSettings, platform.Connect)
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("demo: start the daemon on %s: %w", hostSettings.Host, err)
	}
	s.settings = append(s.settings, hostSettings)
	s.apps = append(s.apps, app)
	for _, version := range []string{versionOld, versionGood, versionBad} {
		if err := s.startTarget(hostSettings, version); err != nil {
			return err
		}
	}
	return nil
}

// hostSettings returns the settings of the daemon on a host, both numbered from 0.
func (s *system) hostSettings(zone, host int) settings.Settings {
	ip := s.addresses.IP(zone+1, host+1)
	configured := settings.Default()
	configured.Host = fmt.Sprintf("host-%c%d", 'a'+zone, host+1)
	configured.Zone = fmt.Sprintf("zone-%c", 'a'+zone)
	configured.Region = "demo"
	configured.Entry.Listen = loopback.Endpoint(ip, entryPort)
	configured.Admin.Listen = loopback.Endpoint(ip, adminPort)
	configured.Peer.Listen = loopback.Endpoint(ip, peerPort)
	configured.Peer.Bind = ip
	configured.Gossip.Listen = loopback.Endpoint(ip, peerPort)
	configured.Platform.URL = "http://" + s.platformServer.Addr
	configured.Exit.WarmUp = revision.Duration(time.Second)
	configured.Log.Level = "error"
	return configured
}

func (s *system) startTarget(host settings.Settings, version string) error {
	config := targetserver.Config{
		Instance:     host.Host + "-" + version,
		Service:      serviceName,
		Version:      version,
		Host:         host.Host,
		Admin:        host.Admin.Listen,
		Slots:        targetSlots,
		WorkDuration: revision.Duration(targetServiceTime),
	}
	if version == versionBad {
		config.Behaviours = []targetserver.Behaviour{{FailStatus: http.StatusInternalServerError}}
	}
	target, err := targetserver.New(config)
	if err != nil {
		return fmt.Errorf("demo: configure target %s: %w", config.Instance, err)
	}
	if err := target.Start(); err != nil {
		return fmt.Errorf("demo: start target %s: %w", config.Instance, err)
	}
	s.targets = append(s.targets, target)
	return nil
}

// stop closes the targets, then the daemons and the platform.
func (s *system) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var errs []error
	for _, target := range s.targets {
		target.Close()
	}
	for _, app := range s.apps {
		errs = append(errs, app.Stop(ctx))
	}
	if s.platformServer != nil {
		errs = append(errs, s.platformServer.Close())
	}
	s.addresses.Release()
	return errors.Join(errs...)
}

// entryAddresses returns the addresses at which the daemons accept requests of callers.
func (s *system) entryAddresses() []string {
	var entries []string
	for _, host := range s.settings {
		entries = append(entries, host.Entry.Listen)
	}
	return entries
}
