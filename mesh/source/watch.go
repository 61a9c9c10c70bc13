package source

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/readers"
	"sassafrasnotch.example/mesh/steperr"
)

// Parts of Timing.ApplyWithin. A reader that falls silent is noticed after waitPart
// and answerPart, another one is asked within answerPart, and what is left is for a
// read of the store.
const (
	// waitPart is how long a reader may hold an answer back that tells nothing new.
	waitPart = 0.2
	// answerPart is what an answer may take besides.
	answerPart = 0.15
	// fetchPart is how long a reader is given to bring a revision that gossip told
	// of: the pause that it may take itself.
	fetchPart = spacingPart
	// maxWait bounds how long an answer is held back whatever the asker says.
	maxWait = 5 * time.Second
)

const (
	// pullSpacing is the time between two pulls from a reader, so that changes in
	// quick succession share one.
	pullSpacing = 50 * time.Millisecond
	// watchPause is the time between two looks for a reader while there is none to
	// follow, or this host is one.
	watchPause = 500 * time.Millisecond
	// avoidFor is how long a reader that failed is not asked again: what the
	// membership takes to suspect a host that is gone.
	avoidFor = 3 * time.Second
)

var (
	errUnexpectedReply = errors.New("source: unexpected reply")
	errNotCurrent      = errors.New("source: the reader does not reach the store")
)

// Peers exchanges control messages with other daemons.
type Peers interface {
	Control(ctx context.Context, host, address string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error)
}

// Members is the view of the other daemons.
type Members interface {
	Members() []gossip.Member
	// SetRevision announces the applied revision to the other daemons.
	SetRevision(revision uint64)
}

// Self names the daemon.
type Self struct {
	Host string
	Zone string
}

// part returns a part of the time within which a change is to be in force.
func (s *Source) part(of float64) time.Duration {
	return time.Duration(float64(s.timing.ApplyWithin) * of)
}

// watch follows a reader of the zone while there is one that reaches the store. At
// other times the daemon follows the store itself.
func (s *Source) watch(ctx context.Context) {
	avoided := make(map[string]time.Time)
	for ctx.Err() == nil {
		if s.watchOne(ctx, avoided) {
			sleep(ctx, pullSpacing)
			continue
		}
		s.followStore()
		sleep(ctx, watchPause)
	}
}

// watchOne asks the readers in turn, until one tells that it is current. It reports
// whether one did.
func (s *Source) watchOne(ctx context.Context, avoided map[string]time.Time) bool {
	wait := s.part(waitPart)
	for _, reader := range readers.Choose(s.self.Host, s.self.Zone, s.members.Members(), s.direct.Load()) {
		if time.Now().Before(avoided[reader]) {
			continue
		}
		current, err := s.pull(ctx, reader, wait)
		if err == nil && !current {
			err = errNotCurrent
		}
		if err == nil {
			delete(avoided, reader)
			s.followReader(reader)
			return true
		}
		if ctx.Err() != nil {
			return true // nothing is to be followed any more
		}
		s.logger.Info("reader not followed", zap.String("peer", reader), zap.Error(err))
		avoided[reader] = time.Now().Add(avoidFor)
		wait = 0 // time was lost already
	}
	return false
}

// followReader lets the reader's answers take the place of the own reads.
func (s *Source) followReader(reader string) {
	if previous := s.reader.Swap(&reader); previous == nil || *previous != reader {
		s.logger.Info("reader followed", zap.String("peer", reader))
	}
}

// followStore makes the daemon read the store itself, all rows first.
func (s *Source) followStore() {
	if s.reader.Swap(nil) == nil {
		return
	}
	s.logger.Info("store followed")
	wake(s.resumed)
}

// watching reports whether a reader is followed.
func (s *Source) watching() bool { return s.reader.Load() != nil }

// idle reports whether there is no need to read the store. A reader that another
// one stands in for goes on trying.
func (s *Source) idle() bool {
	return s.watching() && !readers.Includes(s.self.Host, s.self.Zone, s.members.Members())
}

// pull asks a host for the rows that are newer than those held here, and puts them
// in force. The answer may be held back for the wait. It reports whether the host
// follows the store.
func (s *Source) pull(ctx context.Context, host string, wait time.Duration) (current bool, err error) {
	s.mu.Lock()
	query := s.view.held()
	s.mu.Unlock()
	query.WaitMillis = uint32(wait.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, wait+s.part(answerPart))
	defer cancel()
	reply, err := s.peers.Control(ctx, host, s.address(host), &peerpb.ControlRequest{
		From: s.self.Host,
		Body: &peerpb.ControlRequest_Rows{Rows: query},
	})
	if err != nil {
		return false, err
	}
	answer := reply.GetRows()
	if answer == nil {
		return false, steperr.Wrap(errUnexpectedReply, "pull rows", host)
	}
	rows, err := decodeRows(answer.GetRows(), answer.GetChecksum())
	if err != nil {
		return false, steperr.Wrap(err, "decode rows", host)
	}
	s.takeOver(rows, host)
	return answer.GetCurrent(), nil
}

// address returns the peer address of a host, or "" if it is unknown.
func (s *Source) address(host string) string {
	for _, member := range s.members.Members() {
		if member.Host == host {
			return member.PeerAddress
		}
	}
	return ""
}

// takeOver puts the rows of another daemon in force.
func (s *Source) takeOver(rows rowSet, host string) {
	if rows.empty() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.view.merge(rows); err != nil {
		s.reject("configuration of "+host, rows.Configuration.Written, err)
	}
	s.publish(host)
}

// ServeRows answers a daemon that asks for newer rows, once there are some or the
// wait is over.
func (s *Source) ServeRows(ctx context.Context, query *peerpb.RowsQuery) (*peerpb.RowsReply, error) {
	wait := min(time.Duration(query.GetWaitMillis())*time.Millisecond, maxWait)
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		s.mu.Lock()
		data, err := s.encodeNewer(query)
		changed := s.changed
		s.mu.Unlock()
		current := s.direct.Load()
		if err != nil {
			return nil, err
		}
		if len(data) > 0 || !current {
			return &peerpb.RowsReply{Rows: data, Checksum: checksum(data), Current: current}, nil
		}
		select {
		case <-changed:
		case <-over.C:
			return &peerpb.RowsReply{Current: s.direct.Load()}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// encodedRows are the rows last handed over. The followers of a reader mostly ask
// for the same ones.
type encodedRows struct {
	asked string // the query, encoded
	data  []byte
}

// encodeNewer returns the rows that are newer than those of the query, encoded, or
// nothing if there are none. The caller holds the lock.
func (s *Source) encodeNewer(query *peerpb.RowsQuery) ([]byte, error) {
	rows := s.view.newer(query)
	if rows.empty() {
		return nil, nil
	}
	key := proto.Clone(query).(*peerpb.RowsQuery)
	key.WaitMillis = 0
	asked, err := proto.MarshalOptions{Deterministic: true}.Marshal(key)
	if err != nil {
		return nil, err
	}
	if s.encoded.asked != string(asked) || s.encoded.data == nil {
		data, err := rows.encode()
		if err != nil {
			return nil, err
		}
		s.encoded = encodedRows{string(asked), data}
	}
	return s.encoded.data, nil
}
