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
	// Asked is the daemon that named the members.
	Asked string `json:"asked"`
	// Head is the newest revision that any daemon knows to exist.
	Head    uint64       `json:"head"`
	Zones   []zoneView   `json:"zones"`
	Daemons []daemonView `json:"daemons"`
	// Targets are counted by the daemon on their host; those of hosts that did
	// not answer are as the asked daemon knows them.
	Targets []admin.TargetStatus `json:"targets"`
	Moves   []moveView           `json:"moves"`
}

// zoneView sums up an availability zone. Newest and Lowest are the revisions in
// force on the daemons that answered; without any they are nil.
type zoneView struct {
	Zone   string         `json:"zone"`
	Status map[string]int `json:"status"` // daemons by status
	// Answered is the number of daemons that were reached.
	Answered int     `json:"answered"`
	Newest   *uint64 `json:"newest"`
	Lowest   *uint64 `json:"lowest"`
	// Lag is the number of revisions that Lowest is behind the head.
	Lag *uint64 `json:"lag"`
}

// daemonView is one daemon: as a member, and as it sees itself if it answered.
type daemonView struct {
	admin.MemberStatus
	Own *admin.Status `json:"own"`
}

// moveView is a running move with the hosts that hold its lease.
type moveView struct {
	ticket.RolloutStatus
	Holders []string `json:"holders"`
}

// newOverview combines the view of the asked daemon with the daemons' own; own is
// parallel to the members.
func newOverview(asked admin.Status, own []*admin.Status) overview {
	o := overview{Asked: asked.Host}
	latest := &asked
	answered := map[string]bool{asked.Host: true}
	for i, m := range withSelf(&asked) {
		d := daemonView{MemberStatus: m}
		switch {
		case m.Host == asked.Host:
			d.Own = &asked
		case i < len(own):
			d.Own = own[i]
		}
		if d.Own != nil {
			answered[m.Host] = true
			o.Head = max(o.Head, d.Own.LatestRevision, d.Own.Applied)
			if d.Own.Applied > latest.Applied {
				latest = d.Own
			}
		}
		o.Daemons = append(o.Daemons, d)
	}
	o.sumZones()
	o.collectTargets(&asked, answered)
	o.collectMoves(latest)
	return o
}

// withSelf returns the members, with the asked daemon among them.
func withSelf(asked *admin.Status) []admin.MemberStatus {
	isSelf := func(m admin.MemberStatus) bool { return m.Host == asked.Host }
	if slices.ContainsFunc(asked.Members, isSelf) {
		return asked.Members
	}
	self := admin.MemberStatus{Host: asked.Host, Zone: asked.Zone, Status: memberAlive, Revision: asked.Applied}
	return append(slices.Clone(asked.Members), self)
}

func (o *overview) sumZones() {
	for _, d := range o.Daemons {
		z := o.zone(d.Zone)
		z.Status[memberState(d.MemberStatus)]++
		if d.Own == nil {
			continue
		}
		z.Answered++
		applied := d.Own.Applied
		if z.Newest == nil || applied > *z.Newest {
			z.Newest = &applied
		}
		if z.Lowest == nil || applied < *z.Lowest {
			lag := o.Head - applied
			z.Lowest, z.Lag = &applied, &lag
		}
	}
}

// zone returns the sums of a zone, which it adds in order of the names.
func (o *overview) zone(name string) *zoneView {
	i, found := slices.BinarySearchFunc(o.Zones, name, func(z zoneView, name string) int {
		return cmp.Compare(z.Zone, name)
	})
	if !found {
		o.Zones = slices.Insert(o.Zones, i, zoneView{Zone: name, Status: make(map[string]int)})
	}
	return &o.Zones[i]
}

func (o *overview) collectTargets(asked *admin.Status, answered map[string]bool) {
	for _, d := range o.Daemons {
		source := asked
		if answered[d.Host] {
			source = d.Own
		}
		for _, target := range source.Targets {
			if target.Host == d.Host {
				o.Targets = append(o.Targets, target)
			}
		}
	}
}

// collectMoves takes the moves from the newest configuration and their holders
// from every daemon that answered.
func (o *overview) collectMoves(latest *admin.Status) {
	for _, m := range latest.Rollouts {
		view := moveView{RolloutStatus: m}
		for _, d := range o.Daemons {
			if d.Own == nil {
				continue
			}
			if holder, ok := d.Own.Controllers[m.Service]; ok && !slices.Contains(view.Holders, holder) {
				view.Holders = append(view.Holders, holder)
			}
		}
		o.Moves = append(o.Moves, view)
	}
}
