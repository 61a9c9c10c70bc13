package statechart

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// spec is a chart as written in its file.
type spec struct {
	Initial string           `json:"initial"`
	States  map[string]state `json:"states"`
}

// state is a state of a chart; On maps an event to its transitions in order of precedence.
type state struct {
	Note  string                  `json:"note,omitempty"`
	Final bool                    `json:"final,omitempty"`
	On    map[string][]transition `json:"on,omitempty"`
}

// transition leads to the state To if every guard of If holds, and runs the actions of Do in
// order. A guard with a leading "!" is negated.
type transition struct {
	To string   `json:"to"`
	If []string `json:"if,omitempty"`
	Do []string `json:"do,omitempty"`
}

// parse decodes a chart and rejects unknown fields.
func parse(data []byte) (spec, error) {
	var parsed spec
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&parsed); err != nil {
		return spec{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return parsed, nil
}

// parseGuard splits a guard as written in the file into its name and whether it is negated.
func parseGuard(condition string) (name string, negated bool) {
	return strings.CutPrefix(condition, "!")
}

// check validates the chart against its bindings.
func (c *Chart[I]) check() error {
	if _, ok := c.spec.States[c.spec.Initial]; !ok {
		return fmt.Errorf("%w: initial state %q does not exist", ErrInvalid, c.spec.Initial)
	}
	guards := make(map[string]bool)
	actions := make(map[string]bool)
	for _, name := range sortedKeys(c.spec.States) {
		if err := c.checkState(name, guards, actions); err != nil {
			return err
		}
	}
	if err := checkAllNamed("guard", c.bindings.Guards, guards); err != nil {
		return err
	}
	if err := checkAllNamed("action", c.bindings.Actions, actions); err != nil {
		return err
	}
	return c.checkReachable()
}

// checkState validates a state and records the guards and actions that it names.
func (c *Chart[I]) checkState(name string, guards, actions map[string]bool) error {
	current := c.spec.States[name]
	if current.Final && len(current.On) > 0 {
		return fmt.Errorf("%w: final state %q has transitions", ErrInvalid, name)
	}
	if !current.Final && len(current.On) == 0 {
		return fmt.Errorf("%w: state %q is not final and has no transitions", ErrInvalid, name)
	}
	for event, transitions := range current.On {
		for i, t := range transitions {
			if err := c.checkTransition(t, guards, actions); err != nil {
				return fmt.Errorf("%w: state %q, event %q, transition %d: %w", ErrInvalid, name, event, i, err)
			}
		}
	}
	return nil
}

// checkTransition validates a transition and records the guards and actions that it names.
func (c *Chart[I]) checkTransition(t transition, guards, actions map[string]bool) error {
	if _, ok := c.spec.States[t.To]; !ok {
		return fmt.Errorf("transition leads to state %q, which does not exist", t.To)
	}
	for _, condition := range t.If {
		name, _ := parseGuard(condition)
		if c.bindings.Guards[name] == nil {
			return fmt.Errorf("guard %q has no binding", name)
		}
		guards[name] = true
	}
	for _, name := range t.Do {
		if c.bindings.Actions[name] == nil {
			return fmt.Errorf("action %q has no binding", name)
		}
		actions[name] = true
	}
	return nil
}

// checkReachable returns an error if a state is not reachable from the initial state.
func (c *Chart[I]) checkReachable() error {
	reached := map[string]bool{c.spec.Initial: true}
	pending := []string{c.spec.Initial}
	for len(pending) > 0 {
		name := pending[0]
		pending = pending[1:]
		for _, transitions := range c.spec.States[name].On {
			for _, t := range transitions {
				if reached[t.To] {
					continue
				}
				reached[t.To] = true
				pending = append(pending, t.To)
			}
		}
	}
	for _, name := range sortedKeys(c.spec.States) {
		if !reached[name] {
			return fmt.Errorf("%w: state %q is not reachable", ErrInvalid, name)
		}
	}
	return nil
}

// checkAllNamed returns an error if the chart does not name a bound guard or action.
func checkAllNamed[F any](kind string, bound map[string]F, named map[string]bool) error {
	for _, name := range sortedKeys(bound) {
		if !named[name] {
			return fmt.Errorf("%w: %s %q is bound but not used in the chart", ErrInvalid, kind, name)
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
