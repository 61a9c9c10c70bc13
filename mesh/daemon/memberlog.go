package daemon

import (
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
)

// memberLog writes a line for each change of what this daemon believes of
// another one. Its caller serialises the calls.
type memberLog struct {
	logger *zap.Logger
	known  map[string]belief // by host
}

type belief struct {
	status      gossip.Status
	leaving     bool
	incarnation uint64
}

func newMemberLog(logger *zap.Logger) *memberLog {
	return &memberLog{logger: logger, known: make(map[string]belief)}
}

// note takes in the present membership.
func (m *memberLog) note(members []gossip.Member) {
	present := make(map[string]belief, len(members))
	for _, member := range members {
		now := belief{member.Status, member.Leaving, member.Incarnation}
		present[member.Host] = now
		if before, ok := m.known[member.Host]; ok && before == now {
			continue
		}
		m.logger.Info("member changed", zap.String("peer", member.Host), zap.String("peer_zone", member.Zone),
			zap.Stringer("status", member.Status), zap.Bool("leaving", member.Leaving),
			zap.Uint64("incarnation", member.Incarnation), zap.Uint64("sequence", member.Sequence))
	}
	for host := range m.known {
		if _, ok := present[host]; !ok {
			m.logger.Info("member forgotten", zap.String("peer", host))
		}
	}
	m.known = present
}
