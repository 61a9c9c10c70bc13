package source

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// at returns the position of a version in an era.
func at(era, version uint64) store.Position {
	p, err := store.NewPosition(era, version)
	if err != nil {
		panic(err)
	}
	return p
}

// addedConfiguration is a configuration that a state gets, and the number that is in force then.
type addedConfiguration struct {
	position store.Position
	number   uint64
	replaces uint64
	after    time.Duration // since the one before
	inForce  uint64
}

func TestConfigurationsAcrossARestore(t *testing.T) {
	for _, c := range []struct {
		name  string
		added []addedConfiguration
	}{
		{"a new one gets the version of a lost one", []addedConfiguration{
			{position: at(1, 31), number: 12, inForce: 12},
			{position: at(2, 30), number: 12, inForce: 12},
			{position: at(2, 31), number: 15, inForce: 15},
		}},
		{"the copy has an older one until the lost one is written again", []addedConfiguration{
			{position: at(1, 31), number: 12, inForce: 12},
			{position: at(2, 20), number: 9, inForce: 12},
			{position: at(2, 20), number: 9, inForce: 12},
			{position: at(2, 24), number: 12, inForce: 12},
			{position: at(2, 25), number: 13, inForce: 13},
		}},
		{"the operator counts on from the older number", []addedConfiguration{
			{position: at(1, 31), number: 12, inForce: 12},
			{position: at(2, 20), number: 9, inForce: 12},
			{position: at(2, 21), number: 10, inForce: 10},
			{position: at(2, 22), number: 11, inForce: 11},
		}},
		{"another daemon knows that the operator counts on", []addedConfiguration{
			{position: at(1, 31), number: 12, inForce: 12},
			{position: at(2, 21), number: 10, replaces: 12, inForce: 10},
		}},
		{"the lost one is never written again", []addedConfiguration{
			{position: at(1, 31), number: 12, inForce: 12},
			{position: at(2, 20), number: 9, inForce: 12},
			{position: at(2, 20), number: 9, after: outdatedHold, inForce: 9},
		}},
		{"a second restore", []addedConfiguration{
			{position: at(1, 31), number: 12, inForce: 12},
			{position: at(2, 20), number: 9, inForce: 12},
			{position: at(3, 18), number: 8, inForce: 12},
			{position: at(3, 19), number: 12, inForce: 12},
		}},
		{"a late response and a neighbour of the former era", []addedConfiguration{
			{position: at(1, 31), number: 12, inForce: 12},
			{position: at(2, 31), number: 15, inForce: 15},
			{position: at(1, 40), number: 14, inForce: 15},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			state, now := newRowState(time.Second), time.Unix(1000, 0)
			for _, added := range c.added {
				now = now.Add(added.after)
				next := configuration(added.number, added.position, "/a/")
				next.Replaces = added.replaces
				is.NoErr(state.addConfiguration(next, now))
				is.Equal(state.configuration.Number, added.inForce)
			}
		})
	}
}

func TestOutdatedConfigurationAppliesAfterItsTime(t *testing.T) {
	is := is.New(t)
	state, now := newRowState(time.Second), time.Unix(1000, 0)
	is.NoErr(state.addConfiguration(configuration(12, at(1, 31), "/a/"), now))
	is.NoErr(state.addConfiguration(configuration(9, at(2, 20), "/a/"), now))
	is.True(!state.expireOutdated(now.Add(outdatedHold - 1)))
	is.True(state.expireOutdated(now.Add(outdatedHold)))
	is.Equal(state.configuration.Number, uint64(9))
	is.Equal(state.configuration.Replaces, uint64(12)) // so that followers take it at once
	is.True(!state.expireOutdated(now.Add(2 * outdatedHold)))
}

// orderAt returns an order of a version at a position.
func orderAt(version string, position store.Position) RolloutOrder { return orderOf(version, position) }

func TestOrderWrittenAgainStartsNoSecondRollout(t *testing.T) {
	is := is.New(t)
	state := newRowState(time.Second)
	is.NoErr(state.addConfiguration(configuration(1, 1, "/a/"), time.Time{}))
	is.True(state.addOrder(orderAt("v2", at(1, 30)), time.Time{}))
	is.NoErr(state.addRollout(rolloutOf("v2", 30, revision.FullShare, ticket.Completed, at(1, 39))))
	is.True(!state.addOrder(orderAt("v2", at(2, 31)), time.Time{}))
	is.True(!state.rolloutRunning())
	is.Equal(state.orders["desk"].Ticket, uint64(30))

	lost := state.lostVerdicts(RolloutChanges{Through: at(2, 31), Complete: true})
	is.Equal(len(lost), 1)
	is.Equal(lost[0].present, store.Position(0))
	is.Equal(lost[0].row.Order, uint64(at(2, 31)))

	is.True(state.addOrder(orderAt("v3", at(2, 32)), time.Time{})) // a new one
	is.True(state.orders["desk"].Ticket > 30)
	is.True(state.rolloutRunning())
}

func TestOrderOfTheCopyDoesNotReplaceALaterOne(t *testing.T) {
	is := is.New(t)
	state := newRowState(time.Second)
	state.addOrder(orderAt("v2", at(1, 20)), time.Time{})
	state.addOrder(orderAt("v3", at(1, 30)), time.Time{})
	is.True(!state.addOrder(orderAt("v2", at(2, 20)), time.Time{})) // as the copy has it
	is.Equal(state.orders["desk"].Version, "v3")
	is.True(!state.addOrder(orderAt("v3", at(2, 25)), time.Time{})) // written again
	is.Equal(state.orders["desk"].Ticket, uint64(30))
	is.True(state.addOrder(orderAt("v2", at(2, 26)), time.Time{})) // ordered again
	is.Equal(state.orders["desk"].Ticket, uint64(at(2, 26)))
}

func TestOrderOfTheSameVersionInAnotherEraHasATicketOfItsOwn(t *testing.T) {
	is := is.New(t)
	state := newRowState(time.Second)
	state.addOrder(orderAt("v2", at(1, 30)), time.Time{})
	is.NoErr(state.addRollout(rolloutOf("v2", 30, 0, ticket.RolledBack, at(1, 39))))
	is.True(state.addOrder(orderAt("v3", at(2, 30)), time.Time{}))
	is.True(state.orders["desk"].Ticket != 30)
	is.True(state.rolloutRunning())
	is.True(state.barred["desk"]["v2"])
}

func TestDaemonThatStartsAfterARestoreKnowsTheRolloutOfAnOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		order store.Position
		row   RolloutRow
	}{
		{"the copy has both", at(2, 30), rolloutOf("v2", 30, 0, ticket.RolledBack, at(2, 33))},
		{"the order was written again", at(2, 31), func() RolloutRow {
			row := rolloutOf("v2", 30, 0, ticket.RolledBack, at(2, 33))
			row.Order = uint64(at(2, 31))
			return row
		}()},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for _, rowFirst := range []bool{false, true} {
				state := newRowState(time.Second)
				if rowFirst {
					is.NoErr(state.addRollout(c.row))
				}
				state.addOrder(orderAt("v2", c.order), time.Time{})
				if !rowFirst {
					is.NoErr(state.addRollout(c.row))
				}
				is.True(!state.rolloutRunning())
				is.Equal(state.orders["desk"].Ticket, uint64(30))
			}
		})
	}
}

func TestVerdictOutlivesTheCopy(t *testing.T) {
	is := is.New(t)
	state := newRowState(time.Second)
	state.addOrder(orderAt("v2", at(1, 30)), time.Time{})
	verdict := rolloutOf("v2", 30, 0, ticket.RolledBack, at(1, 39))
	is.NoErr(state.addRollout(verdict))
	state.addOrder(orderAt("v2", at(2, 31)), time.Time{})
	for _, older := range []RolloutRow{
		rolloutOf("v2", 30, 500, ticket.Running, at(2, 32)),                // an earlier step
		rolloutOf("v1", 12, 0, ticket.Completed, at(2, 33)),                // an earlier rollout
		rolloutOf("v2", uint64(at(2, 31)), 500, ticket.Running, at(2, 34)), // a second run of the order
	} {
		is.NoErr(state.addRollout(older))
		is.Equal(state.rollouts["desk"].Verdict, ticket.RolledBack)
		lost := state.lostVerdicts(RolloutChanges{Through: older.Position, Rollouts: []RolloutRow{older}, Complete: true})
		is.Equal(lost[0].present, older.Position)
	}
	restored := verdict
	restored.Position = at(2, 35)
	is.NoErr(state.addRollout(restored))
	is.Equal(len(state.lostVerdicts(RolloutChanges{Through: at(2, 35), Rollouts: []RolloutRow{restored}, Complete: true})), 0)
}

func TestRunningRolloutGoesOnFromTheStepOfTheCopy(t *testing.T) {
	is := is.New(t)
	state := newRowState(time.Second)
	state.addOrder(orderAt("v2", at(1, 30)), time.Time{})
	is.NoErr(state.addRollout(rolloutOf("v2", 30, 2500, ticket.Running, at(1, 39))))
	is.NoErr(state.addRollout(rolloutOf("v2", 30, 500, ticket.Running, at(2, 33))))
	is.Equal(state.rollouts["desk"].Share, 500)
	is.Equal(len(state.lostVerdicts(RolloutChanges{Through: at(2, 33), Complete: true})), 0)
}

// fakeRestorer records the verdicts that are written again.
type fakeRestorer struct{ written chan rollout.State }

func (r fakeRestorer) RestoreVerdict(_ context.Context, state rollout.State, _ store.Position) error {
	r.written <- state
	return nil
}

// restore makes the store come back with rows of a new era.
func (r *fakeStore) restore(change func(version store.Position)) {
	r.mu.Lock()
	r.version = at(r.version.Era()+1, 10)
	r.changes, r.rollouts = OperatorChanges{}, RolloutChanges{Complete: true}
	r.trimmed = true
	r.mu.Unlock()
	r.write(change)
}

func TestRestoredStoreIsFollowed(t *testing.T) {
	is := is.New(t)
	r := newFakeStore()
	r.configure(4, "/a/")
	s := newSource(r)
	restored := make(chan struct{}, 1)
	s.OnRestored(func() { restored <- struct{}{} })
	restorer := fakeRestorer{make(chan rollout.State, 10)}
	s.SetVerdictRestorer(restorer)
	s.Start()
	t.Cleanup(s.Stop)
	eventually(t, "the first configuration", func() bool { return s.number() == 4 })
	r.write(func(version store.Position) {
		r.changes.Orders = []RolloutOrder{orderOf("v2", version)}
		r.rollouts = RolloutChanges{Complete: true, Rollouts: []RolloutRow{rolloutOf("v2", uint64(version), 0, ticket.RolledBack, version)}}
	})
	eventually(t, "the verdict", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.state.rollouts) > 0 && !s.state.rolloutRunning()
	})
	r.restore(func(version store.Position) {
		r.changes.Configurations = []Configuration{configuration(4, version, "/a/")}
		r.changes.Orders = []RolloutOrder{orderOf("v2", version)}
	})
	<-restored
	is.Equal((<-restorer.written).Verdict, ticket.RolledBack)
	r.configure(5, "/a/", "/b/")
	eventually(t, "the configuration of the new era", func() bool { return s.number() == 5 })
	is.Equal(store.Position(s.Snapshot().Revision()).Era(), uint64(2))
}

func TestVerdictIsLookedForThoughTheEraWasHeardOfBefore(t *testing.T) {
	is := is.New(t)
	s := newSource(newFakeStore())
	s.applyOperator(OperatorChanges{Through: 30, Configurations: []Configuration{configuration(4, 29, "/a/")}, Orders: []RolloutOrder{orderOf("v2", 30)}})
	s.applyRollouts(RolloutChanges{Through: 39, Rollouts: []RolloutRow{rolloutOf("v2", 30, 0, ticket.RolledBack, 39)}})
	<-s.resumeRollouts
	next := configuration(5, at(2, 30), "/a/")
	s.applyPeerRows(rowSet{Configuration: &next}, "other")
	s.applyOperator(OperatorChanges{Through: at(2, 31)})
	is.Equal(len(s.resumeRollouts), 1)
}

func TestZoneHearsOfANewEraFromItsReaders(t *testing.T) {
	r := newFakeStore()
	r.configure(4, "/a/")
	z := startZone(t, r, 6)
	z.waitApplied(4)
	z.waitFollowing()
	r.restore(func(version store.Position) {
		r.changes.Configurations = []Configuration{configuration(4, version, "/a/")}
	})
	r.configure(5, "/a/", "/b/")
	z.waitAppliedInTime(5, func(string) bool { return true })
}

func TestNeighbourThatKnowsNoErasIsNotFollowedInALaterEra(t *testing.T) {
	is := is.New(t)
	s := newSource(newFakeStore())
	older := &peerpb.RowsReply{Current: true}
	is.True(s.isUsable(older))
	s.applyOperator(OperatorChanges{Through: at(2, 31), Configurations: []Configuration{configuration(12, at(2, 31), "/a/")}})
	is.True(!s.isUsable(older))
	s.applyPeerRows(rowSet{Configuration: &Configuration{Number: 14, Position: 40, Services: []revision.Service{{Name: "desk"}}}}, "other")
	is.Equal(s.number(), uint64(12))
}

func TestVerdictIsWrittenAgainOnlyInPlaceOfTheRowRead(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	s := newSource(newFakeStore())
	log := NewLog(s, table, func(uint64) string { return "ticket/30" }, func(rollout.State) ([]store.Write, error) {
		return []store.Write{{Key: "status", Value: []byte("1")}}, nil
	})
	state := rolloutOf("v2", 30, 0, ticket.RolledBack, 39).State
	is.NoErr(log.RestoreVerdict(t.Context(), state, 0))
	for _, key := range []string{rollout.Key("desk"), "ticket/30", "status"} {
		_, err := table.Get(t.Context(), key)
		is.NoErr(err)
	}
	is.True(errors.Is(log.RestoreVerdict(t.Context(), state, 0), store.ErrConflict))
}
