package ctl

import (
	"cmp"
	"slices"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
)

// targetReady is the state of a target that receives its full share of requests.
const targetReady = "ready"

// overview combines the statuses of all daemons that responded.
type overview struct {
	// QueriedHost is the host of the daemon that reported the member list.
	QueriedHost string `json:"asked"`
	// LatestRevision is the newest revision that any daemon reported.
	LatestRevision uint64           `json:"head"`
	Zones          []zoneOverview   `json:"zones"`
	Daemons        []daemonOverview `json:"daemons"`
	// Targets are as the daemon on their host reported them; those of hosts that did not
	// respond are as the queried daemon reported them.
	Targets  []admin.TargetStatus `json:"targets"`
	Rollouts []rolloutOverview    `json:"moves"`
}

// zoneOverview summarizes an availability zone. NewestApplied and OldestApplied are the revisions
// in force on the daemons that responded; without any they are nil.
type zoneOverview struct {
	Zone   string         `json:"zone"`
	Status map[string]int `json:"status"` // daemons by status
	// Answered is the number of daemons that responded.
	Answered      int     `json:"answered"`
	NewestApplied *uint64 `json:"newest"`
	OldestApplied *uint64 `json:"lowest"`
	// Lag is the number of revisions that OldestApplied is behind the latest revision.
	Lag *uint64 `json:"lag"`
}

// daemonOverview is one daemon: its entry in the member list, and its own status if it responded.
type daemonOverview struct {
	admin.MemberStatus
	OwnStatus *admin.Status `json:"own"`
}

// rolloutOverview is a running rollout with the hosts that hold its lease.
type rolloutOverview struct {
	ticket.RolloutStatus
	Holders []string `json:"holders"`
}

// newOverview combines the status of the queried daemon with the statuses of the members, which
// are parallel to queried.Members and nil where a member did not respond.
func newOverview(queried admin.Status, statuses []*admin.Status) overview {
	o := overview{QueriedHost: queried.Host}
	latest := &queried
	responded := map[string]bool{queried.Host: true}
	for i, m := range membersIncluding(&queried) {
		d := daemonOverview{MemberStatus: m}
		switch {
		case m.Host == queried.Host:
			d.OwnStatus = &queried
		case i < len(statuses):
			d.OwnStatus = statuses[i]
		}
		if d.OwnStatus != nil {
			responded[m.Host] = true
			o.LatestRevision = max(o.LatestRevision, d.OwnStatus.LatestRevision, d.OwnStatus.Applied)
			if d.OwnStatus.Applied > latest.Applied {
				latest = d.OwnStatus
			}
		}
		o.Daemons = append(o.Daemons, d)
	}
	o.collectZones()
	o.collectTargets(&queried, responded)
	o.collectRollouts(latest)
	return o
}

// membersIncluding returns the member list, with the queried daemon added if it is absent.
func membersIncluding(queried *admin.Status) []admin.MemberStatus {
	isSelf := func(m admin.MemberStatus) bool { return m.Host == queried.Host }
	if slices.ContainsFunc(queried.Members, isSelf) {
		return queried.Members
	}
	self := admin.MemberStatus{Host: queried.Host, Zone: queried.Zone, Status: memberAlive, Revision: queried.Applied}
	return append(slices.Clone(queried.Members), self)
}

// collectZones fills Zones from Daemons.
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
			lag := store.Position(applied).Behind(store.Position(o.LatestRevision))
			z.OldestApplied, z.Lag = &applied, &lag
		}
	}
}

// zone returns the overview of a zone; a new one is inserted in order of the names.
func (o *overview) zone(name string) *zoneOverview {
	i, found := slices.BinarySearchFunc(o.Zones, name, func(z zoneOverview, name string) int {
		return cmp.Compare(z.Zone, name)
	})
	if !found {
		o.Zones = slices.Insert(o.Zones, i, zoneOverview{Zone: name, Status: make(map[string]int)})
	}
	return &o.Zones[i]
}

// collectTargets takes the targets of each host from the daemon there, or from the queried one.
func (o *overview) collectTargets(queried *admin.Status, responded map[string]bool) {
	for _, d := range o.Daemons {
		source := queried
		if responded[d.Host] {
			source = d.OwnStatus
		}
		for _, target := range source.Targets {
			if target.Host == d.Host {
				o.Targets = append(o.Targets, target)
			}
		}
	}
}

// collectRollouts takes the rollouts from the newest applied configuration and their lease holders
// from every daemon that responded.
func (o *overview) collectRollouts(latest *admin.Status) {
	for _, m := range latest.Rollouts {
		r := rolloutOverview{RolloutStatus: m}
		for _, d := range o.Daemons {
			if d.OwnStatus == nil {
				continue
			}
			if holder, ok := d.OwnStatus.Controllers[m.Service]; ok && !slices.Contains(r.Holders, holder) {
				r.Holders = append(r.Holders, holder)
			}
		}
		o.Rollouts = append(o.Rollouts, r)
	}
}
