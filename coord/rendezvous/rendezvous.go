// Package rendezvous ranks hosts for a key by rendezvous hashing, also called highest random
// weight (Thaler and Ravishankar, 1998): all hosts compute the same order from the same member
// list, and a change of membership reassigns only the keys of the hosts that changed.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a host for a key: the 64-bit xxHash of the key, a zero byte and
// the host. It must be the same on all hosts and releases that share keys.
func Score(key, host string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}

// Rank returns the hosts in descending order of their weight for the key; ties are ordered by
// name. The argument is not changed.
func Rank(key string, hosts []string) []string {
	ranked := append([]string(nil), hosts...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := Score(key, ranked[i]), Score(key, ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// Top returns the first n hosts of Rank, or all if there are fewer.
func Top(key string, hosts []string, n int) []string {
	ranked := Rank(key, hosts)
	return ranked[:min(n, len(ranked))]
}
