package admission_test

import (
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/admission"
)

// Guards against a flow that takes a whole pool, so that one that comes later gets nothing, and against state
// that stays behind.
func TestShareLeavesRoomForOtherFlows(t *testing.T) {
	is := is.New(t)
	const size = 90
	var s admission.Share
	free := size
	fill := func(flow string) int {
		for s.Acquire(flow, free-1) {
			free--
		}
		return s.Held(flow)
	}
	is.Equal(fill("flood"), 60)  // two thirds
	is.Equal(fill("second"), 20) // two thirds of the rest
	is.Equal(fill("third"), 6)
	is.Equal(fill("flood"), 60)
	for s.Held("flood") > 0 {
		s.Release("flood")
		free++
	}
	is.True(fill("second") > 30)
	is.True(free > 0)
	s.Release("never held")
	is.Equal(s.Held("never held"), 0)
}
