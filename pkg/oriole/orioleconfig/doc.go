// Package orioleconfig loads and validates settings: a base file that all sites
// share, and an overlay file for each site that changes or adds some of them.
package orioleconfig
