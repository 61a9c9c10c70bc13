package rollout

import (
	"fmt"
	"strings"
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
)

// bad holds when the detector or a zone found the new version worse.
func (in *input) bad() bool {
	return in.evidence.Verdict.Kind == detect.Bad || len(in.evidence.Tripped) > 0
}

// overdue holds when there is only time left to write the verdict.
func (in *input) overdue() bool { return !in.now.Before(in.state.verdictBy()) }

func (in *input) ready() bool { return in.evidence.Hosts.To > 0 }

func (in *input) reporting() bool { return in.evidence.Reporting }

// due holds when the next level's planned time has come and the present one
// has lasted long enough.
func (in *input) due() bool {
	if in.now.Sub(in.state.StepAt) < in.state.dwell() {
		return false
	}
	return !in.now.Before(in.next().At)
}

// next returns the level that follows.
func (in *input) next() Level { return in.state.Levels[in.state.Level] }

// supported returns the largest share that the evidence supports.
func (in *input) supported() int {
	v := in.evidence.Verdict
	part := min(in.policy.Harm/v.Excess, stepHarm*in.policy.Harm/v.StepExcess, 1)
	return int(part * revision.FullShare)
}

// allowed returns how far the evidence supports growth to the next level.
func (in *input) allowed() int { return min(in.next().Share, in.supported()) }

// stepHarm is by how much the evidence of one step may be weaker than that of
// the whole move.
const stepHarm = 10

// proved holds when the step has evidence of its own that supports growth.
func (in *input) proved() bool {
	v := in.evidence.Verdict
	if !in.evidence.Reporting || v.StepRequests == 0 || v.StepExcess >= 1 || v.Suspicion >= suspicious {
		return false
	}
	allowed := in.allowed()
	return allowed == in.next().Share || float64(allowed) >= growthLeast*float64(in.state.Share)
}

// last holds when growth reaches the last level.
func (in *input) last() bool {
	return in.state.Level == len(in.state.Levels)-1 && in.allowed() == in.next().Share
}

// loaded holds when the whole share has been reported on.
func (in *input) loaded() bool {
	return in.evidence.Reporting && in.evidence.Verdict.StepRequests > 0
}

// baked holds when the whole share was watched as long as planned, or for the
// least time if the deadline is near.
func (in *input) baked() bool {
	watched := in.now.Sub(in.state.StepAt)
	planned := in.state.Bake.Std()
	least := time.Duration(float64(planned) * bakeLeast)
	return watched >= planned || (in.overdue() && watched >= least)
}

func (in *input) good() bool {
	v := in.evidence.Verdict
	return in.evidence.Reporting && v.Kind == detect.Good && v.StepExcess <= stepEffect*in.policy.Detect.Effect
}

// suspicious is the evidence of badness that keeps a share from growing and a
// move from being done.
const suspicious = 0.5

// cleared holds when nothing speaks against the new version. A service that
// prefers the deadline accepts a suspicion once the deadline is there.
func (in *input) cleared() bool {
	if in.evidence.Verdict.Suspicion < suspicious {
		return true
	}
	return in.state.Preference == revision.PreferDeadline && in.overdue()
}

// stepEffect is by how much the evidence of the whole share alone may be weaker
// than that of the whole move.
const stepEffect = 3

func (in *input) plan() {
	in.state.plan(in.policy, in.evidence, in.now)
}

// raise grows the share to the next level, or as far towards it as the evidence
// allows.
func (in *input) raise() {
	s := &in.state
	if s.Level > 0 {
		in.catchUp()
	}
	level := in.next()
	share := level.Share
	if s.Level > 0 {
		share = in.allowed()
	}
	s.Share, s.Hosts = share, level.Hosts
	if share == level.Share {
		s.Level++
	} else {
		s.Hosts = in.evidence.Hosts.carrying(share)
	}
	in.actions = append(in.actions, SetShare{Share: s.Share, Hosts: s.Hosts})
}

// catchUp passes over levels whose time is over, as after a change of controller,
// as far as the evidence supports. It never passes over the way to the last one.
func (in *input) catchUp() {
	s := &in.state
	for s.Level < len(s.Levels)-2 {
		following := s.Levels[s.Level+1]
		if in.now.Before(following.At) || following.Share > in.supported() {
			return
		}
		s.Level++
	}
}

// hold keeps the share and enters the next step.
func (in *input) hold() {
	in.actions = append(in.actions, SetShare{Share: in.state.Share, Hosts: in.state.Hosts})
}

func (in *input) finish() {
	s := &in.state
	s.Share, s.Hosts = s.Target, 0
	s.Verdict = ticket.Completed
	s.Reason = fmt.Sprintf("excess of failures and slow answers below %.1f%% over %d calls",
		100*in.evidence.Verdict.Excess, in.evidence.Verdict.Requests)
	in.actions = append(in.actions, Finish{Verdict: s.Verdict, Reason: s.Reason})
}

// settles holds when calls to the old version are to end before the verdict.
func (in *input) settles() bool { return in.state.Settle > 0 }

// carried holds when the new version's hosts can carry the calls of the old ones,
// some of which may have been lost since they announced themselves.
func (in *input) carried() bool { return in.evidence.Hosts.carry() }

// expiring holds when there is only time left to write a verdict for a move that
// has settled.
func (in *input) expiring() bool { return !in.now.Before(in.state.writeBy()) }

// bakes holds when the whole share is watched before the old version is given
// up.
func (in *input) bakes() bool { return !in.settles() }

// grows holds when the next level is one of those before the whole share, or may
// be approached in steps.
func (in *input) grows() bool {
	return in.bakes() || in.state.Level < len(in.state.Levels)-1
}

// settled holds when the old version has had no calls for long enough.
func (in *input) settled() bool { return in.now.Sub(in.state.StepAt) >= in.state.Settle.Std() }

// complete gives the new version the whole target share.
func (in *input) complete() {
	s := &in.state
	s.Share, s.Hosts = s.Target, 0
	in.actions = append(in.actions, SetShare{Share: s.Share, Hosts: s.Hosts})
}

func (in *input) takeBack() {
	s := &in.state
	s.Reason = in.reason()
	s.Share, s.Hosts = 0, 0
	s.Verdict = ticket.RolledBack
	in.actions = append(in.actions, Finish{Verdict: s.Verdict, Reason: s.Reason})
}

// reason states why the move is taken back.
func (in *input) reason() string {
	e := in.evidence
	switch {
	case e.Verdict.Kind == detect.Bad:
		return "worse than " + in.state.From + ": " + e.Verdict.Reason.String()
	case len(e.Tripped) > 0:
		return "stopped in " + strings.Join(e.Tripped, ", ")
	case e.Hosts.To == 0:
		return "not proved good by its deadline: no ready target of " + in.state.To
	case !e.Reporting:
		return "not proved good by its deadline: no outcome reports"
	}
	if in.settles() && !in.carried() {
		return fmt.Sprintf("not completed by its deadline: %d ready hosts of %s can't carry the calls of %d",
			e.Hosts.To, in.state.To, e.Hosts.From)
	}
	if e.Verdict.Suspicion >= suspicious {
		return fmt.Sprintf("not proved good by its deadline: at step %s and a share of %.2f%%, some route or zone is close to a verdict of worse",
			in.state.Step, float64(in.state.Share)/100)
	}
	return fmt.Sprintf("not proved good by its deadline: at step %s and a share of %.2f%%, %d calls rule out an excess of failures and slow answers above %.1f%% only (%.1f%% by the %d calls at this share)",
		in.state.Step, float64(in.state.Share)/100, e.Verdict.Requests, 100*e.Verdict.Excess, 100*e.Verdict.StepExcess, e.Verdict.StepRequests)
}
