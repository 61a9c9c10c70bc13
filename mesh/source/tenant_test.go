package source

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// tenantConfiguration returns a configuration with a public route and a tenant for each key.
func tenantConfiguration(number uint64, keys ...string) Configuration {
	c := configuration(number, store.Position(number), "/open/")
	c.Routes[0].Public = true
	for _, key := range keys {
		c.Tenants = append(c.Tenants, revision.Tenant{
			Name: "tenant of " + key, KeyHashes: []string{revision.HashKey(key)}, Rate: 2.5, Burst: 4, Priority: 7, Regions: []string{"west"},
		})
	}
	return c
}

// Rows that pass from daemon to daemon must keep every field of the tenants and the public routes: a tenant
// that is lost on the way would be locked out, or all requests would pass without a key. Keys must not pass.
func TestHandoverKeepsTenants(t *testing.T) {
	is := is.New(t)
	first, second, third := newRowState(0), newRowState(0), newRowState(0)
	is.NoErr(first.addConfiguration(tenantConfiguration(1, "key-a"), time.Time{}))
	for range 2 { // a second version takes a key away and adds one
		for _, pair := range [][2]*rowState{{first, second}, {second, third}} {
			rows := pair[0].newerThan(pair[1].heldVersions())
			data, err := rows.encode()
			is.NoErr(err)
			decoded, err := decodeRows(data, checksum(data))
			is.NoErr(err)
			is.NoErr(pair[1].merge(decoded, time.Now()))
			is.Equal(pair[1].configuration, pair[0].configuration)
			plain, err := json.Marshal(decoded)
			is.NoErr(err)
			is.True(!bytes.Contains(plain, []byte(`"key-`)))
		}
		is.NoErr(first.addConfiguration(tenantConfiguration(2, "key-b"), time.Time{}))
	}
	snapshot, err := third.snapshot()
	is.NoErr(err)
	_, known := snapshot.TenantByKey("key-a")
	is.True(!known)
	tenant, known := snapshot.TenantByKey("key-b")
	is.True(known)
	is.Equal(*tenant, tenantConfiguration(2, "key-b").Tenants[0])
	is.Equal(len(snapshot.Tenants()), 1)
	route, ok := snapshot.Match("", "/open/x")
	is.True(ok && route.Public)
}

// A release that knows no tenants drops them from the rows that it passes on. Its configuration must not be
// taken, since every request would pass without a key; rows without a configuration are.
func TestConfigurationOfFormerReleaseIsNotTaken(t *testing.T) {
	is := is.New(t)
	former := func(rows string) []byte {
		var out bytes.Buffer
		writer := gzip.NewWriter(&out)
		_, err := writer.Write([]byte(rows))
		is.NoErr(err)
		is.NoErr(writer.Close())
		return out.Bytes()
	}
	data := former(`{"configuration":{"number":1,"written":1,"services":[{"name":"desk"}],"routes":[]}}`)
	_, err := decodeRows(data, checksum(data))
	is.True(errors.Is(err, errFormerRelease))
	data = former(`{"orders":[{"service":"desk","version":"v2","within":1,"written":3}]}`)
	rows, err := decodeRows(data, checksum(data))
	is.NoErr(err)
	is.Equal(len(rows.Orders), 1)
}

// formerPeers makes all daemons of a zone reply as those of a release that knows no tenants.
type formerPeers struct {
	*zone
	stripped atomic.Int64 // replies with a configuration
}

func (f *formerPeers) Control(ctx context.Context, host, address string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	reply, err := f.zone.Control(ctx, host, address, request)
	if err != nil || len(reply.GetRows().GetRows()) == 0 {
		return reply, err
	}
	reader, err := gzip.NewReader(bytes.NewReader(reply.GetRows().GetRows()))
	if err != nil {
		return nil, err
	}
	var rows map[string]any
	if err := json.NewDecoder(reader).Decode(&rows); err != nil {
		return nil, err
	}
	delete(rows, "format")
	if configuration, ok := rows["configuration"].(map[string]any); ok {
		delete(configuration, "tenants")
		f.stripped.Add(1)
	}
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	if err := errors.Join(json.NewEncoder(writer).Encode(rows), writer.Close()); err != nil {
		return nil, err
	}
	next := proto.Clone(reply).(*peerpb.ControlReply)
	next.GetRows().Rows, next.GetRows().Checksum = out.Bytes(), checksum(out.Bytes())
	return next, nil
}

// A daemon beside others of a former release must have each configuration in time and with its tenants, though
// those pass it on without.
func TestTenantsAmongDaemonsOfAFormerRelease(t *testing.T) {
	is := is.New(t)
	r := newFakeStore()
	write := func(number uint64, key string) {
		r.write(func(version store.Position) {
			c := tenantConfiguration(number, key)
			c.Position = version
			r.changes.Configurations = []Configuration{c}
		})
	}
	write(1, "key-a")
	z := startZone(t, r, 4)
	z.waitApplied(1)
	z.waitFollowing()
	peers := &formerPeers{zone: z}
	l := &link{fakeStore: r}
	s := New(Self{"host-new", "a"}, l, l, members{z}, peers, testTiming, zap.NewNop())
	var without atomic.Bool
	s.OnApply(func(snapshot *revision.Snapshot) { without.Store(without.Load() || len(snapshot.Tenants()) != 1) })
	s.Start()
	t.Cleanup(s.Stop)
	for number, key := range []string{1: "key-a", 2: "key-b", 3: "key-c"} {
		if number == 0 {
			continue
		}
		if number > 1 {
			write(uint64(number), key)
		}
		written := time.Now()
		eventually(t, "the configuration with its tenant", func() bool { return s.number() == uint64(number) })
		is.True(time.Since(written) < testTiming.ApplyWithin)
		_, known := s.Snapshot().TenantByKey(key)
		is.True(known)
	}
	is.True(!without.Load())
	is.True(peers.stripped.Load() > 0)
}

// An invalid configuration must leave the tenants in force as they are.
func TestInvalidTenantsKeepThePresentConfiguration(t *testing.T) {
	is := is.New(t)
	s := newRowState(0)
	is.NoErr(s.addConfiguration(tenantConfiguration(1, "key-a"), time.Time{}))
	is.True(s.addConfiguration(tenantConfiguration(2, "key-b", "key-b"), time.Time{}) != nil)
	snapshot, err := s.snapshot()
	is.NoErr(err)
	_, known := snapshot.TenantByKey("key-a")
	is.True(known)
}

// A configuration that another daemon reports must count as newer also where the newest row of all is in
// force here already, as the state of a rollout may be; a newer state of a rollout adds no keys.
func TestSupersededConcernsConfigurations(t *testing.T) {
	is := is.New(t)
	s := newSource(newFakeStore())
	is.True(!s.Superseded())
	s.applyOperator(OperatorChanges{Configurations: []Configuration{tenantConfiguration(4, "key-a")}, Through: 4})
	s.ObserveRevision(gossip.RevisionReport{Revisions: gossip.Revisions{Latest: 9, Configuration: 4, Rollouts: 9}})
	is.True(!s.Superseded())
	s.ObserveRevision(gossip.RevisionReport{Revisions: gossip.Revisions{Latest: 9, Configuration: 6, Rollouts: 9}})
	is.True(s.Superseded())
	s.ObserveRevision(gossip.RevisionReport{Revisions: gossip.Revisions{Latest: 9, Configuration: 4, Rollouts: 9}})
	is.True(s.Superseded())
	s.applyOperator(OperatorChanges{Configurations: []Configuration{tenantConfiguration(6, "key-b")}, Through: 6})
	is.True(!s.Superseded())
}
