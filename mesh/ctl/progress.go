package ctl

import (
	"fmt"
	"io"
	"time"

	"sassafrasnotch.example/coord/ticket"
)

// progress prints a line for each change since the previous poll.
type progress struct {
	out io.Writer
	// lastLines holds the line printed last for each subject.
	lastLines   map[string]string
	unreachable bool
}

// printIfChanged prints a line about a subject unless it equals the previous one.
func (p *progress) printIfChanged(subject, line string) {
	if p.lastLines == nil {
		p.lastLines = make(map[string]string)
	}
	if p.lastLines[subject] == line {
		return
	}
	p.lastLines[subject] = line
	fmt.Fprintln(p.out, line)
}

// updateReachability prints a line when requests start to fail with err and when they succeed
// again.
func (p *progress) updateReachability(err error) {
	if err != nil && !p.unreachable {
		fmt.Fprintf(p.out, "not reachable, retrying: %v\n", err)
	}
	if err == nil && p.unreachable {
		fmt.Fprintln(p.out, "reachable again")
	}
	p.unreachable = err != nil
}

// printTicket prints what changed in the status of a ticket.
func (p *progress) printTicket(status ticket.Status) {
	p.printIfChanged("state", fmt.Sprintf("ticket %d is %s at revision %d", status.Number, status.State, status.Revision))
	for _, rollout := range status.Rollouts {
		p.printIfChanged("move/"+rollout.Service, rolloutLine(rollout))
	}
	for _, r := range status.Rejections {
		p.printIfChanged("rejection/"+r.Host, fmt.Sprintf("host %s could not apply the revision: %s from %s: %s", r.Host, r.Step, r.Peer, r.Reason))
	}
}

func rolloutLine(r ticket.RolloutStatus) string {
	line := fmt.Sprintf("%s: %s to %s: %s, step %s, share %s, due %s",
		r.Service, r.From, r.To, r.Verdict, r.Step, percent(r.Share), r.By.Format(time.RFC3339))
	if r.Reason != "" {
		line += ": " + r.Reason
	}
	return line
}

// printHosts prints on how many of the hosts that are alive the revision is in force.
func (p *progress) printHosts(applied, alive int) {
	p.printIfChanged("hosts", fmt.Sprintf("in force on %d of %d hosts", applied, alive))
}
