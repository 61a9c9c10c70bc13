package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/departure"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/settings"
)

const (
	hostPrefix          = "host/"         // of the key of a host's row
	hostRefreshInterval = 5 * time.Minute // between writes of a host's own row
	hostRetryDelay      = time.Second     // after a failed exchange, doubled after each further one
	hostMaxRetryDelay   = 15 * time.Second
	hostExpiry          = 20 * time.Minute // age at which a row is deleted
	hostScanLimit       = 2000             // rows read by a scan
	hostTimeout         = 3 * time.Second  // of an exchange
	// Those of an exchange apply instead while departures have to be read or written: targets wait for them,
	// a lost response is not worth waiting for, and the store may come back at any time. The timeout is
	// doubled after each failure, since the store may be slow.
	urgentTimeout       = 500 * time.Millisecond
	urgentMaxTimeout    = 2 * time.Second
	urgentRetryDelay    = 250 * time.Millisecond
	urgentMaxRetryDelay = time.Second

	bootstrapInterval     = 5 * time.Second // between scans while no other member is known
	maxDeletesPerExchange = 16              // expired rows
	restoreSpread         = 2 * time.Second
	maxWriteConflicts     = 3 // in one exchange
)

// hostRow is the value of a host's row in the store. The rows provide the addresses from which the
// membership is bootstrapped. A row does not indicate that its host is alive.
type hostRow struct {
	Zone          string    `json:"zone"`
	GossipAddress string    `json:"gossipAddress"`
	At            time.Time `json:"at"`
	// Incarnation is that of the daemon that wrote the row. The next start of the daemon uses a
	// higher one, whatever its clock reads.
	Incarnation uint64 `json:"incarnation"`
	// Departed lists the targets of the host that left lately, for the next start of the daemon.
	Departed []departure.Departure `json:"departed,omitempty"`
}

// hostRows refreshes the row of this host and reads those of the others.
type hostRows struct {
	host    string
	key     string  // of the row of this host
	self    hostRow // without time and incarnation
	backing store.Store
	exit    *exit.Exit
	changed chan struct{} // holds a signal after a target has left
	logger  *zap.Logger
	// restored is set once the row that an earlier process wrote was read.
	restored bool
}

var hostsModule = fx.Provide(newHostRows)

func newHostRows(identity peer.Identity, s settings.Settings, backing store.Store, requests *exit.Exit, logger *zap.Logger) *hostRows {
	h := &hostRows{
		host:    identity.Host,
		key:     hostPrefix + identity.Host,
		self:    hostRow{Zone: identity.Zone, GossipAddress: firstNonEmpty(s.Gossip.Advertise, s.Gossip.Listen)},
		backing: backing,
		exit:    requests,
		changed: make(chan struct{}, 1),
		logger:  logger.Named("hosts"),
	}
	requests.OnDeparture(func() {
		select {
		case h.changed <- struct{}{}:
		default:
		}
	})
	return h
}

// writeAgain writes the row of this host again within restoreSpread: the store came back from a copy that
// may not have it. The writes of all hosts are spread over that time.
func (h *hostRows) writeAgain() {
	time.AfterFunc(rand.N(restoreSpread), func() {
		select {
		case h.changed <- struct{}{}:
		default:
		}
	})
}

// run refreshes the row of this host and bootstraps the membership until the context ends.
func (h *hostRows) run(ctx context.Context, members *membership.Membership) {
	failures := 0
	for {
		wait := bootstrapInterval
		if err := h.exchange(ctx, members, h.timeout(failures)); err != nil {
			h.logger.Debug("exchange of host rows failed", zap.Error(err))
			wait = h.retryDelay(failures)
			failures++
		} else {
			failures = 0
			if countOthers(members.Members()) > 0 {
				wait = hostRefreshInterval
			}
		}
		if !h.awaitNext(ctx, wait/2+rand.N(wait)) {
			return
		}
	}
}

// timeout returns the timeout of an exchange after a number of failures in a row.
func (h *hostRows) timeout(failures int) time.Duration {
	if h.isUrgent() {
		return doubled(urgentTimeout, failures, urgentMaxTimeout)
	}
	return hostTimeout
}

// retryDelay returns the time between an exchange that failed after a number of failures in a row and the
// next one.
func (h *hostRows) retryDelay(failures int) time.Duration {
	if h.isUrgent() {
		return doubled(urgentRetryDelay, failures, urgentMaxRetryDelay)
	}
	return doubled(hostRetryDelay, failures, hostMaxRetryDelay)
}

// doubled returns the duration, doubled a number of times, but at most the limit.
func doubled(d time.Duration, times int, limit time.Duration) time.Duration {
	for ; times > 0 && d < limit; times-- {
		d *= 2
	}
	return min(d, limit)
}

// awaitNext waits until the time is over or a target has left, and reports whether the context is
// still active.
func (h *hostRows) awaitNext(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-h.changed:
		return ctx.Err() == nil
	}
}

// isUrgent reports whether targets wait for an exchange: they are not opened before departures are read,
// and departures are not acknowledged before they are written.
func (h *hostRows) isUrgent() bool { return !h.restored || h.exit.HasUnrecordedDepartures() }

// countOthers returns the number of members other than this host.
func countOthers(members []gossip.Member) int { return len(members) - 1 }

// exchange writes the row of this host. At its start, while it knows no other member, and as the
// first host of its zone, it also scans all rows, to find its earlier row and seeds and to delete
// expired rows. The other hosts don't, because the scan would be most of their control traffic.
func (h *hostRows) exchange(ctx context.Context, members *membership.Membership, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if known := members.Members(); h.restored && countOthers(known) > 0 && !h.isFirstInZone(known) {
		return h.write(ctx, members, nil)
	}
	result, err := h.scan(ctx, time.Now())
	if err != nil {
		return err
	}
	members.RaiseIncarnation(result.incarnation)
	if !h.restored {
		h.exit.RestoreDepartures(result.departed)
		h.restored = true
	}
	members.SetSeeds(result.seeds)
	return h.write(ctx, members, &result)
}

// write writes the row of this host, and deletes expired rows of a scan, which may be nil. The write is
// conditional: an earlier one whose response was lost may be applied seconds later, and must not replace
// departures that were acknowledged since.
func (h *hostRows) write(ctx context.Context, members *membership.Membership, scanned *scanResult) error {
	var expired []string
	if scanned != nil {
		expired = scanned.expired[:min(maxDeletesPerExchange, len(scanned.expired))]
	}
	for conflicts := 0; ; conflicts++ {
		version, err := h.version(ctx, scanned)
		if err != nil {
			return err
		}
		change, err := h.commit(ctx, members, version, expired)
		if err == nil {
			h.exit.DeparturesRecorded(change)
			return nil
		}
		if !errors.Is(err, store.ErrConflict) || conflicts == maxWriteConflicts {
			return err
		}
		scanned = nil
	}
}

// version returns the version of the row of this host, from a scan if there is one, or 0 if there is no
// row.
func (h *hostRows) version(ctx context.Context, scanned *scanResult) (store.Position, error) {
	if scanned != nil {
		return scanned.version, nil
	}
	row, err := h.backing.Get(ctx, h.key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return row.Version, err
}

// commit writes the row of this host in place of one version of it, and deletes the rows with the keys. It
// returns the number of the last departure in the row.
func (h *hostRows) commit(ctx context.Context, members *membership.Membership, version store.Position, expired []string) (change uint64, err error) {
	row := h.self
	row.At = time.Now().UTC()
	row.Incarnation = h.incarnation(members.Members())
	row.Departed, change = h.exit.Departures()
	value, err := json.Marshal(row)
	if err != nil {
		return 0, err
	}
	writes := []store.Write{{Key: h.key, Value: value}}
	for _, key := range expired {
		writes = append(writes, store.Write{Key: key, Delete: true})
	}
	return change, h.backing.Txn(ctx, []store.Compare{{Key: h.key, Version: version}}, writes)
}

// isFirstInZone reports whether this host is the first of its zone in rendezvous order. Dead and
// leaving hosts don't count.
func (h *hostRows) isFirstInZone(members []gossip.Member) bool {
	hosts := []string{h.host}
	for _, member := range members {
		if member.Zone == h.self.Zone && member.Host != h.host && member.Status != gossip.Dead && !member.Leaving {
			hosts = append(hosts, member.Host)
		}
	}
	return rendezvous.Top(hostPrefix+h.self.Zone, hosts, 1)[0] == h.host
}

// incarnation returns the incarnation of this host in the member list, or 0 if it is not in the
// list.
func (h *hostRows) incarnation(members []gossip.Member) uint64 {
	for _, member := range members {
		if member.Host == h.host {
			return member.Incarnation
		}
	}
	return 0
}

// scanResult holds the content of the rows of all hosts.
type scanResult struct {
	seeds       []string              // gossip addresses of the other hosts
	expired     []string              // keys of the rows of other hosts that are older than hostExpiry
	incarnation uint64                // of this host's earlier start, 0 if there is none
	departed    []departure.Departure // that this host's earlier start recorded
	version     store.Position        // of this host's row, 0 if there is none
}

// maxIncarnation is the largest incarnation of a row that is believed: above it there has to be room for
// those of later starts.
const maxIncarnation = 1 << 63

// decodeHostRow decodes the value of a host's row, which may come from another writer.
func decodeHostRow(value []byte) (hostRow, error) {
	var host hostRow
	if err := json.Unmarshal(value, &host); err != nil {
		return hostRow{}, err
	}
	if host.Incarnation > maxIncarnation {
		return hostRow{}, fmt.Errorf("incarnation %d is above %d", host.Incarnation, uint64(maxIncarnation))
	}
	return host, nil
}

// isSeed reports whether the membership can contact the host of the row.
func (r *hostRow) isSeed() bool {
	_, port, err := net.SplitHostPort(r.GossipAddress)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// scan reads the rows of all hosts. Expired rows provide seeds too, because every row is old after
// a long outage of the store. A row that can't be decoded is skipped.
func (h *hostRows) scan(ctx context.Context, now time.Time) (scanResult, error) {
	rows, err := h.backing.Scan(ctx, hostPrefix, "", hostScanLimit)
	if err != nil {
		return scanResult{}, err
	}
	var result scanResult
	for _, row := range rows {
		if row.Key == h.key {
			result.version = row.Version
		}
		host, err := decodeHostRow(row.Value)
		if err != nil {
			h.logger.Warn("host row skipped: value is not valid", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		if row.Key == h.key {
			result.incarnation = host.Incarnation
			result.departed = host.Departed
			continue
		}
		if host.isSeed() {
			result.seeds = append(result.seeds, host.GossipAddress)
		}
		if now.Sub(host.At) > hostExpiry {
			result.expired = append(result.expired, row.Key)
		}
	}
	return result, nil
}
