package balance

import (
	"slices"

	"sassafrasnotch.example/coord/revision"
)

// Choice is the version that a call goes to.
type Choice struct {
	Version string
	Group   *Group
	// Stable is the version that the service moves from; calls that the moving
	// version did not run are retried there. It is nil if the choice is itself
	// stable or no endpoint of that version is known.
	Stable *Choice
}

// Plan divides the calls of one service over its versions. It is immutable.
type Plan struct {
	shares []planShare
	// before is the version that held the traffic last, for use while no
	// endpoint of its successor is known.
	before string
}

type planShare struct {
	upTo   int // basis points, cumulative
	choice *Choice
}

// Input is what a plan is built from.
type Input struct {
	Split *revision.Split
	Index *Index
	// Tripped is set when the running move's version is no longer to be chosen.
	Tripped bool
	// Previous is the plan that this one replaces; nil at first.
	Previous *Plan
}

// NewPlan builds the plan of a service.
func NewPlan(input Input) *Plan {
	plan := &Plan{before: input.Previous.holder()}
	stable := input.stable(plan.before)
	upTo := 0
	for _, share := range input.Split.Shares {
		if share.Weight <= 0 {
			continue
		}
		upTo += share.Weight
		plan.shares = append(plan.shares, planShare{upTo, input.choice(share.Version, stable)})
	}
	if main := input.mainVersion(); input.group(main).Size() > 0 {
		plan.before = main
	}
	return plan
}

// holder returns the version that falls in for one without endpoints.
func (p *Plan) holder() string {
	if p == nil {
		return ""
	}
	return p.before
}

// stable returns the version that takes the calls of versions that cannot.
func (i *Input) stable(before string) *Choice {
	version := before
	if i.Split.Rollout != nil {
		version = i.Split.Rollout.From
	}
	group := i.named(version)
	if group.Size() == 0 {
		return nil
	}
	return &Choice{Version: version, Group: group}
}

// choice resolves a share: make before break, a version without endpoints and
// a tripped one leave their calls to the stable version.
func (i *Input) choice(version string, stable *Choice) *Choice {
	if i.moving(version) && i.Tripped {
		return stable
	}
	group := i.group(version)
	if group.Size() == 0 {
		return i.substitute(version, stable)
	}
	choice := &Choice{Version: version, Group: group}
	if i.moving(version) {
		choice.Stable = stable
	}
	return choice
}

// substitute never lets the moving version take the calls of the stable one.
func (i *Input) substitute(version string, stable *Choice) *Choice {
	if stable == nil || stable.Version == version {
		return nil
	}
	return stable
}

// group returns the endpoints that may receive the version's calls.
func (i *Input) group(version string) *Group {
	group := i.named(version)
	if group == nil || !i.moving(version) || i.Split.Rollout.Hosts <= 0 {
		return group
	}
	if group.Size() <= i.Split.Rollout.Hosts {
		return group
	}
	key := VersionKey{i.Split.Service, version}
	return newGroup(chosen(group.Endpoints(), key, i.Split.Rollout.Ticket, i.Split.Rollout.Hosts), i.Index.self)
}

// named returns the endpoints of a version as the split names it.
func (i *Input) named(version string) *Group {
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
	return i.Index.Except(i.Split.Service, except)
}

func (i *Input) moving(version string) bool {
	return i.Split.Rollout != nil && i.Split.Rollout.To == version
}

// mainVersion returns the version that is known to be good: the one that a
// move starts from, else the one with the largest share.
func (i *Input) mainVersion() string {
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

// Choose draws a version by share. It returns nil if the drawn version and
// its substitute have no known endpoint.
func (p *Plan) Choose(random Source) *Choice {
	if len(p.shares) == 0 {
		return nil
	}
	point := Draw(random, p.shares[len(p.shares)-1].upTo)
	for _, share := range p.shares {
		if point < share.upTo {
			return share.choice
		}
	}
	return nil
}
