package daemon

import (
	"context"

	"sassafrasnotch.example/mesh/claim"
	"sassafrasnotch.example/mesh/controller"
	"sassafrasnotch.example/mesh/distribution"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/quota"
	"sassafrasnotch.example/mesh/source"
)

// controlHandler dispatches the control requests of other daemons to the components that serve
// them.
type controlHandler struct {
	distributor *distribution.Distributor
	source      *source.Source
	controller  *controller.Controller
	claims      *claim.Claimer
	exit        *exit.Exit
	quota       *quota.Limiter
}

func newControlHandler(d *distribution.Distributor, s *source.Source, c *controller.Controller, claims *claim.Claimer, x *exit.Exit, limiter *quota.Limiter) *controlHandler {
	return &controlHandler{distributor: d, source: s, controller: c, claims: claims, exit: x, quota: limiter}
}

// ServeControl implements peer.ControlHandler. Its reply is a ControlError for a request that
// failed or has an unknown body.
func (h *controlHandler) ServeControl(ctx context.Context, from peer.Identity, request *peerpb.ControlRequest) *peerpb.ControlReply {
	switch body := request.Body.(type) {
	case *peerpb.ControlRequest_Stage:
		reply := h.distributor.ServeStage(distribution.Identity{Host: from.Host, Zone: from.Zone}, body.Stage)
		return &peerpb.ControlReply{Body: &peerpb.ControlReply_Stage{Stage: reply}}
	case *peerpb.ControlRequest_Pull:
		reply, err := h.distributor.ServePull(body.Pull)
		if err != nil {
			return controlError("pull", err.Error())
		}
		return &peerpb.ControlReply{Body: &peerpb.ControlReply_Pull{Pull: reply}}
	case *peerpb.ControlRequest_Held:
		return &peerpb.ControlReply{Body: &peerpb.ControlReply_Held{Held: h.distributor.ServeHeld()}}
	case *peerpb.ControlRequest_Rows:
		reply, err := h.source.ServeRows(ctx, body.Rows)
		if err != nil {
			return controlError("hand over rows", err.Error())
		}
		return &peerpb.ControlReply{Body: &peerpb.ControlReply_Rows{Rows: reply}}
	case *peerpb.ControlRequest_Outcomes:
		reply := h.controller.HandleReport(body.Outcomes)
		return &peerpb.ControlReply{Body: &peerpb.ControlReply_Outcomes{Outcomes: reply}}
	case *peerpb.ControlRequest_Claim:
		reply := h.claims.Serve(ctx, body.Claim)
		return &peerpb.ControlReply{Body: &peerpb.ControlReply_Claim{Claim: reply}}
	case *peerpb.ControlRequest_Crash:
		h.exit.AddCrashFingerprint(exit.CrashFingerprint{
			Fingerprint: body.Crash.GetFingerprint(),
			Host:        from.Host,
			CrashNumber: body.Crash.GetNumber(),
		})
		return &peerpb.ControlReply{Body: &peerpb.ControlReply_Crash{Crash: &peerpb.CrashReply{}}}
	case *peerpb.ControlRequest_Tokens:
		return h.quota.ServeTokens(from, body.Tokens)
	case *peerpb.ControlRequest_Shares:
		return h.quota.ServeShares(from, body.Shares)
	}
	return controlError("dispatch", "unknown type of control request")
}

func controlError(step, detail string) *peerpb.ControlReply {
	return &peerpb.ControlReply{Body: &peerpb.ControlReply_Error{Error: &peerpb.ControlError{Step: step, Detail: detail}}}
}
