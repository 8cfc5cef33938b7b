// Package oriolespread decides which servers own the slices of a group.
package oriolespread

import "github.com/orioleswitch/orioleswitch/pkg/oriole"

// Even implements oriole.Spreader. It keeps every slice whose server is usable
// and gives the others to the usable servers that own the fewest.
type Even struct {
	// Level also moves slices between usable servers until no two differ by
	// more than one.
	Level bool
}

// Spread implements oriole.Spreader. The result is the same for the same
// input.
func (e Even) Spread(old oriole.Table, usable []bool) oriole.Table {
	next := old.Clone()
	counts := next.Counts(len(usable))
	for i, owner := range next.Owner {
		if owner >= 0 && owner < len(usable) && usable[owner] {
			continue
		}
		to := fewest(counts, usable)
		next.Owner[i] = to
		if to != oriole.NoServer {
			counts[to]++
		}
	}
	if e.Level {
		level(next.Owner, counts, usable)
	}
	return next
}

// level moves slices from the fullest to the emptiest server.
func level(owner, counts []int, usable []bool) {
	for i, from := range owner {
		to := fewest(counts, usable)
		if to == oriole.NoServer || counts[from]-counts[to] <= 1 {
			continue
		}
		owner[i] = to
		counts[from]--
		counts[to]++
	}
}

// fewest returns the usable server with the fewest slices, the first on a tie.
func fewest(counts []int, usable []bool) int {
	best := oriole.NoServer
	for i, ok := range usable {
		if ok && (best == oriole.NoServer || counts[i] < counts[best]) {
			best = i
		}
	}
	return best
}
