package daemon

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/settings"
)

// startMembers runs the membership of a host at an incarnation.
func startMembers(t *testing.T, identity peer.Identity) *membership.Membership {
	t.Helper()
	self := gossip.Record{Host: identity.Host, Zone: identity.Zone, Incarnation: identity.Incarnation}
	config := membership.Config{Listen: "127.0.0.1:0", Gossip: gossip.DefaultConfig(time.Second)}
	m, err := membership.New(config, self, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	return m
}

// A daemon whose clock was set back between two starts still has the higher
// incarnation of the two, and seeds are found beside rows that can't be read.
func TestIncarnationGrowsThoughTheClockGoesBack(t *testing.T) {
	is := is.New(t)
	backing := store.NewMemory()
	other, err := json.Marshal(hostRow{Zone: "a", GossipAddress: "127.0.0.1:9", At: time.Now()})
	is.NoErr(err)
	is.NoErr(backing.Txn(t.Context(), nil, []store.Write{
		{Key: hostPrefix + "other", Value: other}, {Key: hostPrefix + "damaged", Value: []byte(`{"zone":`)},
	}))
	incarnations := []uint64{2_000, 1_000, 1_500} // as the clock says at each start
	var last uint64
	for _, clock := range incarnations {
		identity := peer.Identity{Host: "host", Zone: "a", Incarnation: clock}
		members := startMembers(t, identity)
		rows := newHostRows(identity, settings.Default(), backing, zap.NewNop())
		is.NoErr(rows.visit(t.Context(), members))
		now := rows.incarnation(members.Members())
		is.True(now > last)
		last = now
		row, err := backing.Get(t.Context(), rows.key)
		is.NoErr(err)
		var written hostRow
		is.NoErr(json.Unmarshal(row.Value, &written))
		is.Equal(written.Incarnation, now)
	}
	identity := peer.Identity{Host: "host", Zone: "a"}
	found, err := newHostRows(identity, settings.Default(), backing, zap.NewNop()).read(t.Context(), time.Now())
	is.NoErr(err)
	is.Equal(found.seeds, []string{"127.0.0.1:9"})
	is.Equal(found.incarnation, last)
}
