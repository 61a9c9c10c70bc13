// Package statechart interprets state charts that are kept in JSON files next
// to the package that uses them. The file names states, events, guards and
// actions; the using package binds the names of guards and actions to Go
// functions. The transitions run on github.com/qmuntal/stateless.
package statechart

import (
	"context"
	"errors"
	"fmt"

	"github.com/qmuntal/stateless"
)

// Errors of this package.
var (
	// ErrInvalid means that a chart is not well formed.
	ErrInvalid = errors.New("statechart: invalid chart")
	// ErrUnknownState means that the chart has no such state.
	ErrUnknownState = errors.New("statechart: unknown state")
	// ErrUnknownEvent means that the state does not handle the event.
	ErrUnknownEvent = errors.New("statechart: event is not handled in this state")
)

// Bindings give meaning to the names of guards and actions in a chart. I is
// the input that Fire hands to them.
type Bindings[I any] struct {
	Guards  map[string]func(I) bool
	Actions map[string]func(I)
}

// Chart is a checked chart. It holds no current state and is safe for
// concurrent use if its guards and actions are.
type Chart[I any] struct {
	spec     spec
	bindings Bindings[I]
	machine  *stateless.StateMachine
}

// firing is the state and input of one Fire, carried in the context.
type firing[I any] struct {
	state string
	input I
}

type firingKey struct{}

// Load parses and checks a chart. Every guard and action that it names must be
// bound and every binding must be named; every state must be reachable; a final
// state has no transitions and every other state has at least one.
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

// Initial returns the state in which a new instance starts.
func (c *Chart[I]) Initial() string { return c.spec.Initial }

// HasState reports whether the chart has the state.
func (c *Chart[I]) HasState(state string) bool {
	_, ok := c.spec.States[state]
	return ok
}

// IsFinal reports whether the state is final.
func (c *Chart[I]) IsFinal(state string) bool { return c.spec.States[state].Final }

// Fire handles an event in a state and returns the state that follows. The
// first transition in the file whose guards all hold is taken and its actions
// run in order; if none holds the state stays.
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

func current[I any](ctx context.Context) *firing[I] {
	return ctx.Value(firingKey{}).(*firing[I])
}

// build configures the machine. The state lives in the firing, so that one
// machine serves every instance.
func (c *Chart[I]) build() {
	c.machine = stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return current[I](ctx).state, nil },
		func(ctx context.Context, next stateless.State) error {
			current[I](ctx).state = next.(string)
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

// configure adds the transitions of one event. Each becomes an exclusive
// choice, because the machine refuses an event with two open transitions.
func (c *Chart[I]) configure(state, event string, transitions []transition) {
	for i, t := range transitions {
		guard := func(ctx context.Context, _ ...any) bool {
			return c.choose(transitions, current[I](ctx).input) == i
		}
		run := func(ctx context.Context, _ ...any) error {
			for _, name := range t.Do {
				c.bindings.Actions[name](current[I](ctx).input)
			}
			return nil
		}
		next := func(ctx context.Context, args ...any) (stateless.State, error) {
			return t.To, run(ctx, args...)
		}
		if t.To == state {
			c.machine.Configure(state).InternalTransition(event, run, guard)
			continue
		}
		c.machine.Configure(state).PermitDynamic(event, next, guard)
	}
}

// choose returns the index of the first transition whose guards hold, or -1.
func (c *Chart[I]) choose(transitions []transition, input I) int {
	for i, t := range transitions {
		if c.holds(t.If, input) {
			return i
		}
	}
	return -1
}

func (c *Chart[I]) holds(conditions []string, input I) bool {
	for _, condition := range conditions {
		name, negated := splitCondition(condition)
		if c.bindings.Guards[name](input) == negated {
			return false
		}
	}
	return true
}
