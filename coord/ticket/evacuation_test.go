package ticket

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

// Guards against a ticket that evacuates a zone by a mistyped name, or all zones, and against an evacuation that
// can't be taken back.
func TestEvacuationTickets(t *testing.T) {
	evacuate := func(zones ...string) Ticket {
		order := Ticket{Number: 7}
		for _, zone := range zones {
			order.Evacuations = append(order.Evacuations, revision.Evacuation{Zone: zone})
		}
		return order
	}
	takeBack := Ticket{Number: 7, Delete: []revision.Ref{{Kind: revision.KindEvacuation, Name: "a"}}}
	replaced := evacuate("b", "c")
	replaced.Delete = takeBack.Delete
	for _, c := range []struct {
		name    string
		present []string // evacuated before
		order   Ticket
		problem string
		left    []string // evacuated behind
	}{
		{"one zone", nil, evacuate("a"), "", []string{"a"}},
		{"ordered twice", []string{"a"}, evacuate("a"), "", []string{"a"}},
		{"taken back", []string{"a"}, takeBack, "", nil},
		{"taken back twice", nil, takeBack, "does not exist", nil},
		{"another instead", []string{"a"}, replaced, "", []string{"b", "c"}},
		{"unknown zone", nil, evacuate("b", "d"), `evacuations[1].zone: no known daemon is in zone "d"`, nil},
		{"all zones", nil, evacuate("a", "b", "c"), "no zone would be left", nil},
		{"the last zones", []string{"a"}, evacuate("b", "c"), "no zone would be left", []string{"a"}},
		{"named twice", nil, evacuate("a", "a"), "named more than once", nil},
		{"no name", nil, evacuate(""), "evacuations[0].zone: is empty", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var resources []revision.Resource
			for _, zone := range c.present {
				resources = append(resources, revision.Resource{Evacuation: &revision.Evacuation{Zone: zone}})
			}
			state, err := revision.NewSnapshot(3, 2, resources)
			is.NoErr(err)
			decision, err := c.order.Decide(state, time.Unix(0, 0))
			var problems []string
			if err != nil {
				problems = append(problems, err.Error())
			}
			for _, problem := range c.order.CheckZones(state, []string{"a", "b", "c"}) {
				problems = append(problems, problem.Error())
			}
			if c.problem != "" {
				is.True(strings.Contains(strings.Join(problems, "\n"), c.problem))
				return
			}
			is.Equal(problems, nil)
			next, err := state.Preview(&revision.Change{Revision: 4, Ticket: 7, Put: decision.Put, Delete: decision.Delete})
			is.NoErr(err)
			is.Equal(next.EvacuatedZones(), c.left)
		})
	}
}
