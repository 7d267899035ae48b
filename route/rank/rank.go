// Package rank orders candidates by rendezvous hashing.
//
// # Usage
//
//	order := rank.Order("muse-01", cells)
//
// Every caller with the same candidates gets the same order, and a candidate
// that leaves moves only the keys it ranked first for.
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
