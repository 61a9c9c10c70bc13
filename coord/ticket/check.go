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

// namePattern matches valid names of services, versions and routes.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

const nameRule = "1 to 64 lower-case letters, digits, '.', '_' or '-', starting and ending with a letter or digit"

// Hash returns the SHA-256 hash of the ticket's JSON encoding, in hexadecimal.
func (t *Ticket) Hash() (string, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Check returns every fault of the ticket that can be found without the state.
func (t *Ticket) Check() []error {
	var problems []error
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf(format, args...))
	}
	if t.Number == 0 {
		report("number: must be 1 or more")
	}
	if t.isEmpty() {
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
	for i, tenant := range t.Tenants {
		checkName(report, fmt.Sprintf("tenants[%d].name", i), tenant.Name)
	}
	for i, split := range t.Splits {
		if split.Rollout != nil {
			report("splits[%d].move: not allowed here; request a rollout under \"moves\"", i)
		}
	}
	for i, evacuation := range t.Evacuations {
		if evacuation.Zone == "" {
			report("evacuations[%d].zone: is empty", i)
		}
	}
	t.checkRollouts(report)
	t.checkDuplicates(report)
	return problems
}

func (t *Ticket) isEmpty() bool {
	return len(t.Services)+len(t.Versions)+len(t.Routes)+len(t.Tenants)+len(t.Splits)+len(t.Rollouts)+len(t.Evacuations)+len(t.Delete) == 0
}

func checkName(report func(string, ...any), at, name string) {
	if !namePattern.MatchString(name) {
		report("%s: %q is not a valid name (%s)", at, name, nameRule)
	}
}

func (t *Ticket) checkRollouts(report func(string, ...any)) {
	for i, rollout := range t.Rollouts {
		if rollout.Share < 0 || rollout.Share > revision.FullShare {
			report("moves[%d].share: %d is outside 0 to %d", i, rollout.Share, revision.FullShare)
		}
		switch {
		case rollout.Within < 0:
			report("moves[%d].within: the duration is negative", i)
		case rollout.By.IsZero() && rollout.Within == 0:
			report("moves[%d].by: a deadline is required, here or in \"within\"", i)
		case !rollout.By.IsZero() && rollout.Within > 0:
			report("moves[%d].within: the deadline is already given by \"by\"", i)
		}
		if rollout.To == "" {
			report("moves[%d].to: a version is required", i)
		}
	}
}

// checkDuplicates reports resources that the ticket names more than once.
func (t *Ticket) checkDuplicates(report func(string, ...any)) {
	named := make(map[revision.Ref]bool)
	checkOnce := func(ref revision.Ref) {
		if named[ref] {
			report("%s: named more than once", ref)
		}
		named[ref] = true
	}
	for _, resource := range t.resources() {
		checkOnce(resource.Ref())
	}
	for _, rollout := range t.Rollouts {
		checkOnce(revision.Ref{Kind: revision.KindSplit, Name: rollout.Service})
	}
	for _, ref := range t.Delete {
		checkOnce(ref)
	}
}

// resources returns the resources that the ticket puts, in the order of the fields.
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
	for i := range t.Tenants {
		resources = append(resources, revision.Resource{Tenant: &t.Tenants[i]})
	}
	for i := range t.Splits {
		resources = append(resources, revision.Resource{Split: &t.Splits[i]})
	}
	for i := range t.Evacuations {
		resources = append(resources, revision.Resource{Evacuation: &t.Evacuations[i]})
	}
	return resources
}

// RefusedError lists every reason why a ticket is refused.
type RefusedError struct {
	Number  uint64
	Reasons []error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("ticket %d is refused: %v", e.Number, errors.Join(e.Reasons...))
}

// Strings returns the texts of the reasons.
func (e *RefusedError) Strings() []string {
	texts := make([]string, 0, len(e.Reasons))
	for _, reason := range e.Reasons {
		texts = append(texts, reason.Error())
	}
	return texts
}
