// Package orioleupstream holds the gateway's connections to upstreams. It
// knows for each call whether a byte of it may have left, which net/http's own
// client does not tell, and matches answers to requests on connections where
// extra answers may arrive.
package orioleupstream
