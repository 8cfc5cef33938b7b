// Package orioleconfig reads and checks settings: one base file that all sites
// share, and an overlay per site that states only what differs there.
package orioleconfig
