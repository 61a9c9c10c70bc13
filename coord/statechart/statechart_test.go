package statechart

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

type door struct {
	locked bool
	log    []string
}

func doorBindings() Bindings[*door] {
	return Bindings[*door]{
		Guards:  map[string]func(*door) bool{"locked": func(d *door) bool { return d.locked }},
		Actions: map[string]func(*door){"note": func(d *door) { d.log = append(d.log, "note") }},
	}
}

const doorChart = `{
  "initial": "closed",
  "states": {
    "closed": {"on": {"push": [
      {"if": ["locked"], "to": "closed", "do": ["note"]},
      {"to": "open"}
    ], "break": [{"if": ["locked"], "to": "broken", "do": ["note"]}]}},
    "open": {"on": {"pull": [{"if": ["!locked"], "to": "closed"}]}},
    "broken": {"final": true}
  }
}`

func TestFire(t *testing.T) {
	cases := []struct {
		name, state, event, next string
		locked                   bool
		actions                  int
		err                      error
	}{
		{name: "first enabled transition", state: "closed", event: "push", next: "open"},
		{name: "internal transition runs its action", state: "closed", event: "push", locked: true, next: "closed", actions: 1},
		{name: "no guard holds", state: "closed", event: "break", next: "closed"},
		{name: "to a final state", state: "closed", event: "break", locked: true, next: "broken", actions: 1},
		{name: "negated guard", state: "open", event: "pull", next: "closed"},
		{name: "negated guard does not hold", state: "open", event: "pull", locked: true, next: "open"},
		{name: "unknown event", state: "open", event: "push", next: "open", err: ErrUnknownEvent},
		{name: "unknown state", state: "ajar", event: "push", next: "ajar", err: ErrUnknownState},
		{name: "final state", state: "broken", event: "push", next: "broken", err: ErrUnknownEvent},
	}
	chart, err := Load([]byte(doorChart), doorBindings())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &door{locked: c.locked}
			next, err := chart.Fire(c.state, c.event, d)
			is.True(errors.Is(err, c.err))
			is.Equal(next, c.next)
			is.Equal(len(d.log), c.actions)
		})
	}
}

func TestLoadRejects(t *testing.T) {
	cases := map[string]string{
		"not JSON":                     `{`,
		"unknown field":                `{"initial":"a","states":{"a":{"final":true,"colour":"red"}}}`,
		"no initial state":             `{"initial":"b","states":{"a":{"final":true}}}`,
		"no transitions":               `{"initial":"a","states":{"a":{}}}`,
		"final state with transitions": `{"initial":"a","states":{"a":{"final":true,"on":{"x":[{"to":"a"}]}}}}`,
		"unknown next state":           `{"initial":"a","states":{"a":{"on":{"x":[{"to":"b"}]}}}}`,
		"unbound guard":                `{"initial":"a","states":{"a":{"on":{"x":[{"to":"b","if":["y"]}]}},"b":{"final":true}}}`,
		"unbound action":               `{"initial":"a","states":{"a":{"on":{"x":[{"to":"b","do":["y"]}]}},"b":{"final":true}}}`,
		"unreachable state":            `{"initial":"a","states":{"a":{"on":{"x":[{"to":"b"}]}},"b":{"final":true},"c":{"final":true}}}`,
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Load([]byte(data), Bindings[*door]{})
			is.True(errors.Is(err, ErrInvalid))
		})
	}
	t.Run("unused binding", func(t *testing.T) {
		is := is.New(t)
		_, err := Load([]byte(`{"initial":"a","states":{"a":{"final":true}}}`), doorBindings())
		is.True(errors.Is(err, ErrInvalid))
	})
}
