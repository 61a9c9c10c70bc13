package source

import (
	"context"
	"errors"
	"math"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"sassafrasnotch.example/coord/freshness"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/readers"
	"sassafrasnotch.example/mesh/steperr"
)

// fetchDelayFraction is the fraction of Timing.ApplyWithin that the followed zone reader has to send a
// revision that gossip reported, before the daemon pulls it from the host that reported it. It covers
// the pause that the zone reader itself may make after a change.
const fetchDelayFraction = changePauseFraction + 0.05

const (
	// maxReplyWait bounds the time for which a reply is held back, whatever the query requests.
	maxReplyWait = 5 * time.Second
	// pullInterval is the delay between two pulls from a zone reader, so that changes in quick
	// succession share one.
	pullInterval = 50 * time.Millisecond
	// readerRetryInterval is the delay between two searches for a zone reader while there is none to
	// follow, or this host is one.
	readerRetryInterval = 500 * time.Millisecond
	// failedReaderTimeout is the time for which a zone reader that did not reply is not tried again. It
	// is the time that the membership takes to suspect a host that is gone.
	failedReaderTimeout = 3 * time.Second
)

var (
	// errUnexpectedReply means that a reply to a query of rows is of another kind.
	errUnexpectedReply = errors.New("source: reply carries no rows message")
	// errNotCurrent means that a zone reader replied but has not heard of the store lately.
	errNotCurrent = errors.New("source: zone reader is not current")
)

// Peers sends control messages to other daemons and returns their replies.
type Peers interface {
	Control(ctx context.Context, host, address string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error)
}

// Members is the membership of the mesh.
type Members interface {
	// Members returns the member list.
	Members() []gossip.Member
	// SetRevisions announces the applied revisions to the other daemons.
	SetRevisions(gossip.Revisions)
}

// Self identifies the local daemon.
type Self struct {
	Host string
	Zone string // availability zone
}

// applyFraction returns a fraction of Timing.ApplyWithin.
func (s *Source) applyFraction(fraction float64) time.Duration {
	return time.Duration(float64(s.timing.ApplyWithin) * fraction)
}

// followReaders follows a zone reader while there is one that reaches the store. At other times the
// daemon follows the store itself.
func (s *Source) followReaders(ctx context.Context) {
	retryAt := make(map[string]time.Time)
	for ctx.Err() == nil {
		if s.pullFromReaders(ctx, retryAt) {
			sleep(ctx, pullInterval)
			continue
		}
		s.switchToStore()
		s.awaitSearch(ctx)
	}
}

// awaitSearch waits until it is time to look for a zone reader again.
func (s *Source) awaitSearch(ctx context.Context) {
	timer := time.NewTimer(readerRetryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.findReader:
	}
}

// pullFromReaders pulls rows from the zone readers in turn until one reports that it is current, and
// reports whether one did. It skips a reader until its time in retryAt.
func (s *Source) pullFromReaders(ctx context.Context, retryAt map[string]time.Time) bool {
	members := s.members.Members()
	candidates := readers.Choose(s.self.Host, s.self.Zone, members, s.followsStore.Load())
	relays := readers.IsReader(s.self.Host, s.self.Zone, members)
	if relays && !s.followsStore.Load() {
		candidates = append(candidates, readers.ChooseFallback(s.self.Host, s.self.Zone, members)...)
	}
	for _, reader := range candidates {
		if time.Now().Before(retryAt[reader]) {
			continue
		}
		wait, timeout := s.bounds.Poll(s.Age(), relays)
		reply, err := s.pullRows(ctx, reader, wait, timeout)
		retryDelay := failedReaderTimeout
		if err == nil && (!s.isUsable(reply) || replyAge(reply) > s.bounds.FollowLimit(relays)) {
			err, retryDelay = errNotCurrent, readerRetryInterval
		}
		if err == nil {
			delete(retryAt, reader)
			s.switchToReader(reader)
			return true
		}
		if ctx.Err() != nil {
			return true // the source is stopping; nothing is followed any more
		}
		s.logger.Info("zone reader not followed", zap.String("peer", reader), zap.Error(err))
		retryAt[reader] = time.Now().Add(retryDelay)
	}
	return false
}

// switchToReader makes the replies of a zone reader replace reads of the store.
func (s *Source) switchToReader(reader string) {
	if previous := s.reader.Swap(&reader); previous == nil || *previous != reader {
		s.logger.Info("following zone reader", zap.String("peer", reader))
	}
}

// switchToStore makes the daemon read the store itself, beginning with all rows.
func (s *Source) switchToStore() {
	if s.reader.Swap(nil) == nil {
		return
	}
	s.logger.Info("following the store")
	signal(s.resumeStore)
}

// followsReader reports whether a zone reader is followed.
func (s *Source) followsReader() bool { return s.reader.Load() != nil }

// idle reports whether there is no need to read the store. A zone reader that follows another one
// because it doesn't reach the store keeps trying to read the store.
func (s *Source) idle() bool {
	return s.followsReader() && !readers.IsReader(s.self.Host, s.self.Zone, s.members.Members())
}

// pullRows requests the rows that are newer than those held here from a host, and puts them in force.
// The host may hold back its reply for the wait while it has no newer rows; the request is given up
// after the timeout.
func (s *Source) pullRows(ctx context.Context, host string, wait, timeout time.Duration) (*peerpb.RowsReply, error) {
	s.mu.Lock()
	query := s.state.heldVersions()
	s.mu.Unlock()
	query.WaitMillis = uint32(wait.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := s.peers.Control(ctx, host, s.address(host), &peerpb.ControlRequest{
		From: s.self.Host,
		Body: &peerpb.ControlRequest_Rows{Rows: query},
	})
	if err != nil {
		return nil, err
	}
	rowsReply := reply.GetRows()
	if rowsReply == nil {
		return nil, steperr.Wrap(errUnexpectedReply, "pull rows", host)
	}
	rows, err := decodeRows(rowsReply.GetRows(), rowsReply.GetChecksum())
	if err != nil {
		return nil, steperr.Wrap(err, "decode rows", host)
	}
	s.applyPeerRows(rows, host)
	s.confirmFromPeer(rowsReply)
	return rowsReply, nil
}

// confirmFromPeer records how old the rows of another daemon are, which are held here now.
func (s *Source) confirmFromPeer(reply *peerpb.RowsReply) {
	if age := replyAge(reply); age != freshness.Never {
		s.copy.Confirm(time.Now().Add(-age))
	}
}

// isUsable reports whether the rows of another daemon are current. One of a release that states no ages
// knows no eras of the store either: once the store has begun a second one, its word does not count.
func (s *Source) isUsable(reply *peerpb.RowsReply) bool {
	if !reply.GetCurrent() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return reply.AgeMillis != nil || s.era <= store.FirstEra
}

// replyAge returns the age of the rows of another daemon. The reply of an older release states none; its
// rows count as new if it says that they are current.
func replyAge(reply *peerpb.RowsReply) time.Duration {
	if reply.AgeMillis == nil && !reply.GetCurrent() {
		return freshness.Never
	}
	return time.Duration(reply.GetAgeMillis()) * time.Millisecond
}

// address returns the peer address of a host, or "" if the host is unknown.
func (s *Source) address(host string) string {
	for _, member := range s.members.Members() {
		if member.Host == host {
			return member.PeerAddress
		}
	}
	return ""
}

// applyPeerRows adds the rows that a host sent and publishes the result.
func (s *Source) applyPeerRows(rows rowSet, host string) {
	if rows.empty() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.state.merge(rows, time.Now()); err != nil {
		s.reject("rows of "+host, 0, err)
	}
	s.publish(host)
}

// ServeRows replies to a daemon that requests newer rows, as soon as there are any, the rows held here
// are not current any more or the wait of the query is over. It returns an error if the context ends
// first or the rows can't be encoded.
func (s *Source) ServeRows(ctx context.Context, query *peerpb.RowsQuery) (*peerpb.RowsReply, error) {
	deadline := time.Now().Add(min(time.Duration(query.GetWaitMillis())*time.Millisecond, maxReplyWait))
	for {
		age, now := s.Age(), time.Now() // before the rows: those of a later confirmation are newer
		s.mu.Lock()
		data, err := s.encodeNewer(query)
		changed := s.changed
		s.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if len(data) > 0 || age > s.bounds.CurrentLimit() || !now.Before(deadline) {
			return s.rowsReply(data, age), nil
		}
		select {
		case <-changed:
		case <-time.After(min(deadline.Sub(now), s.bounds.CurrentLimit()-age+1)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// rowsReply returns a reply with encoded rows of an age.
func (s *Source) rowsReply(data []byte, age time.Duration) *peerpb.RowsReply {
	reply := &peerpb.RowsReply{
		Rows:       data,
		Checksum:   checksum(data),
		Current:    age <= s.bounds.CurrentLimit(),
		Maintained: age <= s.bounds.ReadLimit(),
	}
	if age != freshness.Never {
		reply.AgeMillis = proto.Uint32(uint32(min(age.Milliseconds(), math.MaxUint32)))
	}
	return reply
}

// encodedRows caches the rows last sent, since the followers of a zone reader mostly request the
// same ones.
type encodedRows struct {
	query string // encoded, without the wait
	data  []byte
}

// encodeNewer returns the encoded rows that are newer than the versions in the query, or nil if
// there are none. The caller holds s.mu.
func (s *Source) encodeNewer(query *peerpb.RowsQuery) ([]byte, error) {
	rows := s.state.newerThan(query)
	if rows.empty() {
		return nil, nil
	}
	withoutWait := proto.Clone(query).(*peerpb.RowsQuery)
	withoutWait.WaitMillis = 0
	encodedQuery, err := proto.MarshalOptions{Deterministic: true}.Marshal(withoutWait)
	if err != nil {
		return nil, err
	}
	if s.encoded.query != string(encodedQuery) || s.encoded.data == nil {
		data, err := rows.encode()
		if err != nil {
			return nil, err
		}
		s.encoded = encodedRows{string(encodedQuery), data}
	}
	return s.encoded.data, nil
}
