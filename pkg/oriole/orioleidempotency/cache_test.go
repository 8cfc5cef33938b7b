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

func key(idempotencyKey string) orioleidempotency.Key {
	return orioleidempotency.KeyOf(&oriole.Request{Service: "till", Host: "h.example", Method: "POST", Target: "/charge", IdempotencyKey: idempotencyKey})
}

func responseWith(body string) oriole.Response {
	return oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Body: []byte(body)}
}

func Example() {
	c := orioleidempotency.New()
	c.Begin(start, key("book-7"), 1)
	_, joined := c.Begin(start, key("book-7"), 2)
	fmt.Println(joined, c.End(start, key("book-7"), 1, responseWith("booked")))
	response, _ := c.Begin(start, key("book-7"), 3)
	fmt.Println(string(response.Body))
	// Output:
	// true [2]
	// booked
}

func TestRequestThatHasNotRunIsNotCached(t *testing.T) {
	is := is.New(t)
	c := orioleidempotency.New()
	c.Begin(start, key("k"), 1)
	c.Begin(start, key("k"), 2)
	is.Equal(c.End(start, key("k"), 1, oriole.NotRunResponse(oriole.ReasonQueueFull)), []orioleidempotency.JobID{2})
	response, joined := c.Begin(start, key("k"), 3)
	is.True(response == nil && !joined)
}

// TestUnknownOutcomeIsCached checks that a request that may have run does not
// run again under its key.
func TestUnknownOutcomeIsCached(t *testing.T) {
	is := is.New(t)
	c := orioleidempotency.New()
	c.Begin(start, key("k"), 1)
	c.End(start, key("k"), 1, oriole.UnknownResponse(oriole.ReasonConnection))
	response, _ := c.Begin(start, key("k"), 2)
	is.Equal(response.Outcome, oriole.OutcomeUnknown)
}

func TestEntriesExpire(t *testing.T) {
	is := is.New(t)
	c := orioleidempotency.New()
	c.Begin(start, key("k"), 1)
	c.End(start, key("k"), 1, responseWith("a"))
	response, _ := c.Begin(start.Add(10*time.Minute), key("k"), 2)
	is.True(response != nil)
	response, joined := c.Begin(start.Add(11*time.Minute), key("k"), 3)
	is.True(response == nil && !joined)
}

// TestCacheSizeIsBounded checks that large responses evict the oldest ones and
// keep the newest.
func TestCacheSizeIsBounded(t *testing.T) {
	is := is.New(t)
	c := orioleidempotency.New()
	body := string(make([]byte, 1<<20))
	for i := range 20 {
		k := key(fmt.Sprint(i))
		c.Begin(start, k, orioleidempotency.JobID(i))
		c.End(start, k, orioleidempotency.JobID(i), responseWith(body))
	}
	first, _ := c.Begin(start, key("0"), 100)
	is.True(first == nil)
	last, _ := c.Begin(start, key("19"), 101)
	is.True(last != nil)
}

// TestRunningRequestIsNotEvicted checks that a running request does not run
// twice, however many others complete meanwhile, and that its duplicates get
// its response.
func TestRunningRequestIsNotEvicted(t *testing.T) {
	is := is.New(t)
	c := orioleidempotency.New()
	c.Begin(start, key("long"), 1)
	_, joined := c.Begin(start, key("long"), 2)
	is.True(joined)
	body := string(make([]byte, 1<<16))
	for i := range 10_000 {
		k := key(fmt.Sprint(i))
		c.Begin(start, k, orioleidempotency.JobID(10+i))
		c.End(start, k, orioleidempotency.JobID(10+i), responseWith(body))
	}
	response, joined := c.Begin(start, key("long"), 3)
	is.True(response == nil && joined)
	is.Equal(c.End(start, key("long"), 1, responseWith("a")), []orioleidempotency.JobID{2, 3})
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
	c := orioleidempotency.New()
	c.Begin(start, orioleidempotency.KeyOf(&base), 1)
	c.End(start, orioleidempotency.KeyOf(&base), 1, responseWith("charged"))
	for i, change := range others {
		other := base
		change(&other)
		response, joined := c.Begin(start, orioleidempotency.KeyOf(&other), orioleidempotency.JobID(2+i))
		is.True(response == nil && !joined)
	}
}
