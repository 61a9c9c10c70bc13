package ctl

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
)

// Guards against an order that is submitted again although it is in force, against a ticket with the number of
// another one, and against a refusal that looks like success.
func TestEvacuate(t *testing.T) {
	const status = "GET " + admin.PathStatus
	with := func(zones ...string) response {
		return response{200, admin.Status{Host: "h1", Zone: "a", Evacuated: zones}}
	}
	refusal := response{422, admin.Error{Step: "submit ticket", Message: "refused", Reasons: []string{"evacuations[0].zone: no known daemon is in zone \"x\""}}}
	ok := response{200, accepted}
	for _, c := range []struct {
		name     string
		args     []string
		statuses []response
		submit   response
		exit     int
		body     string // of the ticket, empty if none is submitted
		output   string
	}{
		{"order", []string{"a"}, []response{with(), with(), with("a")}, ok, 0, `{"number":18,"comment":"evacuation of a","evacuations":[{"zone":"a"}]}`, "zone a is evacuated on 1 daemons"},
		{"order twice", []string{"a"}, []response{with("a")}, ok, 0, "", "is evacuated already"},
		{"back", []string{"-undo", "a"}, []response{with("a"), with()}, ok, 0, `{"number":18,"comment":"end of the evacuation of a","delete":[{"kind":"evacuation","name":"a"}]}`, "zone a receives requests"},
		{"back twice", []string{"-undo", "a"}, []response{with()}, ok, 0, "", "receives requests already"},
		{"refused", []string{"x"}, []response{with()}, refusal, 2, `{"number":18,"comment":"evacuation of x","evacuations":[{"zone":"x"}]}`, "no known daemon is in zone"},
		{"no zone", nil, []response{with()}, ok, 2, "", "expected 1 arguments"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &daemon{responses: map[string][]response{
				status:                                   c.statuses,
				submitKey:                                {c.submit},
				"GET " + admin.PathTickets + "?after=0":  {{200, []ticket.Status{accepted}}},
				"GET " + admin.PathTickets + "?after=17": {{200, []ticket.Status{}}},
			}}
			got := run(t, "", append([]string{"evacuate", "-admin", d.serve(t)}, c.args...)...)
			is.Equal(int(got.exit), c.exit)
			is.True(strings.Contains(got.stdout+got.stderr, c.output))
			submitted := ""
			for i, path := range d.paths {
				if path == submitKey {
					submitted += d.bodies[i]
				}
			}
			is.Equal(submitted, c.body)
		})
	}
}
