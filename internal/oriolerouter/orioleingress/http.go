package orioleingress

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleclients"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleroute"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleworkspace"
)

const (
	// responseMargin is subtracted from a caller's timeout to leave time for
	// the response to arrive: a few milliseconds in one region.
	responseMargin = 8 * time.Millisecond
	// noConfigRetryAfter is the retry delay sent to callers until the gateway
	// has received a configuration.
	noConfigRetryAfter = 200 * time.Millisecond
	// bufferFullRetryAfter is the retry delay sent to callers whose request would
	// exceed the bytes that clients may hold.
	bufferFullRetryAfter = 500 * time.Millisecond
	// staleConfigRetryAfter is the retry delay sent to callers whose API key can't be
	// checked; another gateway may know.
	staleConfigRetryAfter = 200 * time.Millisecond
	// discardTimeout is how long the rest of a body is discarded after its request
	// was refused. Closing a connection with unread bytes resets it, and the caller
	// may lose the response.
	discardTimeout = 500 * time.Millisecond
)

// Header fields of orioleswitch itself, in addition to those of the platform's
// dialect.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "Oriole-Outcome"
	headerReason         = "Oriole-Reason"
	// maxIdempotencyKeyBytes limits the size of an idempotency key, since
	// dispatchers store thousands of them.
	maxIdempotencyKeyBytes = 256
)

// Handler is the HTTP front end for callers.
type Handler struct {
	forwarder *Forwarder
	dialect   oriole.Dialect
	routes    atomic.Pointer[routeTable]
}

// routeTable is the routing table of one configuration version.
type routeTable struct {
	version oriole.ConfigVersion
	table   *orioleroute.Table
	keys    *orioleworkspace.Table
}

// NewHandler returns a front end that sends requests through the forwarder.
func NewHandler(forwarder *Forwarder, dialect oriole.Dialect) *Handler {
	return &Handler{forwarder: forwarder, dialect: dialect}
}

// tables returns the tables of the configuration, or of a newer one for which another
// request has already built them.
func (h *Handler) tables(cfg *oriole.Config) *routeTable {
	for {
		current := h.routes.Load()
		if current != nil && current.version >= cfg.Version {
			return current
		}
		next := &routeTable{cfg.Version, orioleroute.New(cfg.Routes), orioleworkspace.New(cfg)}
		if h.routes.CompareAndSwap(current, next) {
			return next
		}
	}
}

// rejection is the response to a request that the front end rejects itself.
type rejection struct {
	status     int
	reason     oriole.Reason
	retryAfter time.Duration
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := h.forwarder.cfg.Clock.Now()
	request, route, rejected, err := h.parse(w, r, start)
	bodySize := int64(cap(request.Body))
	if err != nil {
		// The body could not be read because the caller is gone, so no
		// response is possible.
		panic(http.ErrAbortHandler)
	}
	if rejected != nil {
		holder, _ := holderOf(r)
		holder.Shrink(bodySize)
		h.forwarder.logRejected(request.ID, r.Host, r.URL.Path, *rejected)
		h.reject(w, r, request, *rejected)
		return
	}
	resp := h.forwarder.Do(r.Context(), request, max(route.MaxAttempts, 1))
	request.Body = nil
	resp, release := holdResponse(r, time.Now(), bodySize, resp)
	defer release()
	h.forwarder.cfg.Metrics.ObserveLatency(resp.Reason.String(), h.forwarder.cfg.Clock.Now().Sub(start))
	h.forwarder.cfg.Metrics.Add("entry_"+resp.Outcome.String()+"_"+resp.Reason.String(), 1)
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	h.writeResponse(w, r, request, resp)
}

// parse converts the HTTP request to an [oriole.Request], or returns a
// rejection. It returns an error if the body could not be read.
func (h *Handler) parse(w http.ResponseWriter, r *http.Request, now time.Time) (request oriole.Request, route oriole.Route, rejected *rejection, err error) {
	id, shardKey, hasShardKey, callerTimeout, err := h.dialect.FromCaller(r.Header)
	request = oriole.Request{ID: id, ShardKey: shardKey, HasShardKey: hasShardKey}
	if err != nil {
		return request, route, &rejection{status: http.StatusBadRequest}, nil
	}
	if request.IdempotencyKey = r.Header.Get(headerIdempotencyKey); len(request.IdempotencyKey) > maxIdempotencyKeyBytes {
		return request, route, &rejection{status: http.StatusBadRequest}, nil
	}
	// Asked before the configuration is read: a later one may take effect and be confirmed
	// meanwhile.
	confirmed := h.forwarder.cfg.Confirmed == nil || h.forwarder.cfg.Confirmed()
	cfg := h.forwarder.cfg.State.Snapshot().Config
	if cfg == nil {
		return request, route, &rejection{http.StatusServiceUnavailable, oriole.ReasonNoOwner, noConfigRetryAfter}, nil
	}
	if headerBytes(r) > cfg.Limits.MaxHeaderBytes && cfg.Limits.MaxHeaderBytes > 0 {
		return request, route, &rejection{status: http.StatusRequestHeaderFieldsTooLarge}, nil
	}
	tables := h.tables(cfg)
	route, service, found := tables.table.Find(r.Host, orioleroute.PathOf(r.RequestURI))
	if !found {
		return request, route, &rejection{status: http.StatusNotFound}, nil
	}
	if !route.Idempotent || route.LargeBodies {
		waited, err := awaitTurn(r.Context())
		if err != nil {
			return request, route, nil, errors.Wrap(err, "wait for earlier requests of the connection")
		}
		if waited {
			// The configuration may have changed. The caller's time goes on.
			return h.parse(w, r, now)
		}
	}
	request.Priority = route.Priority
	if rejected := h.authenticate(tables, route, r.Header, &request, confirmed); rejected != nil {
		return request, route, rejected, nil
	}
	holder, _ := holderOf(r)
	if r.ContentLength > cfg.Limits.MaxBodyBytes {
		w.Header().Set("Connection", "close")
		return request, route, &rejection{status: http.StatusRequestEntityTooLarge}, nil
	}
	if !holder.Fits(r.ContentLength) {
		return request, route, &rejection{http.StatusServiceUnavailable, oriole.ReasonQueueFull, bufferFullRetryAfter}, nil
	}
	timeout := route.Timeout
	if callerTimeout > 0 {
		timeout = min(timeout, callerTimeout-responseMargin)
	}
	request.Deadline = now.Add(timeout)
	body, rejected, err := h.readBody(w, r, cfg.Limits.MaxBodyBytes, request.Deadline)
	if rejected != nil || err != nil {
		return request, route, rejected, err
	}
	request.Service = service
	request.Host = r.Host
	request.Method = r.Method
	request.Target = r.RequestURI
	request.Header = h.dialect.Forwarded(r.Header)
	if request.Keyed {
		// Peers get this header too.
		h.dialect.WithoutCredential(request.Header)
	}
	request.Body = body
	request.Idempotent = route.Idempotent
	request.SoftDeadline = now.Add(route.LatencyTarget)
	return request, route, h.charge(r.Context(), request), nil
}

// authenticate sets the workspace of the request, or returns a rejection. confirmed says
// whether the configuration is recent enough to tell which API keys are valid.
func (h *Handler) authenticate(tables *routeTable, route oriole.Route, header http.Header, request *oriole.Request, confirmed bool) *rejection {
	if tables.keys == nil {
		return nil
	}
	request.Keyed, request.AdmittedBy = true, tables.version
	request.Priority = orioleworkspace.Priority(oriole.Workspace{}, route)
	secret, found := h.dialect.Credential(header)
	key := oriole.DigestKey(string(secret))
	workspace, known := tables.keys.Find(key)
	switch {
	case (!found || !known) && route.Public:
		return nil
	case !found, confirmed && !known:
		return &rejection{status: http.StatusUnauthorized, reason: oriole.ReasonUnauthorized}
	case !confirmed && route.Public:
		return nil
	case !confirmed:
		// A newer configuration may list a key that this one doesn't, or lack one that it
		// does.
		return &rejection{http.StatusServiceUnavailable, oriole.ReasonStaleConfig, staleConfigRetryAfter}
	}
	request.Workspace, request.Key = workspace.Name, key
	request.Priority = orioleworkspace.Priority(workspace, route)
	return nil
}

// charge takes a token of the request's workspace, or returns a rejection.
func (h *Handler) charge(ctx context.Context, request oriole.Request) *rejection {
	if request.Workspace == "" || h.forwarder.cfg.Quota == nil {
		return nil
	}
	ok, retryAfter := h.forwarder.cfg.Quota.Take(ctx, request.Workspace)
	if ok {
		return nil
	}
	return &rejection{http.StatusTooManyRequests, oriole.ReasonOverLimit, retryAfter}
}

// bodyDeadline is the read deadline of a connection on which a body arrives.
type bodyDeadline struct {
	mu      sync.Mutex
	control *http.ResponseController
	// read is set once the body has been read or given up, and expired once it must be
	// given up.
	read, expired bool
}

// extend sets the deadline, unless the read has ended or must end.
func (d *bodyDeadline) extend(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.read && !d.expired {
		// A server that can't set a deadline is one of a test.
		_ = d.control.SetReadDeadline(until)
	}
}

// expire ends the read of the body, unless it has ended.
func (d *bodyDeadline) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expired = true
	if !d.read {
		_ = d.control.SetReadDeadline(time.Unix(1, 0))
	}
}

// end replaces the deadline by one for what follows the body; a zero time means
// none.
func (d *bodyDeadline) end(next time.Time) {
	d.release()
	_ = d.control.SetReadDeadline(next)
}

// release leaves the deadline to others from now on.
func (d *bodyDeadline) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.read = true
}

// readBody reads the body of a request, which may come slowly or without end. Its
// capacity is held by its connection, unless the request is rejected or reading fails.
// The body of a request that the gateway can't serve before it stops is not read.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (body []byte, rejected *rejection, err error) {
	control := http.NewResponseController(w)
	read := &bodyDeadline{control: control}
	defer read.release()
	reader := newBodyReader(r, http.MaxBytesReader(w, r.Body, limit), read, deadline)
	if r.ContentLength != 0 {
		stop := context.AfterFunc(h.forwarder.stopping, func() {
			if !h.forwarder.admits(deadline) {
				read.expire()
			}
		})
		defer stop()
	}
	if !h.forwarder.admits(deadline) {
		read.end(time.Now().Add(discardTimeout))
		return nil, &rejection{http.StatusServiceUnavailable, oriole.ReasonDraining, drainRetryAfter}, nil
	}
	body, err = reader.readAll(r.ContentLength)
	if err == nil {
		read.end(time.Time{})
		return body, nil, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &rejection{status: http.StatusRequestEntityTooLarge}, nil
	case errors.Is(err, orioleclients.ErrFull):
		read.end(time.Now().Add(discardTimeout))
		return nil, &rejection{http.StatusServiceUnavailable, oriole.ReasonQueueFull, bufferFullRetryAfter}, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && !h.forwarder.admits(deadline):
		read.end(time.Now().Add(discardTimeout))
		return nil, &rejection{http.StatusServiceUnavailable, oriole.ReasonDraining, drainRetryAfter}, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		reader.reportSlow()
		w.Header().Set("Connection", "close")
		return nil, &rejection{status: http.StatusRequestTimeout}, nil
	}
	return nil, nil, errors.Wrap(err, "read request body")
}

// headerBytes returns the size of the request line and header as sent, without
// optional white space.
func headerBytes(r *http.Request) int {
	const lineEnd, spaces, colon = 2, 2, 1
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + spaces + lineEnd + len("Host") + colon + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + colon + len(value) + lineEnd
		}
	}
	return n + lineEnd
}

func (h *Handler) reject(w http.ResponseWriter, r *http.Request, request oriole.Request, rejected rejection) {
	if rejected.reason != oriole.ReasonNone {
		resp := oriole.NotRunResponse(rejected.reason)
		resp.RetryAfter = rejected.retryAfter
		h.forwarder.cfg.Metrics.Add("entry_"+resp.Outcome.String()+"_"+resp.Reason.String(), 1)
		h.writeResponse(w, r, request, resp)
		return
	}
	h.dialect.ToCaller(w.Header(), request, oriole.Response{Outcome: oriole.OutcomeAnswered})
	h.forwarder.cfg.Metrics.Add("entry_status_"+strconv.Itoa(rejected.status), 1)
	http.Error(w, http.StatusText(rejected.status), rejected.status)
}

// writeResponse writes the upstream's response, or an error with the outcome and
// reason if there is none.
func (h *Handler) writeResponse(w http.ResponseWriter, r *http.Request, request oriole.Request, resp oriole.Response) {
	header := w.Header()
	if resp.Outcome != oriole.OutcomeAnswered {
		h.dialect.ToCaller(header, request, resp)
		if resp.Reason == oriole.ReasonDraining && mayClose(r.Context()) {
			// The caller's next request should reach another gateway.
			header.Set("Connection", "close")
		}
		header.Set(headerOutcome, resp.Outcome.String())
		header.Set(headerReason, resp.Reason.String())
		http.Error(w, resp.Outcome.String()+": "+resp.Reason.String(), statusFor(resp))
		return
	}
	for name, values := range h.dialect.Forwarded(resp.Header) {
		header[name] = values
	}
	if _, hasType := header["Content-Type"]; !hasType {
		// Prevent net/http from guessing the type from the body.
		header["Content-Type"] = nil
	}
	if request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	w.WriteHeader(resp.Status)
	// An error means that the caller is gone.
	_, _ = w.Write(resp.Body)
}

// statusFor returns the HTTP status of a response that the gateway generates.
// 503 means that the request has not run and will not run.
func statusFor(resp oriole.Response) int {
	switch {
	case resp.Reason == oriole.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case resp.Outcome == oriole.OutcomeNotRun && resp.Reason == oriole.ReasonUnauthorized:
		return http.StatusUnauthorized
	case resp.Outcome == oriole.OutcomeNotRun && resp.Reason == oriole.ReasonOverLimit:
		return http.StatusTooManyRequests
	case resp.Outcome == oriole.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case resp.Reason == oriole.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// loadReportInterval is how often the load of keys is reported to the leaders.
const loadReportInterval = 400 * time.Millisecond

// LoadReportDuty periodically reports the load of keys to the leaders of
// services.
type LoadReportDuty struct {
	Forwarder *Forwarder
	Timers    oriole.Timers
}

func (d *LoadReportDuty) String() string { return "report loads" }

// Serve implements suture.Service.
func (d *LoadReportDuty) Serve(ctx context.Context) error {
	ticks, stop := d.Timers.Subscribe(loadReportInterval)
	defer stop()
	for {
		select {
		case <-ticks:
			for service, counts := range d.Forwarder.TakeLoadCounts() {
				d.Forwarder.cfg.ReportLoad(ctx, service, counts)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
