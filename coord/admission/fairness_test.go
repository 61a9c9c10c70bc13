package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/admission"
)

// fairTarget is a target with one slot, which is taken, and requests of 100 ms.
type fairTarget struct {
	*admission.Target
	now   time.Time
	names map[uint64]string
	next  uint64
}

const fairWork = 100 * time.Millisecond

func newFairTarget(queue int) *fairTarget {
	f := &fairTarget{Target: newWarmTarget(1, queue), now: start, names: map[uint64]string{}}
	f.submit("first", admission.Request{})
	f.Complete("", fairWork, f.now)
	f.submit("first", admission.Request{})
	return f
}

// submit submits a request with a far deadline and returns the names of those that are refused for it.
func (f *fairTarget) submit(name string, r admission.Request) (refused []string) {
	f.next++
	r.ID = f.next
	f.names[r.ID] = name
	if r.Deadline.IsZero() {
		r.Deadline = f.now.Add(time.Hour)
	}
	action, shed := f.Submit(r, f.now)
	for _, a := range append(shed, action) {
		if a.Verdict == admission.Refuse {
			refused = append(refused, f.names[a.ID])
		}
	}
	return refused
}

// drain completes one request after the other and returns the names of those that ran.
func (f *fairTarget) drain(count int) (ran []string) {
	for range count {
		f.now = f.now.Add(fairWork)
		for _, action := range f.Complete("", fairWork, f.now) {
			if action.Verdict == admission.Run {
				ran = append(ran, f.names[action.ID])
			}
		}
	}
	return ran
}

// Guards against a queue in which a tenant that sends many requests delays those of others, and against
// shares that outrank priority or nested requests.
func TestOrderOfTheQueue(t *testing.T) {
	tests := []struct {
		name     string
		requests map[string][]admission.Request // by name, submitted in the order of names
		names    []string
		want     []string
	}{
		{
			name:  "tenants take turns",
			names: []string{"flood1", "flood2", "flood3", "other1", "other2"},
			requests: map[string][]admission.Request{
				"flood1": {{Tenant: "flood"}}, "flood2": {{Tenant: "flood"}}, "flood3": {{Tenant: "flood"}},
				"other1": {{Tenant: "other"}}, "other2": {{Tenant: "other"}},
			},
			want: []string{"flood1", "other1", "flood2", "other2", "flood3"},
		},
		{
			name:  "one flow without tenants",
			names: []string{"a", "b", "c"},
			requests: map[string][]admission.Request{
				"a": {{}}, "b": {{}}, "c": {{}},
			},
			want: []string{"a", "b", "c"},
		},
		{
			name:  "priority, then nested, then shares",
			names: []string{"a1", "a2", "a3", "b1", "a-nested", "b-high"},
			requests: map[string][]admission.Request{
				"a1": {{Tenant: "a"}}, "a2": {{Tenant: "a"}}, "a3": {{Tenant: "a"}}, "b1": {{Tenant: "b"}},
				"a-nested": {{Tenant: "a", Nested: true}}, "b-high": {{Tenant: "b", Priority: 1}},
			},
			want: []string{"b-high", "a-nested", "a1", "b1", "a2", "a3"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFairTarget(16)
			for _, name := range test.names {
				for _, r := range test.requests[name] {
					is.Equal(len(f.submit(name, r)), 0)
				}
			}
			is.Equal(f.drain(len(test.want)), test.want)
		})
	}
}

// Guards against a full queue of one tenant's requests that refuses those of the others, and against
// shedding that starts with a tenant that is within its share.
func TestFullQueueShedsTheTenantAheadOfItsShare(t *testing.T) {
	is := is.New(t)
	f := newFairTarget(4)
	is.Equal(len(f.submit("small1", admission.Request{Tenant: "small"})), 0)
	for i := range 3 {
		is.Equal(len(f.submit(fmt.Sprint("flood", i), admission.Request{Tenant: "flood"})), 0)
	}
	is.Equal(f.submit("flood3", admission.Request{Tenant: "flood"}), []string{"flood3"})
	is.Equal(f.submit("other1", admission.Request{Tenant: "other"}), []string{"flood2"})
	is.Equal(f.submit("flood4", admission.Request{Tenant: "flood", Nested: true}), []string{"flood1"})
	is.Equal(f.submit("low", admission.Request{Tenant: "new", Priority: -1}), []string{"low"})
	is.Equal(f.drain(4), []string{"flood4", "small1", "other1", "flood0"})
}

// Guards against shares that forget what a tenant got of free slots a moment ago, and against a claim that
// a tenant gains while it has nothing to run.
func TestSharesCountWorkOnFreeSlots(t *testing.T) {
	is := is.New(t)
	target := newWarmTarget(2, 16)
	names := map[uint64]string{}
	submit := func(id uint64, tenant string) admission.Verdict {
		names[id] = tenant
		action, _ := target.Submit(admission.Request{ID: id, Tenant: tenant, Deadline: at(time.Hour)}, start)
		return action.Verdict
	}
	submit(1, "busy")
	target.Complete("", fairWork, start) // gives an estimate
	is.Equal(submit(2, "busy"), admission.Run)
	is.Equal(submit(3, "busy"), admission.Run)
	is.Equal(submit(4, "busy"), admission.Wait)
	is.Equal(submit(5, "new"), admission.Wait)
	is.Equal(submit(6, "new"), admission.Wait)
	var ran []string
	for range 3 {
		for _, action := range target.Complete("", fairWork, start) {
			ran = append(ran, names[action.ID])
		}
	}
	is.Equal(ran, []string{"new", "busy", "new"})
}

// Guards against state that grows with the tenants that were ever seen.
func TestSharesOfManyTenantsAreBounded(t *testing.T) {
	target := newFairTarget(4)
	for i := range 100000 {
		target.submit("r", admission.Request{Tenant: fmt.Sprint(i)})
		target.drain(1)
	}
	if count := target.Flows(); count > 1024 {
		t.Fatalf("%d tenants kept", count)
	}
}
