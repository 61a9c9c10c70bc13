package rollout

import (
	"fmt"
	"strings"
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
)

// bad holds if the detector found the new version worse or a zone halted it.
func (in *input) bad() bool {
	return in.evidence.Verdict.Kind == detect.Bad || len(in.evidence.Halted) > 0
}

// overdue holds from the decision deadline on. It fires before the rollout's deadline: the
// remaining time suffices only to settle (State.Settle) and to write the verdict.
func (in *input) overdue() bool { return !in.now.Before(in.state.decisionDeadline()) }

// ready holds if the new version has a ready target.
func (in *input) ready() bool { return in.evidence.Hosts.To > 0 }

// reporting holds while outcome reports of the service arrive.
func (in *input) reporting() bool { return in.evidence.Reporting }

// due holds if the planned time of the next level has come and the minimum duration of a share has
// passed since the last action.
func (in *input) due() bool {
	if in.now.Sub(in.state.StepAt) < in.state.dwell() {
		return false
	}
	return !in.now.Before(in.nextLevel().StartAt)
}

// nextLevel returns the next planned level.
func (in *input) nextLevel() Level { return in.state.Levels[in.state.Level] }

// supportedShare returns the largest share, in basis points, at which the excess of failures and
// slow responses that the evidence does not rule out affects at most Policy.MaxHarm of all requests.
// By the evidence of the current step alone the limit is stepHarmFactor times MaxHarm.
func (in *input) supportedShare() int {
	v := in.evidence.Verdict
	fraction := min(in.policy.MaxHarm/v.ExcessBound, stepHarmFactor*in.policy.MaxHarm/v.StepExcessBound, 1)
	return int(fraction * revision.FullShare)
}

// allowedShare returns the share of the next level, limited to what the evidence supports.
func (in *input) allowedShare() int { return min(in.nextLevel().Share, in.supportedShare()) }

// stepHarmFactor multiplies Policy.MaxHarm where a share is checked against the evidence of the
// current step alone, which may be weaker by this factor than that of the whole rollout.
const stepHarmFactor = 10

// proved holds if the current step has evidence of its own that supports growth by at least
// minGrowthFactor or to the next level.
func (in *input) proved() bool {
	v := in.evidence.Verdict
	if !in.evidence.Reporting || v.StepRequests == 0 || v.StepExcessBound >= 1 || v.BadEvidence >= badEvidenceLimit {
		return false
	}
	allowed := in.allowedShare()
	return allowed == in.nextLevel().Share || float64(allowed) >= minGrowthFactor*float64(in.state.Share)
}

// last holds if growth reaches the last level.
func (in *input) last() bool {
	return in.state.Level == len(in.state.Levels)-1 && in.allowedShare() == in.nextLevel().Share
}

// loaded holds if requests to the new version have been reported for the current step.
func (in *input) loaded() bool {
	return in.evidence.Reporting && in.evidence.Verdict.StepRequests > 0
}

// baked holds if the last planned share was observed for the planned time, or, from the decision
// deadline on, for at least minBakeFraction of it.
func (in *input) baked() bool {
	observed := in.now.Sub(in.state.StepAt)
	planned := in.state.Bake.Std()
	minimum := time.Duration(float64(planned) * minBakeFraction)
	return observed >= planned || (in.overdue() && observed >= minimum)
}

// good holds if the verdict is good and the evidence of the current step does not contradict it.
func (in *input) good() bool {
	v := in.evidence.Verdict
	return in.evidence.Reporting && v.Kind == detect.Good && v.StepExcessBound <= stepEffectFactor*in.policy.Detect.Effect
}

// badEvidenceLimit is the value of detect.Verdict.BadEvidence, the evidence that the new version is
// worse on a scale from 0 to 1 (a bad verdict), from which a share does not grow and a rollout does not complete.
const badEvidenceLimit = 0.5

// cleared holds if the evidence that the new version is worse is below badEvidenceLimit. For a
// service that prefers the deadline, it also holds from the decision deadline on (see overdue).
func (in *input) cleared() bool {
	if in.evidence.Verdict.BadEvidence < badEvidenceLimit {
		return true
	}
	return in.state.Preference == revision.PreferDeadline && in.overdue()
}

// stepEffectFactor multiplies detect.Config.Effect where the excess is bounded by the evidence of
// the current step alone, which may be weaker by this factor than that of the whole rollout.
const stepEffectFactor = 3

// plan sets the levels of the rollout; see State.plan.
func (in *input) plan() {
	in.state.plan(in.policy, in.evidence, in.now)
}

// raise increases the share to that of the next level, or as far as the evidence supports.
func (in *input) raise() {
	s := &in.state
	if s.Level > 0 {
		in.skipOverdueLevels()
	}
	level := in.nextLevel()
	share := level.Share
	if s.Level > 0 {
		share = in.allowedShare()
	}
	s.Share, s.Hosts = share, level.Hosts
	if share == level.Share {
		s.Level++
	} else {
		s.Hosts = in.evidence.Hosts.hostsFor(share)
	}
	in.actions = append(in.actions, SetShare{Share: s.Share, Hosts: s.Hosts})
}

// skipOverdueLevels skips levels whose successor's planned start has passed, as after a change of
// controller, as far as the evidence supports. It never skips the last level but one, so growth to the last
// level starts from there.
func (in *input) skipOverdueLevels() {
	s := &in.state
	for s.Level < len(s.Levels)-2 {
		following := s.Levels[s.Level+1]
		if in.now.Before(following.StartAt) || following.Share > in.supportedShare() {
			return
		}
		s.Level++
	}
}

// hold keeps the share and enters the next step.
func (in *input) hold() {
	in.actions = append(in.actions, SetShare{Share: in.state.Share, Hosts: in.state.Hosts})
}

// completeRollout ends the rollout with the verdict completed and the final share in force. It is
// the chart's action "finish".
func (in *input) completeRollout() {
	s := &in.state
	s.Share, s.Hosts = s.TargetShare, 0
	s.Verdict = ticket.Completed
	s.Reason = fmt.Sprintf("excess of failures and slow answers below %.1f%% over %d calls",
		100*in.evidence.Verdict.ExcessBound, in.evidence.Verdict.Requests)
	in.actions = append(in.actions, Finish{Verdict: s.Verdict, Reason: s.Reason})
}

// settles holds if the rollout spends State.Settle at the final share, in which requests to the old
// version end, before the verdict, instead of observing the last planned share. It applies to
// rollouts that complete within seconds.
func (in *input) settles() bool { return in.state.Settle > 0 }

// carried holds if the ready hosts of the new version suffice to carry all requests (see
// Hosts.canTakeOver). Some of them may have been lost since they announced their targets.
func (in *input) carried() bool { return in.evidence.Hosts.canTakeOver() }

// expiring holds if the remaining time suffices only to write the verdict, without time to settle.
func (in *input) expiring() bool { return !in.now.Before(in.state.verdictWriteDeadline()) }

// bakes holds if the last planned share is observed before the rollout completes and the old version
// is removed.
func (in *input) bakes() bool { return !in.settles() }

// grows holds if the share may grow within the ramp: towards any level in a rollout that bakes, but
// towards intermediate levels only in one that settles. A rollout that settles goes from the last
// intermediate level to the final share at once.
func (in *input) grows() bool {
	return in.bakes() || in.state.Level < len(in.state.Levels)-1
}

// settled holds if the old version has received no requests for the required time.
func (in *input) settled() bool { return in.now.Sub(in.state.StepAt) >= in.state.Settle.Std() }

// raiseToFinalShare gives the new version its final share; the rollout continues and settles. It is
// the chart's action "complete".
func (in *input) raiseToFinalShare() {
	s := &in.state
	s.Share, s.Hosts = s.TargetShare, 0
	in.actions = append(in.actions, SetShare{Share: s.Share, Hosts: s.Hosts})
}

// rollBack ends the rollout and restores the share of the old version.
func (in *input) rollBack() {
	s := &in.state
	s.Reason = in.rollbackReason()
	s.Share, s.Hosts = 0, 0
	s.Verdict = ticket.RolledBack
	in.actions = append(in.actions, Finish{Verdict: s.Verdict, Reason: s.Reason})
}

// rollbackReason returns why the rollout is rolled back. The text is stored with the rollout and
// shown to operators.
func (in *input) rollbackReason() string {
	e := in.evidence
	switch {
	case e.Verdict.Kind == detect.Bad:
		return "worse than " + in.state.From + ": " + e.Verdict.Reason.String()
	case len(e.Halted) > 0:
		return "stopped in " + strings.Join(e.Halted, ", ")
	case e.Hosts.To == 0:
		return "not proved good by its deadline: no ready target of " + in.state.To
	case !e.Reporting:
		return "not proved good by its deadline: no outcome reports"
	}
	if in.settles() && !in.carried() {
		return fmt.Sprintf("not completed by its deadline: %d ready hosts of %s can't carry the calls of %d",
			e.Hosts.To, in.state.To, e.Hosts.From)
	}
	if e.Verdict.BadEvidence >= badEvidenceLimit {
		return fmt.Sprintf("not proved good by its deadline: at step %s and a share of %.2f%%, some route or zone is close to a verdict of worse",
			in.state.Step, float64(in.state.Share)/100)
	}
	return fmt.Sprintf("not proved good by its deadline: at step %s and a share of %.2f%%, %d calls rule out an excess of failures and slow answers above %.1f%% only (%.1f%% by the %d calls at this share)",
		in.state.Step, float64(in.state.Share)/100, e.Verdict.Requests, 100*e.Verdict.ExcessBound, 100*e.Verdict.StepExcessBound, e.Verdict.StepRequests)
}
