package orioleroute

import "strings"

// PathOf returns the path of a request target as it was sent: without the query, and
// without the scheme and authority of a target in absolute form. Nothing is decoded, so
// that routes match what the upstream gets: an encoded slash stays in its segment. It
// returns "" for a target without a path.
func PathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	_, rest, absolute := strings.Cut(path, "://")
	if !absolute {
		return ""
	}
	i := strings.IndexByte(rest, '/')
	if i < 0 {
		return ""
	}
	return rest[i:]
}
