// Package oriolestandin holds small stand-ins of the platform and of upstreams
// for tests, the demo and the examples. They keep records of their own, by
// which package oriolejudge judges the router.
package oriolestandin
