// Package orioletelemetry provides a gateway's counters and latency histograms, and
// the logical clock that orders the log lines of all gateways.
package orioletelemetry
