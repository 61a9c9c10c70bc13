package ctl

import (
	"cmp"
	"slices"

	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
)

// targetReady is the state of a target that takes its full share of work.
const targetReady = "ready"

// overview is the system as all daemons that answered see it.
type overview struct {
	// QueriedHost is the daemon that named the members.
	QueriedHost string `json:"asked"`
	// LatestRevision is the newest revision that any daemon knows to exist.
	LatestRevision uint64           `json:"head"`
	Zones          []zoneOverview   `json:"zones"`
	Daemons        []daemonOverview `json:"daemons"`
	// Targets are counted by the daemon on their host; those of hosts that did
	// not answer are as the asked daemon knows them.
	Targets  []admin.TargetStatus `json:"targets"`
	Rollouts []rolloutOverview    `json:"moves"`
}

// zoneOverview sums up an availability zone. Newest and Lowest are the revisions in
// force on the daemons that answered; without any they are nil.
type zoneOverview struct {
	Zone   string         `json:"zone"`
	Status map[string]int `json:"status"` // daemons by status
	// Answered is the number of daemons that were reached.
	Answered      int     `json:"answered"`
	NewestApplied *uint64 `json:"newest"`
	OldestApplied *uint64 `json:"lowest"`
	// Lag is the number of revisions that Lowest is behind the head.
	Lag *uint64 `json:"lag"`
}

// daemonOverview is one daemon: as a member, and as it sees itself if it answered.
type daemonOverview struct {
	admin.MemberStatus
	OwnStatus *admin.Status `json:"own"`
}

// rolloutOverview is a running move with the hosts that hold its lease.
type rolloutOverview struct {
	ticket.RolloutStatus
	Holders []string `json:"holders"`
}

// newOverview combines the view of the asked daemon with the daemons' own; own is
// parallel to the members.
func newOverview(asked admin.Status, own []*admin.Status) overview {
	o := overview{QueriedHost: asked.Host}
	latest := &asked
	answered := map[string]bool{asked.Host: true}
	for i, m := range membersIncluding(&asked) {
		d := daemonOverview{MemberStatus: m}
		switch {
		case m.Host == asked.Host:
			d.OwnStatus = &asked
		case i < len(own):
			d.OwnStatus = own[i]
		}
		if d.OwnStatus != nil {
			answered[m.Host] = true
			o.LatestRevision = max(o.LatestRevision, d.OwnStatus.Head, d.OwnStatus.Applied)
			if d.OwnStatus.Applied > latest.Applied {
				latest = d.OwnStatus
			}
		}
		o.Daemons = append(o.Daemons, d)
	}
	o.collectZones()
	o.collectTargets(&asked, answered)
	o.collectRollouts(latest)
	return o
}

// membersIncluding returns the members, with the asked daemon among them.
func membersIncluding(asked *admin.Status) []admin.MemberStatus {
	isSelf := func(m admin.MemberStatus) bool { return m.Host == asked.Host }
	if slices.ContainsFunc(asked.Members, isSelf) {
		return asked.Members
	}
	self := admin.MemberStatus{Host: asked.Host, Zone: asked.Zone, Status: memberAlive, Revision: asked.Applied}
	return append(slices.Clone(asked.Members), self)
}

func (o *overview) collectZones() {
	for _, d := range o.Daemons {
		z := o.zone(d.Zone)
		z.Status[memberState(d.MemberStatus)]++
		if d.OwnStatus == nil {
			continue
		}
		z.Answered++
		applied := d.OwnStatus.Applied
		if z.NewestApplied == nil || applied > *z.NewestApplied {
			z.NewestApplied = &applied
		}
		if z.OldestApplied == nil || applied < *z.OldestApplied {
			lag := o.LatestRevision - applied
			z.OldestApplied, z.Lag = &applied, &lag
		}
	}
}

// zone returns the sums of a zone, which it adds in order of the names.
func (o *overview) zone(name string) *zoneOverview {
	i, found := slices.BinarySearchFunc(o.Zones, name, func(z zoneOverview, name string) int {
		return cmp.Compare(z.Zone, name)
	})
	if !found {
		o.Zones = slices.Insert(o.Zones, i, zoneOverview{Zone: name, Status: make(map[string]int)})
	}
	return &o.Zones[i]
}

func (o *overview) collectTargets(asked *admin.Status, answered map[string]bool) {
	for _, d := range o.Daemons {
		source := asked
		if answered[d.Host] {
			source = d.OwnStatus
		}
		for _, target := range source.Targets {
			if target.Host == d.Host {
				o.Targets = append(o.Targets, target)
			}
		}
	}
}

// collectRollouts takes the moves from the newest configuration and their holders
// from every daemon that answered.
func (o *overview) collectRollouts(latest *admin.Status) {
	for _, m := range latest.Moves {
		view := rolloutOverview{RolloutStatus: m}
		for _, d := range o.Daemons {
			if d.OwnStatus == nil {
				continue
			}
			if holder, ok := d.OwnStatus.Controllers[m.Service]; ok && !slices.Contains(view.Holders, holder) {
				view.Holders = append(view.Holders, holder)
			}
		}
		o.Rollouts = append(o.Rollouts, view)
	}
}
