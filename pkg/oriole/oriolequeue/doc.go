// Package oriolequeue decides what a keeper does with the requests for the
// servers of one group: where each waits, when it runs, when it is refused,
// and when it is tried again.
//
// A [Queue] is a pure state machine in the manner of package oriolegroup. It
// never has more requests running on a server than the server bears, serves
// the keys of a server in turn, and refuses a request that can't meet its
// deadline before it runs.
package oriolequeue
