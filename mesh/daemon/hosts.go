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
			if others(members.View()) > 0 {
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
	if view := members.View(); others(view) == 0 || h.first(view) {
		var seeds []string
		var err error
		if seeds, expired, err = h.read(ctx, now); err != nil {
			return err
		}
		members.Bootstrap(seeds)
	}
	row := h.self
	row.At = now.UTC()
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

// read returns the gossip addresses of the other hosts and the keys of rows
// that were not refreshed for a long time. Those are seeds too: after a long
// outage of the platform every row is old.
func (h *hostRows) read(ctx context.Context, now time.Time) (seeds, expired []string, err error) {
	rows, err := h.backing.Scan(ctx, hostPrefix, "", hostScanLimit)
	if err != nil {
		return nil, nil, err
	}
	for _, row := range rows {
		var host hostRow
		if row.Key == h.key || json.Unmarshal(row.Value, &host) != nil {
			continue
		}
		seeds = append(seeds, host.GossipAddress)
		if now.Sub(host.At) > hostExpiry {
			expired = append(expired, row.Key)
		}
	}
	return seeds, expired, nil
}
