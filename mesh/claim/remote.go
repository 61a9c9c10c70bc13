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
	// batchers is the number of daemons of a zone that write its claims.
	batchers = 2
	// remoteTimeout bounds the wait for a batching daemon.
	remoteTimeout = 500 * time.Millisecond
)

// Peers exchanges control messages with other daemons.
type Peers interface {
	Control(ctx context.Context, host, address string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error)
}

// Members is the membership view.
type Members interface{ Members() []gossip.Member }

// Self places the daemon.
type Self struct {
	Host string
	Zone string
}

// NewZoned returns a claimer that hands its claims to the two batching daemons
// of its zone, and writes them by itself when neither answers.
func NewZoned(self Self, members Members, peers Peers, table store.Table, log *zap.Logger) *Claimer {
	c := New(table, log)
	c.backend = &zoneBackend{self: self, members: members, peers: peers, local: c.table, timeout: remoteTimeout}
	return c
}

// zoneBackend is the backend that asks the batching daemons. An operation is
// safe to hand to one after the other, since an attempt recognises itself.
type zoneBackend struct {
	self    Self
	members Members
	peers   Peers
	local   *tableBackend
	timeout time.Duration // of an exchange with a batching daemon
}

// receivers returns the batching daemons, the one that the key belongs to
// first. It ends at this daemon where that is one of them.
func (z *zoneBackend) receivers(key string) []gossip.Member {
	hosts := []string{z.self.Host}
	byHost := make(map[string]gossip.Member)
	for _, member := range z.members.Members() {
		if member.Host == z.self.Host || member.Zone != z.self.Zone || member.Leaving || member.Status != gossip.Alive {
			continue
		}
		hosts = append(hosts, member.Host)
		byHost[member.Host] = member
	}
	var receivers []gossip.Member
	for _, host := range rendezvous.Rank(key, rendezvous.Top("claims/"+z.self.Zone, hosts, batchers)) {
		if host == z.self.Host {
			break
		}
		receivers = append(receivers, byHost[host])
	}
	return receivers
}

func (z *zoneBackend) claim(ctx context.Context, request *claim.Request) (claim.Decision, error) {
	reply, uncertain := z.ask(ctx, request, claimMessage(request))
	if reply != nil {
		return decisionOf(reply)
	}
	decision, err := z.local.claim(ctx, request)
	if err != nil {
		err = doubt(err, uncertain)
	}
	return decision, err
}

func (z *zoneBackend) record(ctx context.Context, request *claim.Request, outcome *claim.Outcome) error {
	message := claimMessage(request)
	message.Outcome = outcomeMessage(outcome)
	if reply, _ := z.ask(ctx, request, message); reply != nil {
		return errorOf(reply.GetResult())
	}
	return z.local.record(ctx, request, outcome)
}

func (z *zoneBackend) release(ctx context.Context, request *claim.Request) error {
	message := claimMessage(request)
	message.Release = true
	if reply, _ := z.ask(ctx, request, message); reply != nil {
		return errorOf(reply.GetResult())
	}
	return z.local.release(ctx, request)
}

// ask hands a message to the batching daemons in turn. It returns no reply if
// none has one that settles the matter, and whether one of them may have acted.
func (z *zoneBackend) ask(ctx context.Context, request *claim.Request, message *peerpb.ClaimRequest) (reply *peerpb.ClaimReply, uncertain bool) {
	for _, member := range z.receivers(request.RowKey()) {
		reply, err := z.exchange(ctx, member, message)
		switch {
		case err != nil || reply.GetResult() == peerpb.ClaimResult_CLAIM_RESULT_UNSPECIFIED:
			uncertain = true
		case reply.GetResult() != peerpb.ClaimResult_CLAIM_RESULT_UNAVAILABLE:
			return reply, uncertain
		}
	}
	return nil, uncertain
}

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

func decisionOf(reply *peerpb.ClaimReply) (claim.Decision, error) {
	switch reply.GetResult() {
	case peerpb.ClaimResult_CLAIM_RESULT_DONE:
		return claim.Decision{Verdict: claim.Granted}, nil
	case peerpb.ClaimResult_CLAIM_RESULT_PENDING:
		return claim.Decision{Verdict: claim.Pending}, nil
	case peerpb.ClaimResult_CLAIM_RESULT_MISMATCH:
		return claim.Decision{Verdict: claim.Mismatch}, nil
	case peerpb.ClaimResult_CLAIM_RESULT_RECORDED:
		return claim.Decision{Verdict: claim.Recorded, Outcome: outcomeOf(reply.GetOutcome())}, nil
	}
	return claim.Decision{}, errorOf(reply.GetResult())
}

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
