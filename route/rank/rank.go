// Package rank orders candidates by rendezvous hashing.
//
// # Usage
//
//	order := rank.Order("muse-01", cells)
//
// All processes with the same candidates get the same order. Removing a candidate
// changes the first choice only of the keys for which it was first.
package rank

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Order returns the candidates by descending weight for the key.
func Order[T ~string](key string, candidates []T) []T {
	ordered := make([]T, len(candidates))
	copy(ordered, candidates)
	weights := make(map[T]uint64, len(candidates))
	for _, candidate := range candidates {
		weights[candidate] = weight(key, string(candidate))
	}
	sort.Slice(ordered, func(i, j int) bool {
		left, right := weights[ordered[i]], weights[ordered[j]]
		if left != right {
			return left > right
		}
		return ordered[i] < ordered[j]
	})
	return ordered
}

func weight(key, candidate string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
