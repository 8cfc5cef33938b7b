package oriolefront

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolesight"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolehash"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

// fakeKeepers plays the views, the peers and the queue of a gateway.
type fakeKeepers struct {
	keeper  oriole.GatewayID
	changed chan struct{}
	// answers are given in order; the last one is repeated.
	answers []oriole.Answer
	asked   []oriole.Request
}

func (f *fakeKeepers) View(group oriole.GroupID) (oriole.View, <-chan struct{}) {
	return oriole.View{Group: group, Term: 2, Keeper: f.keeper}, f.changed
}

func (f *fakeKeepers) Ask(_ context.Context, _ oriole.GatewayID, r oriole.Request) oriole.Answer {
	f.asked = append(f.asked, r)
	answer := f.answers[0]
	if len(f.answers) > 1 {
		f.answers = f.answers[1:]
	}
	return answer
}

func (f *fakeKeepers) Submit(ctx context.Context, r oriole.Request, reply func(oriole.Answer)) {
	reply(f.Ask(ctx, "self", r))
}

func testSettings() *orioleconfig.Settings {
	settings := orioleconfig.Default()
	settings.Limits.Body = 100
	settings.Services = map[oriole.ServiceName]orioleconfig.Service{
		"stall-board": {
			Divided: true, Slices: 240, Groups: 5,
			Idempotent: []string{"GET"},
			Deadline:   orioleconfig.Span(200 * time.Millisecond),
		},
	}
	settings.Index()
	return &settings
}

func newTestEntry(f *fakeKeepers) *Entry {
	settings := testSettings()
	return NewEntry(EntryConfig{
		Self:     "self",
		Settings: func() *orioleconfig.Settings { return settings },
		Clock:    orioletimer.New(),
		Hasher:   oriolehash.XX{},
		Views:    f,
		Peers:    f,
		Work:     f,
		Metrics:  oriolesight.NewMetrics(),
	})
}

func TestEntryTriesAgainOnlyWhenItMay(t *testing.T) {
	answered := oriole.Answer{Outcome: oriole.OutcomeAnswered, Status: 200}
	notKeeper := oriole.Refuse(oriole.ReasonNotKeeper)
	linkLost := oriole.Lost(oriole.ReasonConnection)
	serverLost := oriole.Answer{Outcome: oriole.OutcomeUnknown, Reason: oriole.ReasonConnection, Server: "u1"}
	tests := []struct {
		name       string
		idempotent bool
		answers    []oriole.Answer
		want       oriole.Answer
		tries      int
	}{
		{"answered", false, []oriole.Answer{answered}, answered, 1},
		{"keeper moved", false, []oriole.Answer{notKeeper, notKeeper, answered}, answered, 3},
		{"link lost, idempotent", true, []oriole.Answer{linkLost, answered}, answered, 2},
		{"link lost, not idempotent", false, []oriole.Answer{linkLost, answered}, linkLost, 1},
		{"server lost, idempotent", true, []oriole.Answer{serverLost, answered}, serverLost, 1},
		{"link lost, then queue full", true, []oriole.Answer{linkLost, oriole.Refuse(oriole.ReasonQueueFull)}, oriole.Lost(oriole.ReasonQueueFull), 2},
		{"queue full", true, []oriole.Answer{oriole.Refuse(oriole.ReasonQueueFull)}, oriole.Refuse(oriole.ReasonQueueFull), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeKeepers{keeper: "other", answers: test.answers}
			e := newTestEntry(f)
			got := e.Do(context.Background(), oriole.Request{ID: "r", Idempotent: test.idempotent, Deadline: time.Now().Add(time.Second)})
			is.Equal(got, test.want)
			is.Equal(len(f.asked), test.tries)
		})
	}
}

func TestEntryNeverCallsALostRequestNotRun(t *testing.T) {
	is := is.New(t)
	f := &fakeKeepers{keeper: "other", answers: []oriole.Answer{
		oriole.Lost(oriole.ReasonConnection), oriole.Refuse(oriole.ReasonNotKeeper),
	}}
	e := newTestEntry(f)
	got := e.Do(context.Background(), oriole.Request{ID: "r", Idempotent: true, Deadline: time.Now().Add(50 * time.Millisecond)})
	is.Equal(got.Outcome, oriole.OutcomeUnknown)
}

func TestHTTP(t *testing.T) {
	answered := oriole.Answer{
		Outcome: oriole.OutcomeAnswered,
		Status:  http.StatusCreated,
		Header:  http.Header{"Content-Type": {"text/plain"}, "Connection": {"close"}, "Oriole-Request": {"r"}},
		Body:    []byte("done"),
	}
	tests := []struct {
		name    string
		request *http.Request
		answer  oriole.Answer
		status  int
		outcome string
		body    string
	}{
		{"answered", httptest.NewRequest("POST", "/stall-board/k/feed", strings.NewReader("hay")), answered, 201, "answered", "done"},
		{"no such service", httptest.NewRequest("GET", "/nope/k", nil), answered, 404, "not-run", "service"},
		{"no key", httptest.NewRequest("GET", "/stall-board/", nil), answered, 400, "not-run", "key"},
		{"body too large", httptest.NewRequest("POST", "/stall-board/k", strings.NewReader(strings.Repeat("x", 101))), answered, 413, "not-run", "body"},
		{"not run", httptest.NewRequest("GET", "/stall-board/k", nil), oriole.Refuse(oriole.ReasonQueueFull), 503, "not-run", "queue-full"},
		{"lost", httptest.NewRequest("GET", "/stall-board/k", nil), oriole.Answer{Reason: oriole.ReasonBadAnswer, Server: "u"}, 502, "unknown", "bad-answer"},
		{"timeout", httptest.NewRequest("GET", "/stall-board/k", nil), oriole.Lost(oriole.ReasonDeadline), 504, "unknown", "deadline"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeKeepers{keeper: "other", answers: []oriole.Answer{test.answer}}
			handler := NewHandler(newTestEntry(f), oriole.OpenGate{}, func() bool { return true })
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, test.request)
			is.Equal(w.Code, test.status)
			is.Equal(w.Header().Get(HeaderOutcome), test.outcome)
			is.True(strings.Contains(w.Body.String(), test.body))
			is.Equal(w.Header().Get("Connection"), "")     // concerns one connection only
			is.Equal(w.Header().Get("Oriole-Request"), "") // internal
		})
	}
}

func TestCallersCannotForgeInternalFields(t *testing.T) {
	is := is.New(t)
	f := &fakeKeepers{keeper: "other", answers: []oriole.Answer{{Outcome: oriole.OutcomeAnswered, Status: 200}}}
	handler := NewHandler(newTestEntry(f), oriole.OpenGate{}, func() bool { return true })
	r := httptest.NewRequest("GET", "/stall-board/k", nil)
	r.Header.Set("Oriole-Term", "99")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("X-Kept", "1")
	handler.ServeHTTP(httptest.NewRecorder(), r)
	header := f.asked[0].Header
	is.Equal(header.Get("Oriole-Term"), "")
	is.Equal(header.Get("X-Hop"), "")
	is.Equal(header.Get("X-Kept"), "1")
}

// BenchmarkRoute measures the decision of where a request goes.
func BenchmarkRoute(b *testing.B) {
	f := &fakeKeepers{keeper: "other"}
	e := newTestEntry(f)
	r := oriole.Request{Service: "stall-board", Key: "stall-1234"}
	b.ReportAllocs()
	for range b.N {
		e.Route(&r)
		e.cfg.Views.View(r.Group)
	}
}
