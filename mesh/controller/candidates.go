package controller

import (
	"slices"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
)

// reportHosts is the number of hosts, besides the one that decided the last step, that receive
// the outcome reports of a rollout.
const reportHosts = 2

// CandidateHosts returns the hosts that receive the outcome reports of a rollout and contend for
// its lease, in order of precedence: the host that decided the last step, which keeps the rollout
// if hosts that rank before it join, and the first reportHosts hosts in rendezvous order. Leaving
// and dead hosts are left out.
func (c *Controller) CandidateHosts(m Rollout) []string {
	var hosts []string
	for _, member := range c.config.Members.Members() {
		if member.Status != gossip.Dead && !member.Leaving {
			hosts = append(hosts, member.Host)
		}
	}
	top := rendezvous.Top("move/"+m.Service, hosts, reportHosts)
	if slices.Contains(hosts, m.Controller) && !slices.Contains(top, m.Controller) {
		top = append([]string{m.Controller}, top...)
	}
	return top
}
