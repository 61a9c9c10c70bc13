package admission_test

import (
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/admission"
)

// Guards against a slot that goes to a request whose response will be late while another one can still be
// in time, and against late requests that are not served although a slot is free.
func TestRequestsInTimeRunBeforeLateOnes(t *testing.T) {
	is := is.New(t)
	f := newFairTarget(16)
	soon := f.now.Add(3 * fairWork / 2)
	is.Equal(len(f.submit("late", admission.Request{SoftDeadline: soon})), 0)
	is.Equal(len(f.submit("in time", admission.Request{SoftDeadline: f.now.Add(10 * fairWork)})), 0)
	is.Equal(f.drain(2), []string{"in time", "late"})
}

// Guards against a queue that holds requests which have become late, beyond those that keep the slots busy,
// until their deadlines: their entries could offer them to other targets.
func TestQueueRefusesRequestsThatBecameLate(t *testing.T) {
	is := is.New(t)
	f := newFairTarget(16)
	f.SetSlots(4)
	for range 3 {
		f.submit("running", admission.Request{})
	}
	for range 3 {
		is.Equal(len(f.submit("waiting", admission.Request{SoftDeadline: f.now.Add(3 * fairWork)})), 0)
	}
	f.now = f.now.Add(5 * fairWork / 2) // no request has ended
	actions := f.Tick(f.now)
	is.Equal(len(actions), 2)
	for _, action := range actions {
		is.Equal(action.Verdict, admission.Refuse)
		is.Equal(action.Reason, admission.Overloaded)
	}
	is.Equal(f.Load(f.now).Queued, 1)
	is.Equal(f.drain(1), []string{"waiting"})
}
