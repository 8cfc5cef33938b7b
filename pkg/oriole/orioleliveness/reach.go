package orioleliveness

// minUnreachable is the number of upstreams that must be out of a gateway's reach for the
// gateway to count as cut off: a single one is more likely to have failed itself.
const minUnreachable = 2

// CutOff reports whether a gateway that can't reach some of its upstreams is cut off
// itself: half of them at least.
func CutOff(unreachable, upstreams int) bool {
	return unreachable >= minUnreachable && 2*unreachable >= upstreams
}
