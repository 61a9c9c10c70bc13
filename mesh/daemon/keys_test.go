package daemon

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/apikey"
	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/settings"
)

// A deployment without the values for API keys must get the default, and strict keys that are valid for less than
// the apply bound must not expire in between two confirmations of a store that is in reach.
func TestKeyRules(t *testing.T) {
	is := is.New(t)
	configuration := settings.Default().Configuration
	configuration.KeysValidWithin = 0
	is.Equal(keyRules(&configuration), apikey.Rules{ApplyWithin: 2 * time.Second, ValidWithin: 5 * time.Second})
	is.Equal(confirmWithin(&configuration), 2*time.Second)
	configuration.KeysValidWithin = revision.Duration(time.Second)
	is.Equal(confirmWithin(&configuration), 2*time.Second)
	configuration.StrictKeys = true
	is.Equal(confirmWithin(&configuration), time.Second)
	configuration.KeysValidWithin = revision.Duration(5 * time.Second)
	is.Equal(confirmWithin(&configuration), 2*time.Second)
}

// outOfTouch is a configuration with a tenant, which the store has not confirmed for a minute.
type outOfTouch struct{ snapshot *revision.Snapshot }

func (o outOfTouch) Snapshot() *revision.Snapshot { return o.snapshot }
func (outOfTouch) Age() time.Duration             { return time.Minute }
func (outOfTouch) Superseded() bool               { return false }

// Operators must be able to turn strict keys on and off while the store is out: a daemon that restarts then has to
// get its configuration from others.
func TestStrictKeysAreReloaded(t *testing.T) {
	is := is.New(t)
	snapshot, err := revision.NewSnapshot(1, 1, []revision.Resource{
		{Service: &revision.Service{Name: "desk"}},
		{Split: &revision.Split{Service: "desk", Shares: []revision.Share{{Version: revision.AnyVersion, Weight: revision.FullShare}}}},
		{Route: &revision.Route{Name: "desk", Service: "desk", Prefix: "/desk"}},
		{Tenant: &revision.Tenant{Name: "north", KeyHashes: []string{revision.HashKey("key")}}},
	})
	is.NoErr(err)
	current := settings.Default()
	handler := entry.New(current.Entry, balance.Locality{Host: "h"}, entry.Deps{
		Configuration: outOfTouch{snapshot}, ConfigurationCopy: outOfTouch{}, KeyRules: keyRules(&current.Configuration),
	})
	server := entry.NewServer(current.Entry, handler, zap.NewNop())
	reloader := newReloader(current, zap.NewAtomicLevel(), handler, server, newExit(peer.Identity{Host: "h"}), zap.NewNop())
	reason := func() string {
		request := httptest.NewRequest("GET", "/desk", nil)
		request.Header.Set("Authorization", "Bearer key")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		var problem entry.Problem
		is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &problem))
		return string(problem.Reason)
	}
	for _, strict := range []bool{false, true, false} {
		next := current
		next.Configuration.StrictKeys = settings.Switch(strict)
		reloader.Apply(next)
		is.Equal(reason() == string(entry.ReasonKeysOutdated), strict)
		is.Equal(reason() == string(entry.ReasonNoTarget), !strict) // the key passed
	}
	is.True(isReloadable("configuration.strictKeys") && !isReloadable("configuration.applyWithin"))
}
