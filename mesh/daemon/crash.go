package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// crashReportTimeout bounds the wait for the replies to a crash report. The response to the caller
// is delayed by this wait.
const crashReportTimeout = 250 * time.Millisecond

// crashReporter reports each crash directly to the hosts that may run the suspect request next.
// Gossip also distributes crashes within the zone, but a caller can send the request again before
// it arrives.
type crashReporter struct {
	members *membership.Membership
	pool    *peer.Pool
}

// report sends the crash to the other hosts that may run the request. It returns once every
// reachable one has replied, or after crashReportTimeout.
func (r crashReporter) report(crash exit.CrashReport) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	request := &peerpb.ControlRequest{
		From: crash.Host,
		Body: &peerpb.ControlRequest_Crash{
			Crash: &peerpb.CrashReport{Fingerprint: crash.Fingerprint, Number: crash.CrashNumber},
		},
	}
	var pending sync.WaitGroup
	for _, member := range r.members.Members() {
		if member.Host == crash.Host || !mayRun(&member, &crash) {
			continue
		}
		pending.Go(func() { _, _ = r.pool.Control(ctx, member.Host, member.PeerAddress, request) })
	}
	pending.Wait()
}

// mayRun reports whether a host may run the request: it is alive, and has targets of the service or
// had one that crashed with the request in flight.
func mayRun(member *gossip.Member, crash *exit.CrashReport) bool {
	if member.Status != gossip.Alive {
		return false
	}
	serves := func(t gossip.Target) bool { return t.Service == crash.Service }
	return slices.ContainsFunc(member.Targets, serves) || slices.Contains(crash.CrashHosts, member.Host)
}
