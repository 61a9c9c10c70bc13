package daemon

import (
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
)

// memberLog logs each change of a member in the member list of this daemon. Its methods must not be
// called concurrently.
type memberLog struct {
	logger *zap.Logger
	known  map[string]memberState // by host
}

// memberState is the part of a member whose changes are logged.
type memberState struct {
	status      gossip.Status
	leaving     bool
	incarnation uint64
}

func newMemberLog(logger *zap.Logger) *memberLog {
	return &memberLog{logger: logger, known: make(map[string]memberState)}
}

// logChanges logs the differences between the member list and that of the previous call.
func (m *memberLog) logChanges(members []gossip.Member) {
	current := make(map[string]memberState, len(members))
	for _, member := range members {
		state := memberState{member.Status, member.Leaving, member.Incarnation}
		current[member.Host] = state
		if previous, ok := m.known[member.Host]; ok && previous == state {
			continue
		}
		m.logger.Info("member changed", zap.String("peer", member.Host), zap.String("peer_zone", member.Zone),
			zap.Stringer("status", member.Status), zap.Bool("leaving", member.Leaving),
			zap.Uint64("incarnation", member.Incarnation), zap.Uint64("sequence", member.Sequence))
	}
	for host := range m.known {
		if _, ok := current[host]; !ok {
			m.logger.Info("member removed", zap.String("peer", host))
		}
	}
	m.known = current
}
