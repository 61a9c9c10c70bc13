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

// crashReportTime bounds the wait for the hosts that are told of a crash, for
// which the caller's answer is held back.
const crashReportTime = 250 * time.Millisecond

// crashReporter tells the hosts that could run a suspect request next of each
// crash. Gossip tells the zone too, though later than a caller can send the
// request again.
type crashReporter struct {
	members *membership.Membership
	pool    *peer.Pool
}

// report returns once every reachable host knows, or after crashReportTime.
func (r crashReporter) report(crash exit.CrashReport) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTime)
	defer cancel()
	request := &peerpb.ControlRequest{
		From: crash.Host,
		Body: &peerpb.ControlRequest_Crash{
			Crash: &peerpb.CrashReport{Fingerprint: crash.Hash, Number: crash.Crash},
		},
	}
	var told sync.WaitGroup
	for _, member := range r.members.Members() {
		if member.Host == crash.Host || !concerned(&member, &crash) {
			continue
		}
		told.Go(func() { _, _ = r.pool.Control(ctx, member.Host, member.PeerAddress, request) })
	}
	told.Wait()
}

// concerned reports whether a host may run the request: it has targets of the
// service, or had one that the request felled.
func concerned(member *gossip.Member, crash *exit.CrashReport) bool {
	if member.Status != gossip.Alive {
		return false
	}
	serves := func(t gossip.Target) bool { return t.Service == crash.Service }
	return slices.ContainsFunc(member.Targets, serves) || slices.Contains(crash.Fallen, member.Host)
}
