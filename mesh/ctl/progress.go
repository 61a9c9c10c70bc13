package ctl

import (
	"fmt"
	"io"
	"time"

	"sassafrasnotch.example/coord/ticket"
)

// progress prints a line for each thing that changed since the last look.
type progress struct {
	out         io.Writer
	lastLines   map[string]string
	unreachable bool
}

// printIfChanged prints a line about a subject, unless it said the same before.
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

// updateReachability notes whether a daemon could be reached.
func (p *progress) updateReachability(err error) {
	if err != nil && !p.unreachable {
		fmt.Fprintf(p.out, "can't be reached, trying on: %v\n", err)
	}
	if err == nil && p.unreachable {
		fmt.Fprintln(p.out, "reached again")
	}
	p.unreachable = err != nil
}

func (p *progress) printTicket(status ticket.Status) {
	p.printIfChanged("state", fmt.Sprintf("ticket %d is %s at revision %d", status.Number, status.State, status.Revision))
	for _, move := range status.Rollouts {
		p.printIfChanged("move/"+move.Service, rolloutLine(move))
	}
	for _, r := range status.Rejections {
		p.printIfChanged("rejection/"+r.Host, fmt.Sprintf("host %s could not apply it: %s from %s: %s", r.Host, r.Step, r.Peer, r.Reason))
	}
}

func rolloutLine(move ticket.RolloutStatus) string {
	line := fmt.Sprintf("%s: %s to %s: %s, step %s, share %s, due %s",
		move.Service, move.From, move.To, move.Verdict, move.Step, percent(move.Share), move.By.Format(time.RFC3339))
	if move.Reason != "" {
		line += ": " + move.Reason
	}
	return line
}

func (p *progress) printHosts(reached, living int) {
	p.printIfChanged("hosts", fmt.Sprintf("in force on %d of %d hosts", reached, living))
}
