package controller

import (
	"slices"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
)

// reportHosts is the number of hosts, beside the one that decided the last step,
// that a move's outcome reports go to.
const reportHosts = 2

// Hosts returns the hosts that outcome reports of a move go to and that contend
// for its lease: the one that decided the last step, which keeps the move when
// hosts join that rank before it, and the first in rendezvous order. Hosts that
// leave or are dead are passed over.
func (c *Controller) Hosts(m Move) []string {
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
