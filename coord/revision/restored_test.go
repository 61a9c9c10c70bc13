package revision

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRevisionGivenOutAgainReplacesTheLostOne(t *testing.T) {
	is := is.New(t)
	backing, log, state, changes := newTestLog(t, 1)
	copied := backing.Copy()
	_, lost, err := log.Append(context.Background(), state, "lost", putResources(8, counterSplit(300)))
	is.NoErr(err)
	replica := NewReplica("a", time.Second)
	for _, change := range append(changes, lost...) {
		is.NoErr(replica.Stage(change, nil, time.Now()))
	}
	replica.ApplyThrough(replica.Latest().Revision())
	backing.Restore(copied)
	next, again, err := log.Append(context.Background(), state, "again", putResources(9, counterSplit(700)))
	is.NoErr(err)
	for _, change := range again {
		is.NoErr(replica.Stage(change, nil, time.Now()))
	}
	is.Equal(replica.Latest().Hash(), next.Hash())
}
