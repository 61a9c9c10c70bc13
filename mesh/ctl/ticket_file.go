package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/jsonc"
)

// standardInput is the file name for the standard input.
const standardInput = "-"

// ticketFile is a ticket with the text and the document it was parsed from.
type ticketFile struct {
	name     string
	data     []byte
	document *jsonc.Document
	ticket   ticket.Ticket
}

// readTicket reads a ticket and checks everything about it that does not depend on the current
// state of the system.
func readTicket(env *Env, name string) (*ticketFile, error) {
	data, err := readInput(env, name)
	if err != nil {
		return nil, err
	}
	return parseTicket(name, data)
}

// readInput reads a file or the standard input.
func readInput(env *Env, name string) ([]byte, error) {
	source, err := openInput(env, name)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(source)
	return data, errors.Join(err, source.Close())
}

// openInput opens a file, or the standard input.
func openInput(env *Env, name string) (io.ReadCloser, error) {
	if name == standardInput {
		return io.NopCloser(env.Stdin), nil
	}
	return os.Open(name)
}

// parseTicket parses and checks the text of a ticket; its errors name the file and the lines.
func parseTicket(name string, data []byte) (*ticketFile, error) {
	document, err := jsonc.Parse(data)
	if err != nil {
		return nil, jsonc.WithFile(name, err)
	}
	file := &ticketFile{name: name, data: data, document: document}
	if err := document.Decode(&file.ticket); err != nil {
		return nil, jsonc.WithFile(name, err)
	}
	if faults := append(file.ticket.Check(), revision.CheckTenants(file.ticket.Tenants)...); len(faults) > 0 {
		return nil, file.problems(faults)
	}
	return file, nil
}

// problems returns the faults of the ticket as one error with their line numbers.
func (f *ticketFile) problems(faults []error) error {
	problems := make([]jsonc.Problem, 0, len(faults))
	for _, fault := range faults {
		location, message, _ := strings.Cut(fault.Error(), ": ")
		problems = append(problems, jsonc.Problem{Line: f.document.Line(f.pathOf(location)), Path: location, Message: message})
	}
	jsonc.SortByLine(problems)
	return &jsonc.Error{File: f.name, Problems: problems}
}

// checkDeadlines returns an error for the rollouts whose deadline has passed. It is no part of
// readTicket, because a ticket that was accepted in time may still be submitted again.
func (f *ticketFile) checkDeadlines(now time.Time) error {
	var faults []error
	for i, rollout := range f.ticket.Rollouts {
		if !rollout.By.IsZero() && !rollout.By.After(now) {
			faults = append(faults, fmt.Errorf("moves[%d].by: the deadline %s has passed", i, rollout.By.Format(time.RFC3339)))
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return f.problems(faults)
}

// addLocations adds file and line to the reasons that name a part of the ticket.
func (f *ticketFile) addLocations(reasons []string) {
	for i, reason := range reasons {
		location, _, found := strings.Cut(reason, ": ")
		path := f.pathOf(location)
		if found && path != "" {
			reasons[i] = fmt.Sprintf("%s:%d: %s", f.name, f.document.Line(path), reason)
		}
	}
}

// pathOf returns the path of a location, which is a path itself or the name of a resource. It
// returns "" for anything else.
func (f *ticketFile) pathOf(location string) string {
	if path, ok := f.resourcePaths()[location]; ok {
		return path
	}
	if f.document.HasField(location) || f.document.HasField(jsonc.ParentPath(location)) {
		return location
	}
	return ""
}

// resourcePaths maps the name of each resource in the ticket to its path.
func (f *ticketFile) resourcePaths() map[string]string {
	paths := make(map[string]string)
	add := func(r revision.Resource, list string, i int) {
		paths[r.Ref().String()] = fmt.Sprintf("%s[%d]", list, i)
	}
	t := &f.ticket
	for i, ref := range t.Delete {
		paths[ref.String()] = fmt.Sprintf("delete[%d]", i)
	}
	for i := range t.Services {
		add(revision.Resource{Service: &t.Services[i]}, "services", i)
	}
	for i := range t.Versions {
		add(revision.Resource{Version: &t.Versions[i]}, "versions", i)
	}
	for i := range t.Routes {
		add(revision.Resource{Route: &t.Routes[i]}, "routes", i)
	}
	for i := range t.Tenants {
		add(revision.Resource{Tenant: &t.Tenants[i]}, "tenants", i)
	}
	for i := range t.Rollouts {
		add(revision.Resource{Split: &revision.Split{Service: t.Rollouts[i].Service}}, "moves", i)
	}
	for i := range t.Evacuations {
		add(revision.Resource{Evacuation: &t.Evacuations[i]}, "evacuations", i)
	}
	for i := range t.Splits {
		add(revision.Resource{Split: &t.Splits[i]}, "splits", i)
	}
	return paths
}
