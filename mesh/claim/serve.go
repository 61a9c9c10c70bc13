package claim

import (
	"context"
	"errors"
	"time"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Serve carries out one claim message of another daemon of the zone and returns the reply. It
// releases a claim only on request: the sender may have been granted the claim by another batching
// daemon or by a direct write to the table.
func (c *Claimer) Serve(ctx context.Context, message *peerpb.ClaimRequest) *peerpb.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.GetTimeoutMicros())*time.Microsecond)
	defer cancel()
	request := requestFromMessage(message)
	switch {
	case message.GetOutcome() != nil:
		return replyOf(c.local.record(ctx, request, outcomeFromMessage(message.GetOutcome())))
	case message.GetRelease():
		return replyOf(c.local.release(ctx, request))
	}
	decision, err := c.local.claim(ctx, request)
	if err != nil {
		return replyOf(err)
	}
	return replyFromDecision(decision)
}

func replyFromDecision(decision claim.Decision) *peerpb.ClaimReply {
	switch decision.Verdict {
	case claim.Granted:
		return &peerpb.ClaimReply{Granted: true, Result: peerpb.ClaimResult_CLAIM_RESULT_DONE}
	case claim.Mismatch:
		return &peerpb.ClaimReply{Result: peerpb.ClaimResult_CLAIM_RESULT_MISMATCH}
	case claim.Recorded:
		return &peerpb.ClaimReply{
			Result:  peerpb.ClaimResult_CLAIM_RESULT_RECORDED,
			Outcome: messageFromOutcome(decision.Outcome),
		}
	}
	return &peerpb.ClaimReply{Result: peerpb.ClaimResult_CLAIM_RESULT_PENDING}
}

func replyOf(err error) *peerpb.ClaimReply {
	return &peerpb.ClaimReply{Result: resultOf(err)}
}

// resultOf returns the result that stands for an error, success for nil. It is unspecified for an
// error after which the outcome is unknown, and for any other error that it does not list.
func resultOf(err error) peerpb.ClaimResult {
	switch {
	case err == nil:
		return peerpb.ClaimResult_CLAIM_RESULT_DONE
	case errors.Is(err, errNotHeld):
		return peerpb.ClaimResult_CLAIM_RESULT_NOT_HELD
	case errors.Is(err, errAbsent):
		return peerpb.ClaimResult_CLAIM_RESULT_ABSENT
	case errors.Is(err, store.ErrUnavailable):
		return peerpb.ClaimResult_CLAIM_RESULT_UNAVAILABLE
	}
	return peerpb.ClaimResult_CLAIM_RESULT_UNSPECIFIED
}

func messageFromRequest(request *claim.Request) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		Service:     request.Service,
		Key:         request.Key,
		Attempt:     request.Attempt,
		Fingerprint: request.Fingerprint,
	}
}

func requestFromMessage(message *peerpb.ClaimRequest) *claim.Request {
	return &claim.Request{
		Service:     message.GetService(),
		Key:         message.GetKey(),
		Attempt:     message.GetAttempt(),
		Fingerprint: message.GetFingerprint(),
	}
}

func messageFromOutcome(outcome *claim.Outcome) *peerpb.ClaimOutcome {
	message := &peerpb.ClaimOutcome{
		Status:  int32(outcome.Status),
		Body:    outcome.Body,
		Dropped: outcome.BodyDropped,
	}
	for _, header := range outcome.Headers {
		message.Headers = append(message.Headers, &peerpb.Header{Name: header.Name, Value: header.Value})
	}
	return message
}

func outcomeFromMessage(message *peerpb.ClaimOutcome) *claim.Outcome {
	outcome := &claim.Outcome{
		Status:      int(message.GetStatus()),
		Body:        message.GetBody(),
		BodyDropped: message.GetDropped(),
	}
	for _, header := range message.GetHeaders() {
		outcome.Headers = append(outcome.Headers, claim.Header{Name: header.GetName(), Value: header.GetValue()})
	}
	return outcome
}
