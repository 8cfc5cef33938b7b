// Package orioleconfig loads and validates settings: a base file that all sites
// share, and one overlay file per site with what differs there.
package orioleconfig
