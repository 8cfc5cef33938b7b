// Package oriolepool schedules the requests for a pool of upstreams: it decides
// when and where each is sent, and which are refused. [Pool] is a pure state
// machine: it holds no goroutine, does no I/O and reads no clock.
//
// The callers' requests compete for few slots. An upstream runs as many requests
// at once as it has slots, usually two, and resets connections when its own short
// queue is full. So the dispatcher sends no more requests than there are free
// slots and queues the rest itself.
package oriolepool
