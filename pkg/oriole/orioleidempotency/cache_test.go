package orioleidempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleidempotency"
)

var start = time.Unix(1000, 0)

func key(token string) orioleidempotency.Key {
	return orioleidempotency.KeyOf(&oriole.Request{Service: "till", Host: "h.example", Method: "POST", Target: "/charge", IdempotencyKey: token})
}

func responseWith(body string) oriole.Response {
	return oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Body: []byte(body)}
}

func Example() {
	r := orioleidempotency.New()
	r.Begin(start, key("book-7"), 1)
	_, joined := r.Begin(start, key("book-7"), 2)
	fmt.Println(joined, r.End(start, key("book-7"), 1, responseWith("booked")))
	repeated, _ := r.Begin(start, key("book-7"), 3)
	fmt.Println(string(repeated.Body))
	// Output:
	// true [2]
	// booked
}

func TestRequestThatHasNotRunIsNotCached(t *testing.T) {
	is := is.New(t)
	r := orioleidempotency.New()
	r.Begin(start, key("k"), 1)
	r.Begin(start, key("k"), 2)
	is.Equal(r.End(start, key("k"), 1, oriole.NotRunResponse(oriole.ReasonQueueFull)), []orioleidempotency.JobID{2})
	response, joined := r.Begin(start, key("k"), 3)
	is.True(response == nil && !joined)
}

// TestUnknownOutcomeIsCached checks that a request that may have run does not
// run again under its key.
func TestUnknownOutcomeIsCached(t *testing.T) {
	is := is.New(t)
	r := orioleidempotency.New()
	r.Begin(start, key("k"), 1)
	r.End(start, key("k"), 1, oriole.UnknownResponse(oriole.ReasonConnection))
	response, _ := r.Begin(start, key("k"), 2)
	is.Equal(response.Outcome, oriole.OutcomeUnknown)
}

func TestEntriesExpire(t *testing.T) {
	is := is.New(t)
	r := orioleidempotency.New()
	r.Begin(start, key("k"), 1)
	r.End(start, key("k"), 1, responseWith("a"))
	response, _ := r.Begin(start.Add(10*time.Minute), key("k"), 2)
	is.True(response != nil)
	response, joined := r.Begin(start.Add(11*time.Minute), key("k"), 3)
	is.True(response == nil && !joined)
}

// TestCacheSizeIsBounded checks that large responses evict the oldest ones and
// keep the newest.
func TestCacheSizeIsBounded(t *testing.T) {
	is := is.New(t)
	r := orioleidempotency.New()
	body := string(make([]byte, 1<<20))
	for i := range 20 {
		token := key(fmt.Sprint(i))
		r.Begin(start, token, orioleidempotency.JobID(i))
		r.End(start, token, orioleidempotency.JobID(i), responseWith(body))
	}
	first, _ := r.Begin(start, key("0"), 100)
	is.True(first == nil)
	last, _ := r.Begin(start, key("19"), 101)
	is.True(last != nil)
}

// TestRunningRequestIsNotEvicted checks that a running request does not run
// twice, however many others complete meanwhile, and that its repetitions get
// its response.
func TestRunningRequestIsNotEvicted(t *testing.T) {
	is := is.New(t)
	r := orioleidempotency.New()
	r.Begin(start, key("long"), 1)
	_, joined := r.Begin(start, key("long"), 2)
	is.True(joined)
	body := string(make([]byte, 1<<16))
	for i := range 10_000 {
		k := key(fmt.Sprint(i))
		r.Begin(start, k, orioleidempotency.JobID(10+i))
		r.End(start, k, orioleidempotency.JobID(10+i), responseWith(body))
	}
	response, joined := r.Begin(start, key("long"), 3)
	is.True(response == nil && joined)
	is.Equal(r.End(start, key("long"), 1, responseWith("a")), []orioleidempotency.JobID{2, 3})
}

// TestIdempotencyKeyIsScopedToRequest checks that an idempotency key does not
// match requests for another service, host, method or target.
func TestIdempotencyKeyIsScopedToRequest(t *testing.T) {
	is := is.New(t)
	base := oriole.Request{Service: "till", Host: "h.example", Method: "POST", Target: "/charge", IdempotencyKey: "7"}
	others := []func(*oriole.Request){
		func(r *oriole.Request) { r.Service = "desk" },
		func(r *oriole.Request) { r.Host = "other.example" },
		func(r *oriole.Request) { r.Method = "PUT" },
		func(r *oriole.Request) { r.Target = "/refund" },
		func(r *oriole.Request) { r.IdempotencyKey = "8" },
	}
	r := orioleidempotency.New()
	r.Begin(start, orioleidempotency.KeyOf(&base), 1)
	r.End(start, orioleidempotency.KeyOf(&base), 1, responseWith("charged"))
	for i, change := range others {
		other := base
		change(&other)
		response, joined := r.Begin(start, orioleidempotency.KeyOf(&other), orioleidempotency.JobID(2+i))
		is.True(response == nil && !joined)
	}
}
