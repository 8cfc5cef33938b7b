package oriolemessage_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

var now = time.UnixMilli(1_800_000_000_000)

func config() *oriole.Config {
	return &oriole.Config{
		Version: 7,
		Limits:  oriole.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []oriole.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Idempotent: true, LatencyTarget: 300 * time.Millisecond, Priority: 2,
			Timeout: time.Second, MaxAttempts: 2, Shares: []oriole.Share{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}},
		}},
		Services: map[oriole.ServiceName]oriole.Service{"s": {
			Name: "s", MaxConns: 45, ColdDuration: 3 * time.Second, ColdRate: 5, Sharded: true, KeyWarmupDuration: 2 * time.Second, HealthPath: "/h",
		}},
	}
}

func assignment() oriole.Assignment {
	a, b := oriole.Incarnation{ID: "a", StartedAt: now}, oriole.Incarnation{ID: "b", StartedAt: now.Add(time.Second)}
	return oriole.Assignment{
		Service: "s", Term: 3, Leader: "vm.1", PriorLeaders: []oriole.GatewayID{"vm.0"}, Fence: 9, Seq: 4,
		Ranges: []oriole.Range{{First: 0, Last: 9, Owner: a, Fence: 8}, {First: 10, Last: oriole.MaxShardKey, Owner: b, Fence: 9, PriorOwners: []oriole.Incarnation{a}}},
	}
}

var member = oriole.Member{ID: "vm.1", VM: "vm", Zone: "z", PeerAddr: netip.MustParseAddrPort("10.0.0.1:7"), Weight: 0.5}

// roundTrip encodes the frame and returns it as the receiver decodes it.
func roundTrip(t *testing.T, frame oriolemessage.Frame) oriolemessage.Frame {
	t.Helper()
	data, err := oriolemessage.Encode(&frame)
	if err != nil {
		t.Fatal(err)
	}
	received, err := oriolemessage.Decode[oriolemessage.Frame](data)
	if err != nil {
		t.Fatal(err)
	}
	return received
}

// roundTripEntry encodes and decodes a feed with one entry, and returns the entry.
func roundTripEntry(t *testing.T, e oriolemessage.Entry) oriolemessage.Entry {
	t.Helper()
	return roundTrip(t, oriolemessage.Frame{Feed: &oriolemessage.Feed{Kind: "k", Entries: []oriolemessage.Entry{e}}}).Feed.Entries[0]
}

func TestFeedEntriesSurviveEncoding(t *testing.T) {
	t.Run("configuration", func(t *testing.T) {
		is := is.New(t)
		e := oriolemessage.Entry{Name: "main"}
		e.SetConfig(config())
		cfg, err := roundTripEntry(t, e).ToConfig()
		is.NoErr(err)
		is.Equal(cfg, config())
	})
	t.Run("upstream", func(t *testing.T) {
		is := is.New(t)
		u := oriole.Upstream{
			ID: "u", Service: "s", Zone: "z", Addr: netip.MustParseAddrPort("10.0.0.2:80"), StartedAt: now, Slots: 2, Draining: true,
			ColdRemaining: time.Second,
		}
		e := oriolemessage.Entry{Name: "u"}
		e.SetUpstream(u)
		got, err := roundTripEntry(t, e).ToUpstream()
		is.NoErr(err)
		is.Equal(got, u)
	})
	t.Run("gateway", func(t *testing.T) {
		is := is.New(t)
		e := oriolemessage.Entry{Name: "vm"}
		e.SetGateway(member)
		got, err := roundTripEntry(t, e).ToGateway()
		is.NoErr(err)
		is.Equal(got, member)
	})
}

func TestRequestAndResponseSurviveEncoding(t *testing.T) {
	is := is.New(t)
	r := oriole.Request{
		ID: "7", Service: "s", Host: "h", Method: "POST", Target: "/p/1?x", Header: http.Header{"A": {"1", "2"}}, Body: []byte("hay"),
		Idempotent: true, IdempotencyKey: "once", Deadline: now.Add(time.Second), SoftDeadline: now.Add(300 * time.Millisecond), Priority: 1,
		ShardKey: 0, HasShardKey: true, Pool: oriole.PoolID{Service: "s", Zone: "z", Server: "u"},
	}
	got, err := roundTrip(t, oriolemessage.Frame{Request: oriolemessage.FromRequest(5, r, now)}).Request.ToRequest(now)
	is.NoErr(err)
	is.Equal(got, r)
	resp := oriole.Response{
		Outcome: oriole.OutcomeAnswered, Status: 200, Header: http.Header{"B": {"1"}}, Body: []byte("ok"), Server: "u",
		RetryAfter: time.Millisecond, ExpectedWait: time.Second,
	}
	gotResp, err := roundTrip(t, oriolemessage.Frame{Response: oriolemessage.FromResponse(5, "7", resp)}).Response.ToResponse()
	is.NoErr(err)
	is.Equal(gotResp, resp)
}

// TestInvalidStatusIsRejected guards against passing on a status of a peer that is none of
// a final response, and against believing that a request with a status has not run.
func TestInvalidStatusIsRejected(t *testing.T) {
	is := is.New(t)
	for status := -1; status <= 1000; status++ {
		for _, outcome := range []oriole.Outcome{oriole.OutcomeUnknown, oriole.OutcomeAnswered, oriole.OutcomeNotRun} {
			valid := status == 0
			if outcome == oriole.OutcomeAnswered {
				valid = status >= 200 && status <= 599
			}
			_, err := (&oriolemessage.Response{Outcome: int(outcome), Status: status}).ToResponse()
			is.Equal(err == nil, valid)
		}
	}
}

// TestWorkspacesSurviveEncoding guards against gateways that disagree about a request's
// workspace, and against frames that earlier builds reject although no configuration has
// workspaces.
func TestWorkspacesSurviveEncoding(t *testing.T) {
	is := is.New(t)
	cfg := config()
	cfg.Keyed = true
	cfg.Routes[0].Public, cfg.Routes[0].LargeBodies = true, true
	for _, workspaces := range [][]oriole.Workspace{nil, {
		{Name: "a", Keys: []oriole.KeyDigest{oriole.DigestKey("k1"), oriole.DigestKey("k2")}, Priority: 2, Rate: 2.5, Burst: 7}, {Name: "b"},
	}} {
		cfg.Workspaces = workspaces
		e := oriolemessage.Entry{Name: "main"}
		e.SetConfig(cfg)
		got, err := roundTripEntry(t, e).ToConfig()
		is.NoErr(err)
		is.Equal(got, cfg)
	}
	// A configuration that an operator is about to write has keys in plain text.
	cfg.Workspaces[0].Secrets = []oriole.Secret{"k1-plain"}
	e := oriolemessage.Entry{Name: "main"}
	e.SetConfig(cfg)
	data, err := oriolemessage.Encode(&oriolemessage.Frame{Feed: &oriolemessage.Feed{Kind: "k", Entries: []oriolemessage.Entry{e}}})
	is.NoErr(err)
	is.True(!strings.Contains(string(data), "k1-plain"))

	r := oriole.Request{
		ID: "7", Service: "s", Method: "GET", Header: http.Header{}, Deadline: now, SoftDeadline: now, Pool: oriole.PoolID{Service: "s"},
		Keyed: true, AdmittedBy: 9, Workspace: "a", Key: oriole.DigestKey("k1"),
	}
	public := r
	public.Workspace, public.Key = "", oriole.KeyDigest{}
	for _, want := range []oriole.Request{r, public} {
		got, err := roundTrip(t, oriolemessage.Frame{Request: oriolemessage.FromRequest(5, want, now)}).Request.ToRequest(now)
		is.NoErr(err)
		is.Equal(got, want)
	}
	malformed := oriolemessage.FromRequest(5, r, now)
	short := (*malformed.Key)[:31]
	malformed.Key = &short
	is.True(errors.Is(errOf(malformed.ToRequest(now)), oriolemessage.ErrMalformed))

	e = oriolemessage.Entry{Name: "main"}
	e.SetConfig(config())
	r.Keyed = false
	data, err = oriolemessage.Encode(&oriolemessage.Frame{
		Request: oriolemessage.FromRequest(5, r, now), Feed: &oriolemessage.Feed{Kind: "k", Entries: []oriolemessage.Entry{e}},
	})
	is.NoErr(err)
	for _, field := range []string{"keyed", "workspace", "public", "large", "admitted"} {
		is.True(!strings.Contains(strings.ToLower(string(data)), field))
	}
}

// TestDrainSurvivesEncoding guards against naming another upstream, or another start
// of it, to peers.
func TestDrainSurvivesEncoding(t *testing.T) {
	is := is.New(t)
	want := oriole.Incarnation{ID: "u", StartedAt: time.UnixMilli(1234)}
	got, err := roundTrip(t, oriolemessage.Frame{Departure: oriolemessage.FromDeparture(want)}).Departure.ToDeparture()
	is.NoErr(err)
	is.Equal(got, want)
	is.True(errors.Is(errOf((&oriolemessage.Departure{}).ToDeparture()), oriolemessage.ErrMalformed))
}

func TestAssignmentAndPatchSurviveEncoding(t *testing.T) {
	is := is.New(t)
	a := assignment()
	got, err := roundTrip(t, oriolemessage.Frame{Assignment: oriolemessage.FromAssignment(a)}).Assignment.ToAssignment()
	is.NoErr(err)
	is.Equal(got, a)
	p := oriole.AssignmentPatch{Service: "s", Term: 3, Leader: "vm.1", BaseTerm: 2, BaseSeq: 3, Seq: 4, Fence: 9, Ranges: a.Ranges}
	gotPatch, err := roundTrip(t, oriolemessage.Frame{Patch: oriolemessage.FromPatch(p)}).Patch.ToPatch()
	is.NoErr(err)
	is.Equal(gotPatch, p)
}

// TestPriorLeasesAreNotShortened guards against a leader that takes the lease of a prior
// owner for shorter than its predecessor knew it to be.
func TestPriorLeasesAreNotShortened(t *testing.T) {
	is := is.New(t)
	a := assignment()
	a.PriorLeases = []oriole.PriorLease{{Owner: a.Ranges[0].Owner, Remaining: 4*time.Second + 1}}
	a.UnknownRemaining = time.Second + 1
	got, err := oriolemessage.FromAssignment(a).ToAssignment()
	is.NoErr(err)
	is.Equal(got.PriorLeases, []oriole.PriorLease{{Owner: a.Ranges[0].Owner, Remaining: 4*time.Second + time.Microsecond}})
	is.Equal(got.UnknownRemaining, time.Second+time.Microsecond)
	for _, remaining := range []int64{-1, 1 << 62} {
		m := oriolemessage.FromAssignment(a)
		m.PriorLeases[0].Remaining = remaining
		_, err := m.ToAssignment()
		is.True(errors.Is(err, oriolemessage.ErrMalformed))
		m = oriolemessage.FromAssignment(a)
		m.UnknownRemaining = &remaining
		_, err = m.ToAssignment()
		is.True(errors.Is(err, oriolemessage.ErrMalformed))
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	gap := assignment()
	gap.Ranges[1].First = 11
	for name, err := range map[string]error{
		"assignment with a gap":                 errOf(oriolemessage.FromAssignment(gap).ToAssignment()),
		"request without method":                errOf((&oriolemessage.Request{Service: "s"}).ToRequest(now)),
		"request with a shard key out of range": errOf((&oriolemessage.Request{Service: "s", Method: "GET", ShardKey: 65536}).ToRequest(now)),
		"response with an unknown outcome":      errOf((&oriolemessage.Response{Outcome: 9}).ToResponse()),
		"response with an invalid status":       errOf((&oriolemessage.Response{Outcome: 1, Status: 7}).ToResponse()),
		"hello with an invalid address":         errOf((&oriolemessage.Hello{Id: "a", Vm: "b", PeerAddr: "nowhere"}).ToMember()),
		"gateway without a weight":              errOf((oriolemessage.Gateway{Id: "a", Vm: "b", PeerAddr: "10.0.0.1:7"}).ToMember()),
		"patch with unsorted ranges":            errOf((&oriolemessage.Patch{Service: "s", Ranges: []oriolemessage.Range{{First: 5, Last: 9}, {First: 1, Last: 3}}}).ToPatch()),
		"entry without a configuration":         errOf(oriolemessage.Entry{}.ToConfig()),
		"entry without an upstream":             errOf(oriolemessage.Entry{}.ToUpstream()),
		"entry without a gateway":               errOf(oriolemessage.Entry{}.ToGateway()),
		"route without a service": errOf(oriolemessage.Entry{Config: &oriolemessage.Config{
			Version: 1, Routes: []oriolemessage.Route{{Name: "r"}},
		}}.ToConfig()),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(errors.Is(err, oriolemessage.ErrMalformed))
		})
	}
}

func errOf[T any](_ T, err error) error { return err }

func TestOversizeFramesAreRejected(t *testing.T) {
	is := is.New(t)
	_, err := oriolemessage.Encode(oriolemessage.Frame{Request: &oriolemessage.Request{Body: make([]byte, oriolemessage.MaxFrameSize)}})
	is.True(errors.Is(err, oriolemessage.ErrFrameTooLarge))
	_, err = oriolemessage.Decode[oriolemessage.Frame](make([]byte, oriolemessage.MaxFrameSize+1))
	is.True(errors.Is(err, oriolemessage.ErrFrameTooLarge))
}

// Decoding never panics, whatever a peer sends, and accepts only valid assignments
// and requests.
func FuzzDecode(f *testing.F) {
	for _, frame := range []oriolemessage.Frame{
		{Assignment: oriolemessage.FromAssignment(assignment())},
		{Request: oriolemessage.FromRequest(1, oriole.Request{ID: "1", Method: "GET", Pool: oriole.PoolID{Service: "s"}}, now)},
		{Hello: oriolemessage.FromMember(member)},
	} {
		data, err := oriolemessage.Encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(strings.Repeat("\x81", 100)))
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := oriolemessage.Decode[oriolemessage.Frame](data)
		if err != nil {
			return
		}
		if frame.Assignment != nil {
			if a, err := frame.Assignment.ToAssignment(); err == nil && !a.Valid() {
				t.Errorf("accepted invalid assignment %+v", a)
			}
		}
		if frame.Request != nil {
			if r, err := frame.Request.ToRequest(now); err == nil && r.Method == "" {
				t.Errorf("accepted invalid request %+v", r)
			}
		}
		_ = frame.Kind()
		if _, err := cbor.Marshal(frame); err != nil {
			t.Errorf("encoding a decoded frame: %v", err)
		}
	})
}

// TestHelloTellsOfDrain checks that a link's first message says whether its sender
// drains; a message without the field is from a gateway that doesn't say.
func TestHelloTellsOfDrain(t *testing.T) {
	is := is.New(t)
	draining := member
	draining.Draining = true
	for _, m := range []oriole.Member{member, draining} {
		received, err := roundTrip(t, oriolemessage.Frame{Hello: oriolemessage.FromMember(m)}).Hello.ToMember()
		is.NoErr(err)
		is.Equal(received, m)
	}
	data, err := cbor.Marshal(map[string]any{"hello": map[string]any{"id": "vm.1", "vm": "vm", "zone": "z", "peers": "10.0.0.1:7", "weight": 0.5}})
	is.NoErr(err)
	old, err := oriolemessage.Decode[oriolemessage.Frame](data)
	is.NoErr(err)
	received, err := old.Hello.ToMember()
	is.NoErr(err)
	is.Equal(received, member)
}

// TestBytesSurviveEncoding guards against losing requests and responses between gateways
// whose path or header fields are not UTF-8.
func TestBytesSurviveEncoding(t *testing.T) {
	is := is.New(t)
	const odd = "J\xe9r\xf4me \xff\x00"
	r := oriole.Request{
		ID: odd, Host: odd, Method: "POST", Target: "/a/" + odd, Header: http.Header{"X-Groom": {odd, "plain"}}, Body: []byte(odd),
		Pool: oriole.PoolID{Service: "s", Zone: "z"}, IdempotencyKey: odd, Deadline: now.Add(time.Second), SoftDeadline: now,
	}
	got, err := roundTrip(t, oriolemessage.Frame{Request: oriolemessage.FromRequest(1, r, now)}).Request.ToRequest(now)
	is.NoErr(err)
	r.Service = "s"
	is.Equal(got, r)
	resp := oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Header: http.Header{"X-Groom": {odd}}, Body: []byte(odd)}
	answered, err := roundTrip(t, oriolemessage.Frame{Response: oriolemessage.FromResponse(1, odd, resp)}).Response.ToResponse()
	is.NoErr(err)
	is.Equal(answered, resp)
}

// FuzzRequestBytes checks that what one gateway encodes another decodes to the same bytes.
func FuzzRequestBytes(f *testing.F) {
	f.Add("POST", "/a/%2F", "h", "X-Groom", "J\xe9r\xf4me", "id")
	f.Add("GET", "/\xff", "\xff", "A", "", "\x80")
	f.Fuzz(func(t *testing.T, method, target, host, name, value, id string) {
		if method == "" {
			return
		}
		r := oriole.Request{ID: id, Host: host, Method: method, Target: target, Header: http.Header{name: {value}}, Pool: oriole.PoolID{Service: "s"}}
		frame := oriolemessage.Frame{Request: oriolemessage.FromRequest(1, r, now)}
		data, err := oriolemessage.Encode(&frame)
		if errors.Is(err, oriolemessage.ErrFrameTooLarge) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		received, err := oriolemessage.Decode[oriolemessage.Frame](data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := received.Request.ToRequest(now)
		if err != nil {
			t.Fatal(err)
		}
		if got.ID != id || got.Host != host || got.Method != method || got.Target != target || got.Header[name][0] != value {
			t.Fatalf("%+v is decoded as %+v", r, got)
		}
	})
}
