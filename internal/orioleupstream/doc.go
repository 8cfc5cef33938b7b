// Package orioleupstream is the HTTP/1.1 client for upstreams and its connection
// pool. Unlike net/http's client it reports for each call whether any byte may
// have been sent, and it matches responses to requests, because upstreams may
// send extra responses on a connection.
package orioleupstream
