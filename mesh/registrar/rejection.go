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
	rejectionTimeout = 3 * time.Second // for writing one report
	// maxReportDelay bounds the random delay after which a host that rejects a revision checks
	// whether other hosts have reported it, so that the later hosts write nothing.
	maxReportDelay       = 2 * time.Second
	maxRememberedReports = 64 // reports kept in memory; at this number all are dropped
)

// rejectionKeyPrefix returns the prefix of the row keys of the rejections of a revision.
func rejectionKeyPrefix(revision uint64) string {
	return fmt.Sprintf("%s%020d/", rejectionPrefix, revision)
}

// RejectionReporter writes a daemon's rejections to the store, where the ticket's status includes
// them. It is safe for concurrent use.
type RejectionReporter struct {
	host    string
	backing store.Store
	logger  *zap.Logger

	mu       sync.Mutex
	reported map[rejectionKey]bool
}

// rejectionKey identifies a rejection. One with the same key is reported only once.
type rejectionKey struct {
	revision   uint64
	step, peer string
}

// NewRejectionReporter returns a reporter for the host.
func NewRejectionReporter(host string, backing store.Store, logger *zap.Logger) *RejectionReporter {
	return &RejectionReporter{host: host, backing: backing, logger: logger, reported: make(map[rejectionKey]bool)}
}

// Report records that the host could not apply a revision that came from the peer. It writes
// nothing if this host has reported the same rejection before, or if maxRejectionsPerRevision
// reports are stored. It first waits for a random time of up to maxReportDelay, so that only a few
// hosts of a fleet write. Failures are logged, not returned.
func (r *RejectionReporter) Report(ctx context.Context, revision uint64, step, peer string, cause error) {
	key := rejectionKey{revision, step, peer}
	if !r.markReported(key) {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(rand.N(maxReportDelay)):
	}
	ctx, cancel := context.WithTimeout(ctx, rejectionTimeout)
	defer cancel()
	report := ticket.Rejection{Host: r.host, Step: step, Peer: peer, Reason: cause.Error()}
	if err := r.write(ctx, revision, report); err != nil {
		r.unmarkReported(key)
		r.logger.Debug("rejection not recorded", zap.Uint64("revision", revision), zap.Error(err))
	}
}

// markReported marks the rejection as reported. It reports whether it was not marked before.
func (r *RejectionReporter) markReported(key rejectionKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported[key] {
		return false
	}
	if len(r.reported) >= maxRememberedReports {
		clear(r.reported)
	}
	r.reported[key] = true
	return true
}

// unmarkReported allows a rejection that could not be recorded to be reported again.
func (r *RejectionReporter) unmarkReported(key rejectionKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reported, key)
}

// write stores the report unless enough reports of the revision are stored already.
func (r *RejectionReporter) write(ctx context.Context, revision uint64, report ticket.Rejection) error {
	prefix := rejectionKeyPrefix(revision)
	rows, err := r.backing.Scan(ctx, prefix, "", maxRejectionsPerRevision)
	if err != nil || len(rows) >= maxRejectionsPerRevision {
		return err
	}
	value, err := json.Marshal(report)
	if err != nil {
		return err
	}
	return r.backing.Txn(ctx, nil, []store.Write{{Key: prefix + r.host, Value: value}})
}

// rejections returns the stored rejections of a revision.
func (r *Registrar) rejections(ctx context.Context, revision uint64) ([]ticket.Rejection, error) {
	rows, err := r.backing.Scan(ctx, rejectionKeyPrefix(revision), "", maxRejectionsPerRevision)
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
