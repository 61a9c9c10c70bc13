package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/descriptors"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/acceptor"
	"sassafrasnotch.example/mesh/claim"
	"sassafrasnotch.example/mesh/clientmemory"
	"sassafrasnotch.example/mesh/controller"
	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/outcomes"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/quota"
	"sassafrasnotch.example/mesh/report"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/steperr"
	"sassafrasnotch.example/mesh/telemetry"
)

// tickInterval is the time between two runs of the periodic work of the exit and the zone updates.
const tickInterval = 250 * time.Millisecond

// components are the components that must be started, stopped or connected.
type components struct {
	fx.In
	Settings      settings.Settings
	Identity      peer.Identity
	Logger        *zap.Logger
	Log           *telemetry.Log
	Pool          *peer.Pool
	PeerServer    *peer.Server
	Control       *controlHandler
	Members       *membership.Membership
	Configuration configuration
	Readiness     *readiness
	Controller    *controller.Controller
	Reporter      *outcomes.Reporter
	Exit          *exit.Exit
	Entry         *entry.Entry
	EntryServer   *entry.Server
	Admin         adminHandler
	Hosts         *hostRows
	Claims        *claim.Claimer
	Updates       *zoneUpdates
	Recorder      *report.Recorder
	Credentials   *tlsCredentials
	Ports         *acceptor.Ports
	Quota         *quota.Limiter
	Memory        *clientmemory.Memory
}

// lifecycle starts the components in the order of their dependencies and stops them so that no
// request in flight is interrupted.
type lifecycle struct {
	components
	admin      *http.Server
	background sync.WaitGroup     // servers and background work
	cancel     context.CancelFunc // ends the background work
}

const (
	// adminWriteTimeout bounds a response on these ports: a client that reads slowly or not at all must not hold it.
	adminWriteTimeout = time.Minute
	// adminHeaderBytes bounds the head of a request there. Operators and targets send no more than some hundred
	// bytes, and each of the short fields that the default of net/http (1 MiB) allows costs more than 100 bytes.
	adminHeaderBytes = 16 << 10
)

// adminReadTimeout bounds the arrival of a request on the admin and readiness ports, body included: a
// target that trickles bytes without end must not hold a connection for each of its announcements.
const adminReadTimeout = 5 * time.Second

func newAdminServer(handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadTimeout: adminReadTimeout, WriteTimeout: adminWriteTimeout, MaxHeaderBytes: adminHeaderBytes}
	clientmemory.Attach(server)
	return server
}

// registerLifecycle adds the start and the stop of the components to the application.
func registerLifecycle(fxLifecycle fx.Lifecycle, c components) {
	l := &lifecycle{components: c, admin: newAdminServer(c.Admin)}
	fxLifecycle.Append(fx.Hook{OnStart: l.start, OnStop: l.stop})
}

// start opens every port before it starts the membership, which makes the daemon known to the
// others.
func (l *lifecycle) start(ctx context.Context) error {
	peerListener, err := l.Ports.Listen("peer", descriptors.PeersAccepted, l.Settings.Peer.Listen)
	if err != nil {
		return err
	}
	adminListener, err := l.Ports.Listen("admin", descriptors.Admin, l.Settings.Admin.Listen)
	if err != nil {
		return errors.Join(err, peerListener.Close())
	}
	entryListener, err := l.Ports.Listen("entry", descriptors.Callers, l.Settings.Entry.Listen)
	if err != nil {
		return errors.Join(err, peerListener.Close(), adminListener.Close())
	}
	var ready *acceptor.Listener
	if l.Settings.Admin.Ready != "" {
		if ready, err = l.Ports.Listen("readiness", descriptors.Admin, l.Settings.Admin.Ready); err != nil {
			return errors.Join(err, peerListener.Close(), adminListener.Close(), entryListener.Close())
		}
	}
	entryListener.OnFull(l.EntryServer.CloseLongestIdle)
	l.registerCallbacks()
	if err := l.Members.Start(ctx); err != nil {
		return errors.Join(err, peerListener.Close(), adminListener.Close(), entryListener.Close())
	}
	l.serve("peer", func() error { return l.PeerServer.Serve(peerListener) })
	l.serve("admin", func() error {
		return l.admin.Serve(l.Credentials.secureAdmin(l.Memory.Listener(adminListener, l.Settings.Admin.TLS.Enabled)))
	})
	if ready != nil {
		l.serve("readiness", func() error { return l.admin.Serve(l.Memory.Listener(ready, false)) })
	}
	l.serve("entry", func() error { return l.EntryServer.Serve(entryListener) })
	l.startBackground()
	l.Logger.Info("daemon started", zap.String("entry", l.Settings.Entry.Listen), zap.String("admin", l.Settings.Admin.Listen))
	return nil
}

// registerCallbacks connects the events of the components to the components that handle them.
func (l *lifecycle) registerCallbacks() {
	l.Pool.SetLocalHandlers(l.Exit, l.Control)
	l.Exit.OnChange(l.Members.SetTargets)
	l.Exit.OnCrash(crashReporter{l.Members, l.Pool}.report)
	l.Configuration.OnApply(l.Recorder.RecordApplied)
	log := evacuationLog{logger: l.Logger.Named("configuration")}
	l.Configuration.OnApply(func(snapshot *revision.Snapshot) {
		zones := snapshot.EvacuatedZones()
		l.Exit.SetEvacuated(snapshot.Evacuated(l.Settings.Zone))
		l.Entry.SetEvacuated(zones)
		log.logChange(zones, knownZones(l.Settings.Zone, l.Members.Members()))
	})
	l.Configuration.OnApply(l.Quota.SetSnapshot)
	l.Members.OnChange(l.Entry.SetMembers)
	l.Members.OnChange(l.Quota.SetMembers)
	l.Members.OnChange(newMemberLog(l.Logger.Named("membership")).logChanges)
	l.Members.OnNewerRevision(l.Configuration.ObserveRevision)
	l.Members.OnUpdate(l.Updates.apply)
	if restorable, ok := l.Configuration.(interface{ OnRestored(func()) }); ok {
		restorable.OnRestored(l.Hosts.writeAgain)
	}
}

// startBackground starts the background work, which runs until cancel is called.
func (l *lifecycle) startBackground() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.background.Go(func() { l.Hosts.run(ctx, l.Members) })
	l.background.Go(func() { l.Reporter.Run(ctx) })
	l.background.Go(func() { l.Controller.Run(ctx) })
	l.background.Go(func() { l.Recorder.Run(ctx) })
	l.background.Go(func() { l.runTicks(ctx) })
	l.background.Go(func() { l.Quota.Run(ctx) })
	l.background.Go(func() { l.Credentials.run(ctx, l.Logger.Named("security")) })
	l.background.Go(func() {
		l.Claims.RunSweeps(ctx, claim.Self{Host: l.Settings.Host, Zone: l.Settings.Zone}, l.Members)
	})
	l.Configuration.Start()
}

// runTicks runs the periodic work of the exit and the zone updates until the context ends.
func (l *lifecycle) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	shortage := memoryLog{logger: l.Logger}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			shortage.observe(now, l.Memory.Usage())
			l.Exit.Tick(now)
			l.Updates.publish(now)
		}
	}
}

// waitStep returns a shutdown function that waits for a duration.
func waitStep(d time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// serve runs a server in the background until it is shut down. It logs an error that ends the
// server earlier.
func (l *lifecycle) serve(name string, run func() error) {
	l.background.Go(func() {
		err := run()
		if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			l.Logger.Error("server failed", zap.String("step", name), zap.Error(err))
		}
	})
}

// leavePropagation is the time that a leave notice needs to reach the other daemons by gossip. A
// daemon that leaves continues to respond to requests during this time, with refusals.
const leavePropagation = 500 * time.Millisecond

// drainFraction is the part of the drain timeout in which requests may end. The rest is for closing
// ports and ending the background work, so that the process ends before it is killed.
const drainFraction = 0.92

// stop hands over the rollouts that this host controls. While callers learn that the daemon stops,
// it continues to serve requests, also with the targets of this host. Then it sends the leave
// notice to the other daemons, refuses new requests and finishes those in flight. Only after that
// it closes the ports and ends the background work.
func (l *lifecycle) stop(ctx context.Context) error {
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(drainFraction*float64(l.Settings.Exit.DrainTimeout.Std())))
	defer cancel()
	l.Readiness.stop()
	l.Controller.Resign()
	l.Logger.Info("daemon leaving")
	l.EntryServer.RunLameDuck(drainCtx)
	l.Members.Leave()
	l.Quota.Leave()
	var errs []error
	var group sync.WaitGroup
	var mu sync.Mutex
	startStep := func(step string, shutdown func(context.Context) error) {
		group.Go(func() {
			err := steperr.Wrap(shutdown(drainCtx), step, l.Settings.Host)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	startStep("drain the exit", l.Exit.Drain)
	startStep("drain the entry", l.EntryServer.Shutdown)
	startStep("tell the others", waitStep(leavePropagation))
	group.Wait()
	errs = append(errs, steperr.Wrap(l.PeerServer.Shutdown(drainCtx), "drain the peer sessions", l.Settings.Host))
	l.Exit.Close()
	l.Claims.Close(drainCtx)
	l.cancel()
	l.Configuration.Stop()
	errs = append(errs, l.admin.Close(), l.Members.Stop(ctx), l.Pool.Close())
	l.background.Wait()
	l.Logger.Info("daemon stopped", zap.Error(errors.Join(errs...)))
	l.Log.Close()
	return errors.Join(errs...)
}
