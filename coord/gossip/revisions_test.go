package gossip

import (
	"testing"

	"github.com/matryer/is"
)

func TestRevisionsCompareByPart(t *testing.T) {
	for _, c := range []struct {
		name         string
		r, other     Revisions
		newer, older bool
	}{
		{"equal", Revisions{9, 7, 9}, Revisions{9, 7, 9}, false, false},
		{"one part", Revisions{Latest: 9}, Revisions{Latest: 8}, true, false},
		{"each newer in one part", Revisions{9, 7, 9}, Revisions{8, 8, 6}, true, true},
		{"newer rollouts behind a newer configuration", Revisions{9, 9, 7}, Revisions{9, 9, 6}, true, false},
		{"no rollout known there", Revisions{9, 7, 9}, Revisions{Latest: 8}, true, true},
		{"an older release states the latest revision only", Revisions{Latest: 9}, Revisions{9, 9, 3}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.r.NewerThan(c.other), c.newer)
			is.Equal(c.other.NewerThan(c.r), c.older)
		})
	}
}
