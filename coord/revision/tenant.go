package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
)

const (
	// MaxKeyBytes bounds the length of an API key, MaxTenantNameBytes that of a tenant's name, which is
	// sent in a header field.
	MaxKeyBytes        = 512
	MaxTenantNameBytes = 128
)

// ValidKey reports whether a text can be an API key: 1 to MaxKeyBytes visible ASCII characters, so that it is
// one word of a header field.
func ValidKey(key string) bool {
	return key != "" && len(key) <= MaxKeyBytes && !strings.ContainsFunc(key, notVisible)
}

// ValidTenantName reports whether a name is a valid value of a header field, of at most
// MaxTenantNameBytes.
func ValidTenantName(name string) bool {
	return name != "" && len(name) <= MaxTenantNameBytes && strings.TrimSpace(name) == name &&
		!strings.ContainsFunc(name, func(r rune) bool { return r != ' ' && notVisible(r) })
}

// notVisible reports whether a character is other than a visible ASCII character.
func notVisible(r rune) bool { return r <= ' ' || r > '~' }

// CheckTenants returns the problems of tenants that can be found without the others of a configuration.
func CheckTenants(tenants []Tenant) []error {
	var problems []error
	holders := make(map[string]string)
	for i := range tenants {
		problems = append(problems, checkTenant(&tenants[i], holders)...)
	}
	return problems
}

// checkTenant returns the problems of a tenant. The texts name the tenant and the field, never a key, also
// where a key stands in the place of a hash.
func checkTenant(tenant *Tenant, holders map[string]string) []error {
	var problems []error
	at := "tenant/" + tenant.Name
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf("%s: "+format, append([]any{at}, args...)...))
	}
	if !ValidTenantName(tenant.Name) {
		report("name is not 1 to %d printable ASCII characters without spaces at the ends", MaxTenantNameBytes)
	}
	for i, hash := range tenant.KeyHashes {
		holder, held := holders[hash]
		switch {
		case !isKeyHash(hash):
			report("keyHashes[%d] is not a SHA-256 hash in %d lower-case hexadecimal digits", i, hex.EncodedLen(sha256.Size))
		case held && holder == tenant.Name:
			report("keyHashes[%d] is listed twice", i)
		case held:
			report("keyHashes[%d] is already that of tenant %q", i, holder)
		}
		holders[hash] = tenant.Name
	}
	for _, limit := range []struct {
		name  string
		value float64
	}{{"rate", tenant.Rate}, {"burst", tenant.Burst}} {
		if limit.value < 0 || math.IsInf(limit.value, 0) || math.IsNaN(limit.value) {
			report("%s %g is not a finite number of 0 or more", limit.name, limit.value)
		}
	}
	return problems
}

// isKeyHash reports whether a text has the form of the results of HashKey.
func isKeyHash(text string) bool {
	return len(text) == hex.EncodedLen(sha256.Size) &&
		!strings.ContainsFunc(text, func(r rune) bool { return (r < '0' || r > '9') && (r < 'a' || r > 'f') })
}

// HashKey returns the hash of an API key as it is held in Tenant.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Tenants returns the tenants, sorted by name; none if requests need no API key.
func (s *Snapshot) Tenants() []*Tenant { return s.tenants }

// TenantByKey returns the tenant that holds the API key, and whether there is one. The key is looked up by
// its hash, so that the time of the search does not depend on how much of a key was guessed.
func (s *Snapshot) TenantByKey(key string) (*Tenant, bool) {
	tenant, ok := s.keyHolders[HashKey(key)]
	return tenant, ok
}

// RequiresKey reports whether a request on the route needs an API key.
func (s *Snapshot) RequiresKey(route *Route) bool { return len(s.tenants) > 0 && !route.Public }

// Bounds of what Priority takes from each of its two parts. Ranks beyond them compare as equal.
const (
	routePrioritySpan = 1 << 16
	maxTenantRanks    = 1<<15 - 1
)

// Priority returns the priority of a request: it orders by the priority of the tenant and then by that of
// the route, those of higher priority first. A request without a tenant counts as of the highest priority
// that a tenant has. Where there are no tenants, the priority is that of the route.
func (s *Snapshot) Priority(route *Route, tenant *Tenant) int32 {
	if len(s.tenants) == 0 {
		return int32(route.Priority)
	}
	priority := max(math.MinInt16, min(route.Priority, math.MaxInt16))
	if tenant == nil {
		return int32(priority)
	}
	below := max(0, s.topPriority-tenant.Priority)
	return int32(priority) - routePrioritySpan*int32(min(below, maxTenantRanks-1))
}

// indexTenants builds the index of the tenants' keys.
func (s *Snapshot) indexTenants() {
	s.keyHolders = make(map[string]*Tenant)
	for _, tenant := range s.tenants {
		for _, hash := range tenant.KeyHashes {
			s.keyHolders[hash] = tenant
		}
	}
	sort.Slice(s.tenants, func(i, j int) bool { return s.tenants[i].Name < s.tenants[j].Name })
	for i, tenant := range s.tenants {
		if i == 0 || tenant.Priority > s.topPriority {
			s.topPriority = tenant.Priority
		}
	}
}

// EvacuatedZones returns the availability zones whose targets are to receive no requests, sorted.
func (s *Snapshot) EvacuatedZones() []string {
	var zones []string
	for ref := range s.entries {
		if ref.Kind == KindEvacuation {
			zones = append(zones, ref.Name)
		}
	}
	slices.Sort(zones)
	return zones
}

// Evacuated reports whether the targets of the availability zone are to receive no requests.
func (s *Snapshot) Evacuated(zone string) bool {
	_, ok := s.entries[Ref{KindEvacuation, zone}]
	return ok
}
