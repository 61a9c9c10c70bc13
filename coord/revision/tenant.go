package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

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
