// Package oriolehash maps keys to slices.
package oriolehash

import (
	"github.com/cespare/xxhash/v2"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// XX implements oriole.Hasher with 64-bit xxHash.
type XX struct{}

// Slice returns the slice of key among n slices. It allocates nothing.
func (XX) Slice(key string, n uint32) oriole.Slice {
	return oriole.Slice(xxhash.Sum64String(key) % uint64(n))
}

// Rank returns a pseudo-random rank of member for subject. Sorting members by
// it spreads duties so that the loss of one member moves only its own.
func Rank(subject, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(subject)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
