package revision

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// withTenants returns the result of a snapshot with the base resources and the tenants.
func withTenants(tenants ...Tenant) (*Snapshot, error) {
	resources := baseResources()
	for i := range tenants {
		resources = append(resources, Resource{Tenant: &tenants[i]})
	}
	return NewSnapshot(1, 1, resources)
}

// A key must lead to its own tenant and no other text to any: neither a hash nor a part of a key is one.
func TestTenantByKey(t *testing.T) {
	is := is.New(t)
	snapshot, err := withTenants(
		Tenant{Name: "north", KeyHashes: []string{HashKey("n1"), HashKey("n2")}},
		Tenant{Name: "east", KeyHashes: []string{HashKey("e1")}})
	is.NoErr(err)
	is.Equal(snapshot.Tenants()[0].Name, "east")
	for key, wanted := range map[string]string{"n1": "north", "n2": "north", "e1": "east", "n": "", "N1": "", "n1 ": "", HashKey("n1"): "", "": ""} {
		tenant, ok := snapshot.TenantByKey(key)
		is.Equal(ok, wanted != "")
		is.True(!ok || tenant.Name == wanted)
	}
}

// A configuration with a faulty tenant must be rejected by a text that names the tenant and the field and
// shows neither a key nor a hash.
func TestInvalidTenantsAreRejected(t *testing.T) {
	hash := HashKey("secret")
	cases := []struct {
		name   string
		tenant Tenant
		wanted string
	}{
		{"key of another", Tenant{Name: "b", KeyHashes: []string{hash}}, "tenant/b: keyHashes[0]"},
		{"key twice", Tenant{Name: "b", KeyHashes: []string{HashKey("x"), HashKey("x")}}, "tenant/b: keyHashes[1]"},
		{"key in place of its hash", Tenant{Name: "b", KeyHashes: []string{"secret"}}, "tenant/b: keyHashes[0]"},
		{"hash in upper case", Tenant{Name: "b", KeyHashes: []string{strings.ToUpper(hash)}}, "tenant/b: keyHashes[0]"},
		{"empty hash", Tenant{Name: "b", KeyHashes: []string{""}}, "tenant/b: keyHashes[0]"},
		{"line break in the name", Tenant{Name: "b\r\nX: y"}, "name is not"},
		{"space at the end of the name", Tenant{Name: "b "}, "name is not"},
		{"long name", Tenant{Name: strings.Repeat("b", MaxTenantNameBytes+1)}, "name is not"},
		{"negative rate", Tenant{Name: "b", Rate: -1}, "tenant/b: rate"},
		{"infinite rate", Tenant{Name: "b", Rate: math.Inf(1)}, "tenant/b: rate"},
		{"negative burst", Tenant{Name: "b", Burst: -0.5}, "tenant/b: burst"},
		{"burst is no number", Tenant{Name: "b", Burst: math.NaN()}, "tenant/b: burst"},
		{"name of another", Tenant{Name: "a"}, "tenant/a is listed twice"},
		{"no name", Tenant{}, "without a kind or name"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := withTenants(Tenant{Name: "a", KeyHashes: []string{hash}}, c.tenant)
			is.True(errors.Is(err, ErrInvalid))
			is.True(strings.Contains(err.Error(), c.wanted))
			is.True(!strings.Contains(err.Error(), "secret"))
			is.True(!strings.Contains(strings.ToLower(err.Error()), hash))
		})
	}
}

// Requests must be ordered by the tenant's priority first, and those without a tenant as if of the most
// important one; without tenants the route's priority stays as it is.
func TestPriorityOrdersByTenantThenRoute(t *testing.T) {
	is := is.New(t)
	high, low, least := Tenant{Name: "high", Priority: 1000}, Tenant{Name: "low", Priority: 999}, Tenant{Name: "least", Priority: math.MinInt32}
	snapshot, err := withTenants(high, low, least)
	is.NoErr(err)
	urgent, late, extreme := &Route{Priority: 1000}, &Route{Priority: 997}, &Route{Priority: math.MaxInt}
	ordered := []int32{
		snapshot.Priority(late, &least), snapshot.Priority(urgent, &least), snapshot.Priority(extreme, &least),
		snapshot.Priority(late, &low), snapshot.Priority(urgent, &low), snapshot.Priority(extreme, &low),
		snapshot.Priority(late, &high), snapshot.Priority(urgent, &high),
	}
	is.True(slices.IsSorted(ordered))
	is.Equal(len(slices.Compact(slices.Clone(ordered))), len(ordered))
	is.Equal(snapshot.Priority(urgent, nil), snapshot.Priority(urgent, &high))
	without, err := withTenants()
	is.NoErr(err)
	is.Equal(without.Priority(&Route{Priority: 70000}, nil), int32(70000))
}

// BenchmarkTenantByKey measures what the search for the tenant costs each request.
func BenchmarkTenantByKey(b *testing.B) {
	var tenants []Tenant
	for i := range 76 {
		tenants = append(tenants, Tenant{Name: fmt.Sprint("t", i), KeyHashes: []string{HashKey(fmt.Sprint("key-0123456789abcdef-", i))}})
	}
	snapshot, err := withTenants(tenants...)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, ok := snapshot.TenantByKey("key-0123456789abcdef-42"); !ok {
			b.Fatal("the key is not known")
		}
	}
}
