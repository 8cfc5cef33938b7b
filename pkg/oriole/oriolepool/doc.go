// Package oriolepool decides when and where a keeper sends the requests for a
// pool of upstreams, and which it refuses. [Pool] is a pure state machine: it
// holds no goroutine, does no I/O and reads no clock.
//
// It answers the load of many callers on few slots: an upstream runs two
// requests at once and resets connections when its own short queue is full, so
// that the keeper sends no more than the slots take and keeps the line itself.
package oriolepool
