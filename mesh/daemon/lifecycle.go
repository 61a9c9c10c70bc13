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

	"sassafrasnotch.example/mesh/claim"
	"sassafrasnotch.example/mesh/controller"
	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/outcomes"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/report"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/steperr"
	"sassafrasnotch.example/mesh/telemetry"
)

const tickInterval = 250 * time.Millisecond

// parts are the components with a life of their own.
type parts struct {
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
	Notices       *notices
	Recorder      *report.Recorder
	Keys          *keyring
}

// lifecycle starts the parts in the order of their dependencies and stops them
// so that no request in flight is cut.
type lifecycle struct {
	parts
	admin      *http.Server
	background sync.WaitGroup
	cancel     context.CancelFunc
}

func registerLifecycle(fxLifecycle fx.Lifecycle, p parts) {
	l := &lifecycle{parts: p, admin: &http.Server{Handler: p.Admin, ReadHeaderTimeout: 5 * time.Second}}
	fxLifecycle.Append(fx.Hook{OnStart: l.start, OnStop: l.stop})
}

// start opens every port before the daemon makes itself known.
func (l *lifecycle) start(ctx context.Context) error {
	peerListener, err := listen("peer", l.Settings.Peer.Listen)
	if err != nil {
		return err
	}
	adminListener, err := listen("admin", l.Settings.Admin.Listen)
	if err != nil {
		return errors.Join(err, peerListener.Close())
	}
	entryListener, err := listen("entry", l.Settings.Entry.Listen)
	if err != nil {
		return errors.Join(err, peerListener.Close(), adminListener.Close())
	}
	var ready net.Listener
	if l.Settings.Admin.Ready != "" {
		if ready, err = listen("readiness", l.Settings.Admin.Ready); err != nil {
			return errors.Join(err, peerListener.Close(), adminListener.Close(), entryListener.Close())
		}
	}
	l.connect()
	if err := l.Members.Start(ctx); err != nil {
		return errors.Join(err, peerListener.Close(), adminListener.Close(), entryListener.Close())
	}
	l.serve("peer", func() error { return l.PeerServer.Serve(peerListener) })
	l.serve("admin", func() error { return l.admin.Serve(l.Keys.secureAdmin(adminListener)) })
	if ready != nil {
		l.serve("readiness", func() error { return l.admin.Serve(ready) })
	}
	l.serve("entry", func() error { return l.EntryServer.Serve(entryListener) })
	l.startBackground()
	l.Logger.Info("daemon started", zap.String("entry", l.Settings.Entry.Listen), zap.String("admin", l.Settings.Admin.Listen))
	return nil
}

func listen(step, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, steperr.Wrap(err, "listen for "+step, address)
}

// connect hands events of one part to the others.
func (l *lifecycle) connect() {
	l.Pool.SetLocal(l.Exit, l.Control)
	l.Exit.OnChange(l.Members.SetTargets)
	l.Exit.OnCrash(crashReporter{l.Members, l.Pool}.report)
	l.Configuration.OnApply(l.Recorder.RecordApplied)
	l.Members.OnChange(l.Entry.SetMembers)
	l.Members.OnChange(newMemberLog(l.Logger.Named("membership")).note)
	l.Members.OnNewerRevision(l.Configuration.NoteRevision)
	l.Members.OnNotice(l.Notices.obey)
}

func (l *lifecycle) startBackground() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.background.Go(func() { l.Hosts.run(ctx, l.Members) })
	l.background.Go(func() { l.Reporter.Run(ctx) })
	l.background.Go(func() { l.Controller.Run(ctx) })
	l.background.Go(func() { l.Recorder.Run(ctx) })
	l.background.Go(func() { l.tick(ctx) })
	l.background.Go(func() { l.Keys.run(ctx, l.Logger.Named("security")) })
	l.background.Go(func() {
		l.Claims.RunSweeps(ctx, claim.Self{Host: l.Settings.Host, Zone: l.Settings.Zone}, l.Members)
	})
	l.Configuration.Start()
}

// tick does what is due at short intervals.
func (l *lifecycle) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.Exit.Tick(now)
			l.Notices.publish(now)
		}
	}
}

// waitFor returns a step of a stop that takes a time.
func waitFor(d time.Duration) func(context.Context) error {
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

// serve runs a server until it is shut down.
func (l *lifecycle) serve(name string, run func() error) {
	l.background.Go(func() {
		err := run()
		if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			l.Logger.Error("server ended", zap.String("step", name), zap.Error(err))
		}
	})
}

// leaveSpread is the time for which a daemon that told the others that it leaves
// goes on to answer them, with refusals: what gossip takes to reach them.
const leaveSpread = 500 * time.Millisecond

// stop hands over what this host controls and serves on, its targets included,
// while callers learn that it stops. Then it tells the other daemons, refuses new
// work, finishes what is in flight, and only then closes the ports and the
// background work.
func (l *lifecycle) stop(ctx context.Context) error {
	drain, cancel := context.WithTimeout(ctx, l.Settings.Exit.DrainTimeout.Std())
	defer cancel()
	l.Readiness.stop()
	l.Controller.Resign()
	l.Logger.Info("daemon leaving")
	l.EntryServer.RunLameDuck(drain)
	l.Members.Leave()
	var errs []error
	var group sync.WaitGroup
	var mu sync.Mutex
	finish := func(step string, shutdown func(context.Context) error) {
		group.Go(func() {
			err := steperr.Wrap(shutdown(drain), step, l.Settings.Host)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	finish("drain the exit", l.Exit.Drain)
	finish("drain the entry", l.EntryServer.Shutdown)
	finish("tell the others", waitFor(leaveSpread))
	group.Wait()
	errs = append(errs, steperr.Wrap(l.PeerServer.Shutdown(drain), "drain the peer sessions", l.Settings.Host))
	l.Exit.Close()
	l.Claims.Close(drain)
	l.cancel()
	l.Configuration.Stop()
	errs = append(errs, l.admin.Close(), l.Members.Stop(ctx), l.Pool.Close())
	l.background.Wait()
	l.Logger.Info("daemon stopped", zap.Error(errors.Join(errs...)))
	l.Log.Close()
	return errors.Join(errs...)
}
