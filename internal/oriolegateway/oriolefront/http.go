package oriolefront

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Header fields of the protocol with callers; docs/CALLERS.md describes them.
const (
	HeaderOutcome  = "Oriole-Outcome"
	HeaderReason   = "Oriole-Reason"
	HeaderDeadline = "Oriole-Deadline"
	HeaderToken    = "Idempotency-Key"
)

// maxToken bounds an idempotency key, in bytes.
const maxToken = 256

// hopHeaders are the fields that concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalPrefix begins the fields that gateways and servers use among
// themselves: callers can't send them.
const internalPrefix = "Oriole-"

// Handler is the HTTP front end.
type Handler struct {
	entry *Entry
	gate  oriole.Gate
	next  atomic.Uint64
	ready func() bool
}

// NewHandler returns the front end of the entry.
func NewHandler(entry *Entry, gate oriole.Gate, ready func() bool) *Handler {
	return &Handler{entry: entry, gate: gate, ready: ready}
}

// ServeHTTP answers one caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/live":
		w.WriteHeader(http.StatusOK)
		return
	case "/ready":
		h.serveReady(w)
		return
	}
	h.gate.Wait(r.Context())
	start := h.entry.cfg.Clock.Now()
	request, status, problem := h.parse(w, r, start)
	if problem != "" {
		w.Header().Set(HeaderOutcome, oriole.OutcomeNotRun.String())
		http.Error(w, problem, status)
		return
	}
	answer := h.entry.Do(r.Context(), request)
	h.gate.Wait(r.Context())
	h.entry.cfg.Metrics.Latency(h.entry.cfg.Clock.Now().Sub(start))
	h.entry.cfg.Metrics.Add("outcome_"+answer.Outcome.String(), 1)
	writeAnswer(w, answer)
}

func (h *Handler) serveReady(w http.ResponseWriter) {
	if !h.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// parse turns the HTTP request into a core one, or returns the status and the
// text of a refusal.
func (h *Handler) parse(w http.ResponseWriter, r *http.Request, now time.Time) (request oriole.Request, status int, problem string) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	key, _, _ := strings.Cut(rest, "/")
	settings := h.entry.cfg.Settings()
	service, found := settings.Services[oriole.ServiceName(name)]
	if !found {
		return request, http.StatusNotFound, "path: no service is called " + strconv.Quote(name)
	}
	if key == "" {
		return request, http.StatusBadRequest, "path: the part after the service must be a key"
	}
	token := r.Header.Get(HeaderToken)
	if len(token) > maxToken {
		return request, http.StatusBadRequest, HeaderToken + ": more than " + strconv.Itoa(maxToken) + " characters"
	}
	span, err := deadlineOf(r, time.Duration(service.Deadline))
	if err != nil {
		return request, http.StatusBadRequest, HeaderDeadline + ": " + err.Error()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(settings.Limits.Body)))
	if err != nil {
		return request, http.StatusRequestEntityTooLarge, "body: more than " + strconv.Itoa(settings.Limits.Body) + " bytes, or cut off"
	}
	request = oriole.Request{
		ID:         h.entry.NewID(h.next.Add(1)),
		Service:    oriole.ServiceName(name),
		Key:        key,
		Method:     r.Method,
		Target:     r.URL.RequestURI(),
		Header:     forwardHeader(r),
		Body:       body,
		Idempotent: slices.Contains(service.Idempotent, r.Method),
		Token:      token,
		Deadline:   now.Add(span),
	}
	h.entry.Route(&request)
	return request, 0, ""
}

// deadlineOf returns the caller's deadline, within the service's longest.
func deadlineOf(r *http.Request, longest time.Duration) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return longest, nil
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return 0, err
	}
	return min(span, longest), nil
}

// forwardHeader returns the fields that go on to the server.
func forwardHeader(r *http.Request) http.Header {
	header := r.Header.Clone()
	for _, named := range header.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, internalPrefix) {
			delete(header, name)
		}
	}
	header.Del("Content-Length")
	header.Add("Via", "1.1 orioleswitch")
	return header
}

func writeAnswer(w http.ResponseWriter, a oriole.Answer) {
	header := w.Header()
	header.Set(HeaderOutcome, a.Outcome.String())
	if a.Outcome != oriole.OutcomeAnswered {
		header.Set(HeaderReason, a.Reason.String())
		http.Error(w, a.Outcome.String()+": "+a.Reason.String(), statusOf(a))
		return
	}
	for name, values := range a.Header {
		if !slices.Contains(hopHeaders, name) && !strings.HasPrefix(name, internalPrefix) && name != "Content-Length" {
			header[name] = values
		}
	}
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// statusOf returns the status of a request that was not answered: 503 if it
// has not run, 504 if time ran out on it, 502 if it was lost.
func statusOf(a oriole.Answer) int {
	switch {
	case a.Outcome == oriole.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case a.Reason == oriole.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
