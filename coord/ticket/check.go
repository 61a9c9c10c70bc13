package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"

	"sassafrasnotch.example/coord/revision"
)

// namePattern is what names of services, versions and routes look like.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

const nameRule = "1 to 64 lower-case letters, digits, '.', '_' or '-', starting and ending with a letter or digit"

// Hash returns the content hash of the ticket.
func (t *Ticket) Hash() (string, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Check returns every fault that the ticket has by itself, whatever the state.
func (t *Ticket) Check() []error {
	var problems []error
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf(format, args...))
	}
	if t.Number == 0 {
		report("number: must be 1 or more")
	}
	if t.empty() {
		report("ticket: changes nothing")
	}
	for i, service := range t.Services {
		checkName(report, fmt.Sprintf("services[%d].name", i), service.Name)
	}
	for i, version := range t.Versions {
		checkName(report, fmt.Sprintf("versions[%d].service", i), version.Service)
		checkName(report, fmt.Sprintf("versions[%d].name", i), version.Name)
	}
	for i, route := range t.Routes {
		checkName(report, fmt.Sprintf("routes[%d].name", i), route.Name)
	}
	for i, split := range t.Splits {
		if split.Rollout != nil {
			report("splits[%d].move: a move is asked for under \"moves\"", i)
		}
	}
	t.checkMoves(report)
	t.checkTwice(report)
	return problems
}

func (t *Ticket) empty() bool {
	return len(t.Services)+len(t.Versions)+len(t.Routes)+len(t.Splits)+len(t.Rollouts)+len(t.Delete) == 0
}

func checkName(report func(string, ...any), at, name string) {
	if !namePattern.MatchString(name) {
		report("%s: %q is not a name (%s)", at, name, nameRule)
	}
}

func (t *Ticket) checkMoves(report func(string, ...any)) {
	for i, move := range t.Rollouts {
		if move.Share < 0 || move.Share > revision.FullShare {
			report("moves[%d].share: %d is outside 0 to %d", i, move.Share, revision.FullShare)
		}
		switch {
		case move.Within < 0:
			report("moves[%d].within: is negative", i)
		case move.By.IsZero() && move.Within == 0:
			report("moves[%d].by: a deadline is required, here or under \"within\"", i)
		case !move.By.IsZero() && move.Within > 0:
			report("moves[%d].within: the deadline is given by \"by\" already", i)
		}
		if move.To == "" {
			report("moves[%d].to: a version is required", i)
		}
	}
}

// checkTwice reports resources that the ticket names more than once.
func (t *Ticket) checkTwice(report func(string, ...any)) {
	seen := make(map[revision.Ref]bool)
	once := func(ref revision.Ref) {
		if seen[ref] {
			report("%s: named more than once", ref)
		}
		seen[ref] = true
	}
	for _, resource := range t.resources() {
		once(resource.Ref())
	}
	for _, move := range t.Rollouts {
		once(revision.Ref{Kind: revision.KindSplit, Name: move.Service})
	}
	for _, ref := range t.Delete {
		once(ref)
	}
}

// resources returns what the ticket puts, in the order of the fields.
func (t *Ticket) resources() []revision.Resource {
	var resources []revision.Resource
	for i := range t.Services {
		resources = append(resources, revision.Resource{Service: &t.Services[i]})
	}
	for i := range t.Versions {
		resources = append(resources, revision.Resource{Version: &t.Versions[i]})
	}
	for i := range t.Routes {
		resources = append(resources, revision.Resource{Route: &t.Routes[i]})
	}
	for i := range t.Splits {
		resources = append(resources, revision.Resource{Split: &t.Splits[i]})
	}
	return resources
}

// RefusedError lists every reason for which a ticket was refused.
type RefusedError struct {
	Number  uint64
	Reasons []error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("ticket %d is refused: %v", e.Number, errors.Join(e.Reasons...))
}

// Strings returns the reasons as text.
func (e *RefusedError) Strings() []string {
	texts := make([]string, 0, len(e.Reasons))
	for _, reason := range e.Reasons {
		texts = append(texts, reason.Error())
	}
	return texts
}
