package registrar

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
)

const (
	rejectionTimeout = 3 * time.Second
	// rejectionSpread is the time over which the hosts that reject a revision
	// look whether others have reported it, so that the later ones write nothing.
	rejectionSpread = 2 * time.Second
	maxReported     = 64 // rejections that a host remembers to have reported
)

func rejectionRows(revision uint64) string {
	return fmt.Sprintf("%s%020d/", rejectionPrefix, revision)
}

// RejectionReporter writes a daemon's rejections to the platform, where the
// ticket's status shows them. It is safe for concurrent use.
type RejectionReporter struct {
	host    string
	backing store.Store
	logger  *zap.Logger

	mu       sync.Mutex
	reported map[rejection]bool
}

// rejection is what makes a report a new one.
type rejection struct {
	revision   uint64
	step, peer string
}

// NewRejectionReporter returns a reporter for the host.
func NewRejectionReporter(host string, backing store.Store, logger *zap.Logger) *RejectionReporter {
	return &RejectionReporter{host: host, backing: backing, logger: logger, reported: make(map[rejection]bool)}
}

// Report records that the host could not apply a revision that came from the
// peer. It writes nothing if the host has reported that already, or enough other
// hosts have. It waits for a random time first, so that of a whole fleet only a
// few hosts write.
func (r *RejectionReporter) Report(ctx context.Context, revision uint64, step, peer string, cause error) {
	key := rejection{revision, step, peer}
	if !r.begin(key) {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(rand.N(rejectionSpread)):
	}
	ctx, cancel := context.WithTimeout(ctx, rejectionTimeout)
	defer cancel()
	report := ticket.Rejection{Host: r.host, Step: step, Peer: peer, Reason: cause.Error()}
	if err := r.write(ctx, revision, report); err != nil {
		r.forget(key)
		r.logger.Debug("rejection not recorded", zap.Uint64("revision", revision), zap.Error(err))
	}
}

// begin reports whether the rejection is a new one, and remembers it.
func (r *RejectionReporter) begin(key rejection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported[key] {
		return false
	}
	if len(r.reported) >= maxReported {
		clear(r.reported)
	}
	r.reported[key] = true
	return true
}

// forget lets a rejection that was not recorded be reported again.
func (r *RejectionReporter) forget(key rejection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reported, key)
}

func (r *RejectionReporter) write(ctx context.Context, revision uint64, report ticket.Rejection) error {
	prefix := rejectionRows(revision)
	rows, err := r.backing.Scan(ctx, prefix, "", maxRejections)
	if err != nil || len(rows) >= maxRejections {
		return err
	}
	value, err := json.Marshal(report)
	if err != nil {
		return err
	}
	return r.backing.Txn(ctx, nil, []store.Write{{Key: prefix + r.host, Value: value}})
}

// rejections returns the reports about a revision.
func (r *Registrar) rejections(ctx context.Context, revision uint64) ([]ticket.Rejection, error) {
	rows, err := r.backing.Scan(ctx, rejectionRows(revision), "", maxRejections)
	if err != nil {
		return nil, fmt.Errorf("read rejections of revision %d: %w", revision, err)
	}
	var rejections []ticket.Rejection
	for _, row := range rows {
		var rejection ticket.Rejection
		if err := json.Unmarshal(row.Value, &rejection); err != nil {
			return nil, fmt.Errorf("decode a rejection: %w", err)
		}
		rejections = append(rejections, rejection)
	}
	return rejections, nil
}
