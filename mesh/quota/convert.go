package quota

import (
	"math"
	"time"

	"sassafrasnotch.example/coord/quota"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// maxCount bounds the tokens of one message of another daemon.
const maxCount = 1 << 20

func count(n uint32) int { return int(min(n, maxCount)) }

// millis rounds a duration up to milliseconds, so that a short wait does not become none.
func millis(d time.Duration) uint32 {
	return uint32(min((d+time.Millisecond-1)/time.Millisecond, math.MaxInt32))
}

func duration(millis uint32) time.Duration {
	return time.Duration(min(millis, math.MaxInt32)) * time.Millisecond
}

// finite returns a rate that another daemon reports, or 0 if it is no valid one.
func finite(rate float64) float64 {
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0
	}
	return rate
}

func encodeReport(r *quota.Report) *peerpb.ControlRequest {
	request := &peerpb.TokenRequest{Incarnation: r.Incarnation, Sequence: r.Sequence, HoldMillis: millis(r.Hold), Complete: r.Complete}
	for _, d := range r.Demands {
		request.Demands = append(request.Demands, &peerpb.TokenDemand{
			Tenant: d.Tenant, Wanted: uint32(d.Wanted), Returned: uint32(d.Returned), OfferedPerSecond: float32(d.Offered),
		})
	}
	return &peerpb.ControlRequest{Body: &peerpb.ControlRequest_Tokens{Tokens: request}}
}

func decodeReport(from peer.Identity, request *peerpb.TokenRequest) *quota.Report {
	r := &quota.Report{Host: from.Host, Incarnation: request.GetIncarnation(), Sequence: request.GetSequence(),
		Hold: duration(request.GetHoldMillis()), Complete: request.GetComplete()}
	for _, d := range request.GetDemands() {
		r.Demands = append(r.Demands, quota.Demand{
			Tenant: d.GetTenant(), Wanted: count(d.GetWanted()), Returned: count(d.GetReturned()), Offered: finite(float64(d.GetOfferedPerSecond())),
		})
	}
	return r
}

func encodeReply(r quota.Reply) *peerpb.ControlReply {
	reply := &peerpb.TokenReply{NotCoordinator: r.NotCoordinator}
	for _, g := range r.Grants {
		reply.Grants = append(reply.Grants, &peerpb.TokenGrant{
			Tenant: g.Tenant, Tokens: uint32(g.Tokens), RetryAfterMillis: millis(g.RetryAfter), Soon: g.Soon,
		})
	}
	return &peerpb.ControlReply{Body: &peerpb.ControlReply_Tokens{Tokens: reply}}
}

func decodeReply(reply *peerpb.TokenReply) quota.Reply {
	r := quota.Reply{NotCoordinator: reply.GetNotCoordinator()}
	for _, g := range reply.GetGrants() {
		r.Grants = append(r.Grants, quota.Grant{
			Tenant: g.GetTenant(), Tokens: count(g.GetTokens()), RetryAfter: duration(g.GetRetryAfterMillis()), Soon: g.GetSoon(),
		})
	}
	return r
}

func encodeShareReport(r *quota.ShareReport) *peerpb.ControlRequest {
	report := &peerpb.ShareReport{Incarnation: r.Incarnation, Sequence: r.Sequence, Part: r.Part, Pledge: r.Pledge}
	for _, d := range r.Demands {
		report.Demands = append(report.Demands, &peerpb.TenantDemand{Tenant: d.Tenant, OfferedPerSecond: float32(d.Offered)})
	}
	for _, w := range r.Wanted {
		report.Wanted = append(report.Wanted, &peerpb.TokenWanted{Tenant: w.Tenant, Tokens: uint32(w.Tokens)})
	}
	return &peerpb.ControlRequest{Body: &peerpb.ControlRequest_Shares{Shares: report}}
}

func decodeShareReport(from peer.Identity, report *peerpb.ShareReport) *quota.ShareReport {
	r := &quota.ShareReport{Host: from.Host, Zone: from.Zone, Incarnation: report.GetIncarnation(), Sequence: report.GetSequence(),
		Part: finite(report.GetPart()), Pledge: report.GetPledge()}
	for _, d := range report.GetDemands() {
		r.Demands = append(r.Demands, quota.TenantDemand{Tenant: d.GetTenant(), Offered: finite(float64(d.GetOfferedPerSecond()))})
	}
	for _, w := range report.GetWanted() {
		r.Wanted = append(r.Wanted, quota.Wanted{Tenant: w.GetTenant(), Tokens: count(w.GetTokens())})
	}
	return r
}

// million converts shares to and from parts per million. Shares are rounded down, so that no more is used
// than was lent.
const million = 1e6

func encodeShareReply(r quota.ShareReply) *peerpb.ControlReply {
	reply := &peerpb.ShareReply{NotRoot: r.NotRoot}
	for _, s := range r.Shares {
		reply.Shares = append(reply.Shares, &peerpb.TenantShare{Tenant: s.Tenant, Millionths: uint32(s.Share * million)})
	}
	for _, l := range r.Loans {
		reply.Loans = append(reply.Loans, &peerpb.TokenGrant{Tenant: l.Tenant, Tokens: uint32(l.Tokens), RetryAfterMillis: millis(l.RetryAfter)})
	}
	return &peerpb.ControlReply{Body: &peerpb.ControlReply_Shares{Shares: reply}}
}

func decodeShareReply(reply *peerpb.ShareReply) quota.ShareReply {
	r := quota.ShareReply{NotRoot: reply.GetNotRoot()}
	for _, s := range reply.GetShares() {
		r.Shares = append(r.Shares, quota.TenantShare{Tenant: s.GetTenant(), Share: min(float64(s.GetMillionths())/million, 1)})
	}
	for _, l := range reply.GetLoans() {
		r.Loans = append(r.Loans, quota.Loan{Tenant: l.GetTenant(), Tokens: count(l.GetTokens()), RetryAfter: duration(l.GetRetryAfterMillis())})
	}
	return r
}
