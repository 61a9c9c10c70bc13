package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/settings"
)

const (
	hostPrefix       = "host/"
	hostRefresh      = 5 * time.Minute // between writes of a host's own row
	hostRetry        = time.Second     // after a failed exchange
	hostRetryLimit   = 15 * time.Second
	hostExpiry       = 20 * time.Minute // after which a row is deleted
	hostScanLimit    = 2000
	hostTimeout      = 3 * time.Second
	bootstrapAgain   = 5 * time.Second // between scans while no other member is known
	removalsPerVisit = 16
)

// hostRow is the content of a host's row: a list to bootstrap from, never a
// sign of life.
type hostRow struct {
	Zone          string    `json:"zone"`
	GossipAddress string    `json:"gossipAddress"`
	At            time.Time `json:"at"`
	// Incarnation is that of the daemon that wrote the row. The next one takes a
	// higher one, whatever its clock says.
	Incarnation uint64 `json:"incarnation"`
}

// hostRows keeps this host's row and reads those of the others.
type hostRows struct {
	host    string
	key     string
	self    hostRow
	backing store.Store
	logger  *zap.Logger
}

var hostsModule = fx.Provide(newHostRows)

func newHostRows(identity peer.Identity, s settings.Settings, backing store.Store, logger *zap.Logger) *hostRows {
	return &hostRows{
		host:    identity.Host,
		key:     hostPrefix + identity.Host,
		self:    hostRow{Zone: identity.Zone, GossipAddress: either(s.Gossip.Advertise, s.Gossip.Listen)},
		backing: backing,
		logger:  logger.Named("hosts"),
	}
}

// run announces the host and bootstraps the membership until the context ends.
func (h *hostRows) run(ctx context.Context, members *membership.Membership) {
	backoff := hostRetry
	for {
		wait := bootstrapAgain
		if err := h.visit(ctx, members); err != nil {
			h.logger.Debug("host rows not exchanged", zap.Error(err))
			wait = backoff
			backoff = min(2*backoff, hostRetryLimit)
		} else {
			backoff = hostRetry
			if others(members.Members()) > 0 {
				wait = hostRefresh
			}
		}
		if !sleep(ctx, wait/2+rand.N(wait)) {
			return
		}
	}
}

// others counts the members other than this host.
func others(view []gossip.Member) int { return len(view) - 1 }

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// visit writes the own row. A host that knows no other one, and the first of its
// zone, also read the rows: to find seeds and to delete rows that expired. All
// other hosts don't, as the whole list would be most of what they spend.
func (h *hostRows) visit(ctx context.Context, members *membership.Membership) error {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	now := time.Now()
	var expired []string
	if view := members.Members(); others(view) == 0 || h.first(view) {
		found, err := h.read(ctx, now)
		if err != nil {
			return err
		}
		members.RaiseIncarnation(found.incarnation)
		members.SetSeeds(found.seeds)
		expired = found.expired
	}
	row := h.self
	row.At = now.UTC()
	row.Incarnation = h.incarnation(members.Members())
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	writes := []store.Write{{Key: h.key, Value: value}}
	for _, key := range expired[:min(removalsPerVisit, len(expired))] {
		writes = append(writes, store.Write{Key: key, Delete: true})
	}
	return h.backing.Txn(ctx, nil, writes)
}

// first reports whether this host is the first of its zone in rendezvous order.
func (h *hostRows) first(view []gossip.Member) bool {
	hosts := []string{h.host}
	for _, member := range view {
		if member.Zone == h.self.Zone && member.Host != h.host && member.Status != gossip.Dead && !member.Leaving {
			hosts = append(hosts, member.Host)
		}
	}
	return rendezvous.Top(hostPrefix+h.self.Zone, hosts, 1)[0] == h.host
}

// incarnation returns this host's own one.
func (h *hostRows) incarnation(view []gossip.Member) uint64 {
	for _, member := range view {
		if member.Host == h.host {
			return member.Incarnation
		}
	}
	return 0
}

// found is what the rows of all hosts tell.
type found struct {
	seeds       []string // gossip addresses of the other hosts
	expired     []string // keys of rows that were not refreshed for a long time
	incarnation uint64   // of this host's earlier start, 0 if there is none
}

// read reads the rows of all hosts. Expired ones are seeds too: after a long outage
// of the platform every row is old.
func (h *hostRows) read(ctx context.Context, now time.Time) (found, error) {
	rows, err := h.backing.Scan(ctx, hostPrefix, "", hostScanLimit)
	if err != nil {
		return found{}, err
	}
	var all found
	for _, row := range rows {
		var host hostRow
		if err := json.Unmarshal(row.Value, &host); err != nil {
			h.logger.Warn("host row ignored", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		if row.Key == h.key {
			all.incarnation = host.Incarnation
			continue
		}
		all.seeds = append(all.seeds, host.GossipAddress)
		if now.Sub(host.At) > hostExpiry {
			all.expired = append(all.expired, row.Key)
		}
	}
	return all, nil
}
