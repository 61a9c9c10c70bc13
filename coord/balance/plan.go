package balance

import (
	"slices"

	"sassafrasnotch.example/coord/revision"
)

// Choice is the version that a request goes to.
type Choice struct {
	Version string
	Group   *Group
	// Stable is the version that stands in for the new version of a rollout: the one that the
	// rollout replaces. Requests that the new version did not run are retried there. It is nil
	// if the choice isn't the new version of a rollout or Stable has no known endpoint.
	Stable *Choice
}

// Plan divides the requests for one service among its versions. It is immutable.
type Plan struct {
	shares []planShare
	// fallback is the last main version that had known endpoints, of this plan or an earlier
	// one. Outside a rollout, the next plan uses it as the stable version, which receives the
	// requests of versions without known endpoints.
	fallback string
}

// planShare is one version's interval of the draw: from the previous planShare's bound, or 0,
// up to its own, exclusive.
type planShare struct {
	bound  int     // ten-thousandths
	choice *Choice // nil if no version can receive the requests
}

// PlanInput holds what a plan is built from.
type PlanInput struct {
	Split *revision.Split
	Index *Index
	// Halted is set if the new version of the running rollout was halted: it receives no requests.
	Halted bool
	// Previous is the plan that this one replaces, or nil.
	Previous *Plan
}

// NewPlan builds the plan of a service.
func NewPlan(input PlanInput) *Plan {
	plan := &Plan{fallback: input.Previous.fallbackVersion()}
	stable := input.stableChoice(plan.fallback)
	bound := 0
	for _, share := range input.Split.Shares {
		if share.Weight <= 0 {
			continue
		}
		bound += share.Weight
		plan.shares = append(plan.shares, planShare{bound, input.choice(share.Version, stable)})
	}
	if main := input.mainVersion(); input.servingGroup(main).Size() > 0 {
		plan.fallback = main
	}
	return plan
}

// fallbackVersion returns the fallback; "" if the plan is nil or no main version has had known
// endpoints.
func (p *Plan) fallbackVersion() string {
	if p == nil {
		return ""
	}
	return p.fallback
}

// stableChoice returns the stable version, which receives the requests of versions that can't
// receive their own: the version that the running rollout replaces, or else the fallback. It
// is nil if that version has no known endpoints.
func (i *PlanInput) stableChoice(fallback string) *Choice {
	version := fallback
	if i.Split.Rollout != nil {
		version = i.Split.Rollout.From
	}
	group := i.versionGroup(version)
	if group.Size() == 0 {
		return nil
	}
	return &Choice{Version: version, Group: group}
}

// choice returns the version that receives the requests of a share. Those of a version without
// known endpoints, and those of a halted one, go to the stable version. It returns nil if no
// version can receive them.
func (i *PlanInput) choice(version string, stable *Choice) *Choice {
	if i.isNewVersion(version) && i.Halted {
		return stable
	}
	group := i.servingGroup(version)
	if group.Size() == 0 {
		return i.stableFor(version, stable)
	}
	choice := &Choice{Version: version, Group: group}
	if i.isNewVersion(version) {
		choice.Stable = stable
	}
	return choice
}

// stableFor returns the stable version for a version without known endpoints, or nil if that
// is the stable version itself or there is no stable one. It never returns the new version of
// a rollout.
func (i *PlanInput) stableFor(version string, stable *Choice) *Choice {
	if stable == nil || stable.Version == version {
		return nil
	}
	return stable
}

// servingGroup returns the endpoints that may receive the version's requests: for the new
// version of a rollout with a bound on its hosts, only the canary hosts.
func (i *PlanInput) servingGroup(version string) *Group {
	group := i.versionGroup(version)
	if group == nil || !i.isNewVersion(version) || i.Split.Rollout.Hosts <= 0 {
		return group
	}
	if group.Size() <= i.Split.Rollout.Hosts {
		return group
	}
	key := VersionKey{i.Split.Service, version}
	return newGroup(canaryEndpoints(group.Endpoints(), key, i.Split.Rollout.Ticket, i.Split.Rollout.Hosts), i.Index.self)
}

// versionGroup returns the endpoints of a version of the split. revision.AnyVersion stands for
// all versions that are neither barred nor given by a share or as the new version of a rollout.
func (i *PlanInput) versionGroup(version string) *Group {
	if version != revision.AnyVersion {
		return i.Index.Group(i.Split.Service, version)
	}
	except := slices.Clone(i.Split.Barred)
	for _, share := range i.Split.Shares {
		if share.Version != revision.AnyVersion {
			except = append(except, share.Version)
		}
	}
	if i.Split.Rollout != nil {
		except = append(except, i.Split.Rollout.To)
	}
	return i.Index.GroupExcept(i.Split.Service, except)
}

// isNewVersion reports whether the version is the new one of the running rollout.
func (i *PlanInput) isNewVersion(version string) bool {
	return i.Split.Rollout != nil && i.Split.Rollout.To == version
}

// mainVersion returns the version that the running rollout replaces, or else the one with the
// largest share. It becomes the fallback if it has known endpoints.
func (i *PlanInput) mainVersion() string {
	if i.Split.Rollout != nil {
		return i.Split.Rollout.From
	}
	largest := revision.Share{}
	for _, share := range i.Split.Shares {
		if share.Weight > largest.Weight {
			largest = share
		}
	}
	return largest.Version
}

// Choose draws a version by share. It returns nil if the plan has no shares, or if neither the
// drawn version nor the stable one can receive the request: the drawn version has no known
// endpoints or is halted, and there is no stable version.
func (p *Plan) Choose(random Source) *Choice {
	if len(p.shares) == 0 {
		return nil
	}
	point := IntN(random, p.shares[len(p.shares)-1].bound)
	for _, share := range p.shares {
		if point < share.bound {
			return share.choice
		}
	}
	return nil
}
