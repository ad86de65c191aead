// Package rendezvous implements rendezvous hashing (highest random weight). A node that joins or
// leaves moves only its own share of the keys.
package rendezvous

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the pseudorandom weight of a node for a key.
func Weight(node string, key uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], key)
	binary.LittleEndian.PutUint64(buffer[8:], xxhash.Sum64String(node))
	return xxhash.Sum64(buffer[:])
}

// KeyOf hashes a name to a key.
func KeyOf(name string) uint64 { return xxhash.Sum64String(name) }

// Owner returns the node with the highest weight for the key, or "" if there are no nodes.
func Owner(nodes []string, key uint64) string {
	best, bestWeight := "", uint64(0)
	for _, node := range nodes {
		if weight := Weight(node, key); best == "" || weight > bestWeight {
			best, bestWeight = node, weight
		}
	}
	return best
}

// Ranked returns up to count nodes with the highest weights for the key, highest first.
func Ranked(nodes []string, key uint64, count int) []string {
	weights := make(map[string]uint64, len(nodes))
	for _, node := range nodes {
		weights[node] = Weight(node, key)
	}
	ranked := append([]string(nil), nodes...)
	sort.Slice(ranked, func(i, j int) bool { return weights[ranked[i]] > weights[ranked[j]] })
	return ranked[:min(count, len(ranked))]
}
