package oriolecrash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolecrash"
)

func inc(n int) oriole.Incarnation {
	return oriole.Incarnation{ID: oriole.ServerID(fmt.Sprint("i-", n)), StartedAt: time.Unix(int64(n), 0)}
}

func TestRefusesAfterThreeCrashes(t *testing.T) {
	is := is.New(t)
	d := oriolecrash.New()
	now := time.Unix(100, 0)
	bad := oriolecrash.FingerprintOf(oriole.Request{Method: "GET", Host: "h", Target: "/bad"})
	for n := range 3 {
		is.True(!d.Refuses(now, bad))
		d.ConnectionLost(now, inc(n), bad)
		is.Equal(d.UpstreamEnded(now.Add(time.Second), inc(n)), []oriolecrash.Fingerprint{bad})
	}
	is.True(d.Refuses(now, bad))
	is.True(!d.Refuses(now.Add(2*time.Minute), bad))
	other := oriolecrash.FingerprintOf(oriole.Request{Method: "GET", Host: "h", Target: "/good"})
	is.True(!d.Refuses(now, other))
}

func TestUpstreamCountsOncePerRequest(t *testing.T) {
	is := is.New(t)
	d := oriolecrash.New()
	now := time.Unix(100, 0)
	for range 5 {
		d.RecordCrash(now, 7, inc(1))
	}
	is.True(!d.Refuses(now, 7))
}

func TestLostConnectionAloneIsNoCrash(t *testing.T) {
	is := is.New(t)
	d := oriolecrash.New()
	now := time.Unix(100, 0)
	for n := range 5 {
		d.ConnectionLost(now, inc(n), 7)
		d.ClearSuspect(inc(n))
		is.Equal(len(d.UpstreamEnded(now, inc(n))), 0)
	}
	d.ConnectionLost(now, inc(9), 7)
	is.Equal(len(d.UpstreamEnded(now.Add(time.Minute), inc(9))), 0) // outside the suspect window
	is.True(!d.Refuses(now, 7))
}

func TestFingerprintCoversContent(t *testing.T) {
	is := is.New(t)
	base := oriole.Request{Method: "POST", Host: "h", Target: "/a", Body: []byte("b")}
	same := base
	same.ID = "another attempt"
	is.Equal(oriolecrash.FingerprintOf(base), oriolecrash.FingerprintOf(same))
	for _, change := range []func(*oriole.Request){
		func(r *oriole.Request) { r.Method = "PUT" },
		func(r *oriole.Request) { r.Host = "i" },
		func(r *oriole.Request) { r.Target = "/b" },
		func(r *oriole.Request) { r.Body = []byte("c") },
	} {
		r := base
		change(&r)
		is.True(oriolecrash.FingerprintOf(r) != oriolecrash.FingerprintOf(base))
	}
}
