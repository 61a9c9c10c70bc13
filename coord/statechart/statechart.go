// Package statechart interprets state charts that are defined in JSON files next to the package
// that uses them. The file names states, events, guards and actions; the package binds the names
// of guards and actions to Go functions. Transitions are executed by
// github.com/qmuntal/stateless.
package statechart

import (
	"context"
	"errors"
	"fmt"

	"github.com/qmuntal/stateless"
)

// Errors of this package.
var (
	// ErrInvalid means that a chart is not well formed or does not match its bindings.
	ErrInvalid = errors.New("statechart: invalid chart")
	// ErrUnknownState means that the chart has no such state.
	ErrUnknownState = errors.New("statechart: unknown state")
	// ErrUnknownEvent means that the state does not handle the event.
	ErrUnknownEvent = errors.New("statechart: event is not handled in this state")
)

// Bindings maps the names of guards and actions in a chart to functions. I is the type of the
// input that Fire passes to them.
type Bindings[I any] struct {
	Guards  map[string]func(I) bool
	Actions map[string]func(I)
}

// Chart is a validated chart with its bindings. It holds no current state and is safe for
// concurrent use if its guards and actions are.
type Chart[I any] struct {
	spec     spec
	bindings Bindings[I]
	machine  *stateless.StateMachine
}

// firing holds the state and input of one call of Fire. It is passed through the context.
type firing[I any] struct {
	state string
	input I
}

type firingKey struct{}

// Load parses and validates a chart; its errors wrap ErrInvalid. Every guard and action that the
// chart names must be bound and every binding must be named; every state must be reachable; a
// final state has no transitions and every other state has at least one.
func Load[I any](data []byte, bindings Bindings[I]) (*Chart[I], error) {
	parsed, err := parse(data)
	if err != nil {
		return nil, err
	}
	chart := &Chart[I]{spec: parsed, bindings: bindings}
	if err := chart.check(); err != nil {
		return nil, err
	}
	chart.build()
	return chart, nil
}

// Initial returns the initial state.
func (c *Chart[I]) Initial() string { return c.spec.Initial }

// HasState reports whether the chart has the state.
func (c *Chart[I]) HasState(state string) bool {
	_, ok := c.spec.States[state]
	return ok
}

// IsFinal reports whether the state is final; false for an unknown state.
func (c *Chart[I]) IsFinal(state string) bool { return c.spec.States[state].Final }

// Fire handles an event in a state and returns the next state. The first transition in the file
// whose guards all hold is taken and its actions run in order; if there is none, the state does
// not change. An unknown state gives ErrUnknownState, an event that the state does not handle
// ErrUnknownEvent.
func (c *Chart[I]) Fire(state, event string, input I) (string, error) {
	current, ok := c.spec.States[state]
	if !ok {
		return state, fmt.Errorf("%w: %q", ErrUnknownState, state)
	}
	if _, ok := current.On[event]; !ok {
		return state, fmt.Errorf("%w: %q in %q", ErrUnknownEvent, event, state)
	}
	f := &firing[I]{state: state, input: input}
	ctx := context.WithValue(context.Background(), firingKey{}, f)
	if err := c.machine.FireCtx(ctx, event); err != nil {
		return state, fmt.Errorf("statechart: fire %q in %q: %w", event, state, err)
	}
	return f.state, nil
}

// firingFrom returns the firing that a context carries.
func firingFrom[I any](ctx context.Context) *firing[I] {
	return ctx.Value(firingKey{}).(*firing[I])
}

// build configures the machine. The state is kept in the firing, so that one machine serves all
// instances.
func (c *Chart[I]) build() {
	c.machine = stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return firingFrom[I](ctx).state, nil },
		func(ctx context.Context, next stateless.State) error {
			firingFrom[I](ctx).state = next.(string)
			return nil
		},
		stateless.FiringImmediate,
	)
	c.machine.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error {
		return nil
	})
	for name, state := range c.spec.States {
		for event, transitions := range state.On {
			c.configure(name, event, transitions)
		}
	}
}

// configure adds the transitions of one event. Each gets a guard that excludes the others,
// because the machine rejects an event with two enabled transitions.
func (c *Chart[I]) configure(state, event string, transitions []transition) {
	for i, t := range transitions {
		guard := func(ctx context.Context, _ ...any) bool {
			return c.firstEnabled(transitions, firingFrom[I](ctx).input) == i
		}
		runActions := func(ctx context.Context, _ ...any) error {
			for _, name := range t.Do {
				c.bindings.Actions[name](firingFrom[I](ctx).input)
			}
			return nil
		}
		next := func(ctx context.Context, args ...any) (stateless.State, error) {
			return t.To, runActions(ctx, args...)
		}
		if t.To == state {
			c.machine.Configure(state).InternalTransition(event, runActions, guard)
			continue
		}
		c.machine.Configure(state).PermitDynamic(event, next, guard)
	}
}

// firstEnabled returns the index of the first transition whose guards all hold, or -1.
func (c *Chart[I]) firstEnabled(transitions []transition, input I) int {
	for i, t := range transitions {
		if c.allHold(t.If, input) {
			return i
		}
	}
	return -1
}

// allHold reports whether all guards hold for the input.
func (c *Chart[I]) allHold(conditions []string, input I) bool {
	for _, condition := range conditions {
		name, negated := parseGuard(condition)
		if c.bindings.Guards[name](input) == negated {
			return false
		}
	}
	return true
}
