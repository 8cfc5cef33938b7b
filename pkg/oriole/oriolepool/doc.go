// Package oriolepool schedules the requests for a pool of upstreams: it decides
// when and where each is sent, and which are refused. [Pool] is a pure state
// machine: it holds no goroutine, does no I/O and reads no clock.
//
// Many callers compete for few slots. An upstream runs two requests at once and
// resets connections when its own short queue is full, so the dispatcher sends
// no more requests than there are free slots and queues the rest itself.
package oriolepool
