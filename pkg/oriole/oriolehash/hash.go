// Package oriolehash implements weighted rendezvous hashing, which spreads
// subjects such as pools over members such as gateways.
package oriolehash

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Rank returns a pseudo-random rank of member for subject. Assigning each
// subject to the member with the lowest rank spreads subjects evenly, and the
// loss of a member moves only its own subjects. Rank allocates nothing.
func Rank(subject, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(subject)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}

// minWeight replaces weights that are zero or missing.
const minWeight = 1e-6

// Score returns the member's weighted rendezvous score for subject. Assigning
// each subject to the member with the highest score gives members subjects in
// proportion to their weights, and the loss of a member moves only its own
// subjects.
func Score(subject, member string, weight float64) float64 {
	// The top 53 bits of the rank, mapped into (0, 1]; the added half keeps the
	// logarithm finite.
	unit := (float64(Rank(subject, member)>>11) + 0.5) / (1 << 53)
	return max(weight, minWeight) / -math.Log(unit)
}
