package orioleidempotency_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleidempotency"
)

var (
	start  = time.Unix(1000, 0)
	digest = orioleidempotency.Digest{1}
)

func key(idempotencyKey string) orioleidempotency.Key {
	key, _ := orioleidempotency.KeyOf(&oriole.Request{Service: "till", Host: "h.example", Method: "POST", Target: "/charge", IdempotencyKey: idempotencyKey})
	return key
}

func responseWith(body string) oriole.Response {
	return oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Body: []byte(body)}
}

func Example() {
	c := orioleidempotency.New()
	_, _, _ = c.Begin(start, key("book-7"), digest, 1)
	_, joined, _ := c.Begin(start, key("book-7"), digest, 2)
	fmt.Println(joined, c.End(start, key("book-7"), 1, responseWith("booked")))
	response, _, _ := c.Begin(start, key("book-7"), digest, 3)
	fmt.Println(string(response.Body))
	// Output:
	// true [2]
	// booked
}

func TestRequestThatHasNotRunIsNotCached(t *testing.T) {
	is := is.New(t)
	c := orioleidempotency.New()
	c.Begin(start, key("k"), digest, 1)
	c.Begin(start, key("k"), digest, 2)
	is.Equal(c.End(start, key("k"), 1, oriole.NotRunResponse(oriole.ReasonQueueFull)), []orioleidempotency.JobID{2})
	response, joined, _ := c.Begin(start, key("k"), digest, 3)
	is.True(response == nil && !joined)
}

// TestUnknownOutcomeIsCached checks that a request that may have run does not
// run again under its key.
func TestUnknownOutcomeIsCached(t *testing.T) {
	is := is.New(t)
	c := orioleidempotency.New()
	c.Begin(start, key("k"), digest, 1)
	c.End(start, key("k"), 1, oriole.UnknownResponse(oriole.ReasonConnection))
	response, _, _ := c.Begin(start, key("k"), digest, 2)
	is.Equal(response.Outcome, oriole.OutcomeUnknown)
}

func TestEntriesExpire(t *testing.T) {
	is := is.New(t)
	c := orioleidempotency.New()
	c.Begin(start, key("k"), digest, 1)
	c.End(start, key("k"), 1, responseWith("a"))
	response, _, _ := c.Begin(start.Add(10*time.Minute), key("k"), digest, 2)
	is.True(response != nil)
	response, joined, _ := c.Begin(start.Add(11*time.Minute), key("k"), digest, 3)
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
		c.Begin(start, k, digest, orioleidempotency.JobID(i))
		c.End(start, k, orioleidempotency.JobID(i), responseWith(body))
	}
	first, _, _ := c.Begin(start, key("0"), digest, 100)
	is.True(first == nil)
	last, _, _ := c.Begin(start, key("19"), digest, 101)
	is.True(last != nil)
}

// TestRunningRequestIsNotEvicted checks that a running request does not run
// twice, however many others complete meanwhile, and that its duplicates get
// its response.
func TestRunningRequestIsNotEvicted(t *testing.T) {
	is := is.New(t)
	c := orioleidempotency.New()
	c.Begin(start, key("long"), digest, 1)
	_, joined, _ := c.Begin(start, key("long"), digest, 2)
	is.True(joined)
	body := string(make([]byte, 1<<16))
	for i := range 10_000 {
		k := key(fmt.Sprint(i))
		c.Begin(start, k, digest, orioleidempotency.JobID(10+i))
		c.End(start, k, orioleidempotency.JobID(10+i), responseWith(body))
	}
	response, joined, _ := c.Begin(start, key("long"), digest, 3)
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
	k, body := orioleidempotency.KeyOf(&base)
	_, _, err := c.Begin(start, k, body, 1)
	is.NoErr(err)
	c.End(start, k, 1, responseWith("charged"))
	for i, change := range others {
		other := base
		change(&other)
		k, body := orioleidempotency.KeyOf(&other)
		response, joined, err := c.Begin(start, k, body, orioleidempotency.JobID(2+i))
		is.NoErr(err)
		is.True(response == nil && !joined)
	}
}

// TestKeyIsOneCallersOwn guards against giving a caller the response to another one's
// request, or to another request, because both use the same idempotency key.
func TestKeyIsOneCallersOwn(t *testing.T) {
	request := func(body string, credentials ...string) *oriole.Request {
		r := &oriole.Request{Service: "till", Method: "POST", Target: "/charge", IdempotencyKey: "1", Header: http.Header{}, Body: []byte(body)}
		for i := 0; i < len(credentials); i += 2 {
			r.Header.Add(credentials[i], credentials[i+1])
		}
		return r
	}
	first := request("a", "Authorization", "Bearer anna")
	for _, test := range []struct {
		name   string
		second *oriole.Request
		// own is set if the second request runs by itself.
		own bool
		err error
	}{
		{"same", request("a", "Authorization", "Bearer anna"), false, nil},
		{"other credentials", request("a", "Authorization", "Bearer bela"), true, nil},
		{"no credentials", request("a"), true, nil},
		{"more credentials", request("a", "Authorization", "Bearer anna", "Cookie", "x"), true, nil},
		{"in another field", request("a", "Cookie", "Bearer anna"), true, nil},
		{"split differently", request("a", "Authorization", "Bearer", "Authorization", "anna"), true, nil},
		{"other body", request("b", "Authorization", "Bearer anna"), false, orioleidempotency.ErrReused},
	} {
		for _, completed := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, completed), func(t *testing.T) {
				is := is.New(t)
				c := orioleidempotency.New()
				key, body := orioleidempotency.KeyOf(first)
				_, _, err := c.Begin(start, key, body, 1)
				is.NoErr(err)
				if completed {
					c.End(start, key, 1, responseWith("booked"))
				}
				key, body = orioleidempotency.KeyOf(test.second)
				response, joined, err := c.Begin(start, key, body, 2)
				is.Equal(err, test.err)
				is.Equal(response == nil && !joined, test.own || test.err != nil)
			})
		}
	}
}
