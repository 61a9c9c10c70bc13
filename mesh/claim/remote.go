package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/steperr"
)

const (
	// batchersPerZone is the number of daemons of an availability zone that write its claims.
	batchersPerZone = 2
	// remoteTimeout bounds one exchange with one batching daemon.
	remoteTimeout = 500 * time.Millisecond
)

// Peers sends control messages to other daemons and returns their replies.
type Peers interface {
	Control(ctx context.Context, host, address string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error)
}

// Members returns the member list of the mesh.
type Members interface{ Members() []gossip.Member }

// Self identifies the local daemon.
type Self struct {
	Host string
	Zone string // availability zone
}

// NewZoned returns a claimer that sends its claims to the batching daemons of its zone, in turn
// until one replies with a result; see sendToBatchers. It sends them only to those that rank before
// the local daemon for the key, and writes them to the table directly if none of these does.
func NewZoned(self Self, members Members, peers Peers, table store.Table, log *zap.Logger) *Claimer {
	c := New(table, log)
	c.backend = &zoneBackend{self: self, members: members, peers: peers, local: c.local, timeout: remoteTimeout}
	return c
}

// zoneBackend is the backend that sends operations to the batching daemons. An operation may be
// sent to one after the other, since claim.Decide recognizes the attempt's own row.
type zoneBackend struct {
	self    Self
	members Members
	peers   Peers
	local   *tableBackend
	timeout time.Duration // of one exchange with a batching daemon
}

// batchersFor returns the batching daemons of the zone, in the order in which they rank for the
// key. If the local daemon is one of them, only those that rank before it are returned.
func (z *zoneBackend) batchersFor(key string) []gossip.Member {
	hosts := []string{z.self.Host}
	byHost := make(map[string]gossip.Member)
	for _, member := range z.members.Members() {
		if member.Host == z.self.Host || member.Zone != z.self.Zone || member.Leaving || member.Status != gossip.Alive {
			continue
		}
		hosts = append(hosts, member.Host)
		byHost[member.Host] = member
	}
	var batchers []gossip.Member
	for _, host := range rendezvous.Rank(key, rendezvous.Top("claims/"+z.self.Zone, hosts, batchersPerZone)) {
		if host == z.self.Host {
			break
		}
		batchers = append(batchers, byHost[host])
	}
	return batchers
}

func (z *zoneBackend) claim(ctx context.Context, request *claim.Request) (claim.Decision, error) {
	reply, unknown := z.sendToBatchers(ctx, request, messageFromRequest(request))
	if reply != nil {
		return decisionFromReply(reply)
	}
	decision, err := z.local.claim(ctx, request)
	if err != nil {
		err = asUnknown(err, unknown)
	}
	return decision, err
}

func (z *zoneBackend) record(ctx context.Context, request *claim.Request, outcome *claim.Outcome) error {
	message := messageFromRequest(request)
	message.Outcome = messageFromOutcome(outcome)
	if reply, _ := z.sendToBatchers(ctx, request, message); reply != nil {
		return errorOf(reply.GetResult())
	}
	return z.local.record(ctx, request, outcome)
}

func (z *zoneBackend) release(ctx context.Context, request *claim.Request) error {
	message := messageFromRequest(request)
	message.Release = true
	if reply, _ := z.sendToBatchers(ctx, request, message); reply != nil {
		return errorOf(reply.GetResult())
	}
	return z.local.release(ctx, request)
}

// sendToBatchers sends a message to the batching daemons in turn, and returns the first reply whose
// result is neither unspecified (outcome unknown) nor unavailable (no effect), or else nil. unknown
// reports whether a daemon without such a reply may have carried out the operation.
func (z *zoneBackend) sendToBatchers(ctx context.Context, request *claim.Request, message *peerpb.ClaimRequest) (reply *peerpb.ClaimReply, unknown bool) {
	for _, member := range z.batchersFor(request.RowKey()) {
		reply, err := z.exchange(ctx, member, message)
		switch {
		case err != nil || reply.GetResult() == peerpb.ClaimResult_CLAIM_RESULT_UNSPECIFIED:
			unknown = true
		case reply.GetResult() != peerpb.ClaimResult_CLAIM_RESULT_UNAVAILABLE:
			return reply, unknown
		}
	}
	return nil, unknown
}

// exchange sends a message to a batching daemon and returns its reply.
func (z *zoneBackend) exchange(ctx context.Context, member gossip.Member, message *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, z.timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	message.TimeoutMicros = time.Until(deadline).Microseconds()
	request := &peerpb.ControlRequest{From: z.self.Host, Body: &peerpb.ControlRequest_Claim{Claim: message}}
	reply, err := z.peers.Control(ctx, member.Host, member.PeerAddress, request)
	if err != nil {
		return nil, steperr.Wrap(err, "hand over claim", member.Host)
	}
	if failed := reply.GetError(); failed != nil {
		return nil, steperr.Wrap(errors.New(failed.GetDetail()), failed.GetStep(), member.Host)
	}
	return reply.GetClaim(), nil
}

// decisionFromReply returns the decision or the error that the reply to a claim carries.
func decisionFromReply(reply *peerpb.ClaimReply) (claim.Decision, error) {
	switch reply.GetResult() {
	case peerpb.ClaimResult_CLAIM_RESULT_DONE:
		return claim.Decision{Verdict: claim.Granted}, nil
	case peerpb.ClaimResult_CLAIM_RESULT_PENDING:
		return claim.Decision{Verdict: claim.Pending}, nil
	case peerpb.ClaimResult_CLAIM_RESULT_MISMATCH:
		return claim.Decision{Verdict: claim.Mismatch}, nil
	case peerpb.ClaimResult_CLAIM_RESULT_RECORDED:
		return claim.Decision{Verdict: claim.Recorded, Outcome: outcomeFromMessage(reply.GetOutcome())}, nil
	}
	return claim.Decision{}, errorOf(reply.GetResult())
}

// errorOf returns the error that a result stands for, nil for success. For any result that it does
// not list, the error wraps store.ErrOutcomeUnknown.
func errorOf(result peerpb.ClaimResult) error {
	switch result {
	case peerpb.ClaimResult_CLAIM_RESULT_DONE:
		return nil
	case peerpb.ClaimResult_CLAIM_RESULT_NOT_HELD:
		return errNotHeld
	case peerpb.ClaimResult_CLAIM_RESULT_ABSENT:
		return errAbsent
	}
	return fmt.Errorf("%w: result %v", store.ErrOutcomeUnknown, result)
}
