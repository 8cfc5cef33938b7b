// Package orioleserver is the client of the servers: it runs requests on them
// and gives them their leases, over HTTP.
package orioleserver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Header fields of the protocol between gateways and servers.
const (
	HeaderRequest  = "Oriole-Request"
	HeaderTerm     = "Oriole-Term"
	HeaderGroup    = "Oriole-Group"
	HeaderSlice    = "Oriole-Slice"
	HeaderDeadline = "Oriole-Deadline"
	// HeaderRefused names why a server has not run a request. Without it, an
	// error status is an answer like any other.
	HeaderRefused = "Oriole-Refused"
)

// The values of HeaderRefused.
const (
	RefusedShed  = "shed"
	RefusedFence = "fence"
	RefusedDrain = "drain"
)

// Paths of the servers' own endpoints.
const (
	GrantPath  = "/oriole/grant"
	HealthPath = "/oriole/health"
)

// maxBody bounds the body of an answer, in bytes.
const maxBody = 1 << 20

// dialTimeout bounds the time to connect to a server.
const dialTimeout = 200 * time.Millisecond

// Client implements oriole.Granter and oriole.Runner.
type Client struct {
	fenced bool
	run    *http.Client
	grant  *http.Client
}

var (
	_ oriole.Granter = (*Client)(nil)
	_ oriole.Runner  = (*Client)(nil)
)

// New returns a client that holds at most conns connections for requests to
// each server, and a function that closes them. Servers that do not check
// grants are asked for their health instead.
func New(fenced bool, conns int) (client *Client, cleanup func()) {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	run := &http.Transport{DialContext: dial, MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns, DisableCompression: true}
	grant := &http.Transport{DialContext: dial, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		fenced: fenced,
		run:    &http.Client{Transport: run, CheckRedirect: refuseRedirect},
		grant:  &http.Client{Transport: grant},
	}, func() {
		run.CloseIdleConnections()
		grant.CloseIdleConnections()
	}
}

// Grant implements oriole.Granter.
func (c *Client) Grant(ctx context.Context, to oriole.Upstream, g oriole.Grant) (reply oriole.GrantReply, err error) {
	defer func() { err = errors.Wrapf(err, "granting a lease to %s", to.ID) }()
	if !c.fenced {
		return c.probe(ctx, to, g)
	}
	body, err := json.Marshal(oriolewire.FromGrant(g))
	if err != nil {
		return reply, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Addr.String()+GrantPath, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	answer, err := readAll(c.grant, req)
	if err != nil {
		return reply, err
	}
	var granted oriolewire.Granted
	err = json.Unmarshal(answer, &granted)
	return granted.ToGrantReply(), err
}

// probe asks a server that does not check grants for its health.
func (c *Client) probe(ctx context.Context, to oriole.Upstream, g oriole.Grant) (reply oriole.GrantReply, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.Addr.String()+HealthPath, nil)
	if err != nil {
		return reply, err
	}
	if _, err = readAll(c.grant, req); err != nil {
		return reply, err
	}
	return oriole.GrantReply{Accepted: true, Mark: time.Nanosecond, Term: g.Term}, nil
}

func readAll(client *http.Client, req *http.Request) (body []byte, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxBody))
}

// Run implements oriole.Runner. The request is sent once: an attempt that may
// have reached the server is never repeated here.
func (c *Client) Run(ctx context.Context, to oriole.Upstream, term oriole.Term, r oriole.Request) oriole.Answer {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		// Once there is a connection, a byte may be on its way.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := newRequest(ctx, to, term, r)
	if err != nil {
		return oriole.Refuse(oriole.ReasonBadAnswer)
	}
	resp, err := c.run.Do(req)
	if err != nil {
		return failed(ctx, to, sent.Load())
	}
	answer := readAnswer(resp, r)
	answer.Server = to.ID
	if answer.Reason == oriole.ReasonBadAnswer {
		// The connection is out of step. It was closed if any of its answer is
		// unread, and is idle by now if none is.
		c.run.CloseIdleConnections()
	}
	return answer
}

func newRequest(ctx context.Context, to oriole.Upstream, term oriole.Term, r oriole.Request) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(r.Body))
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+to.Addr.String()+r.Target, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	guardResend(req, r)
	req.Header.Set(HeaderRequest, r.ID)
	req.Header.Set(HeaderTerm, strconv.FormatUint(uint64(term), 10))
	req.Header.Set(HeaderGroup, string(r.Group))
	req.Header.Set(HeaderSlice, strconv.FormatUint(uint64(r.Slice), 10))
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadline, time.Until(deadline).String())
	}
	return req, nil
}

// guardResend keeps net/http from sending a request a second time once bytes of
// it were written. For a method that it takes for idempotent, a body that can't
// be rewound does so. For the others, it may start over while nothing was
// written, but must not see the idempotency key, which would lift that rule.
func guardResend(req *http.Request, r oriole.Request) {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return
	}
	req.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(r.Body)), nil
	}
	if values, found := req.Header["Idempotency-Key"]; found {
		delete(req.Header, "Idempotency-Key")
		req.Header["idempotency-key"] = values
	}
	delete(req.Header, "X-Idempotency-Key")
}

// failed tells a request that was not sent from one that may have run.
func failed(ctx context.Context, to oriole.Upstream, sent bool) oriole.Answer {
	answer := oriole.Refuse(oriole.ReasonConnection)
	if sent {
		answer = oriole.Lost(oriole.ReasonConnection)
		if ctx.Err() != nil {
			answer.Reason = oriole.ReasonDeadline
		}
	}
	answer.Server = to.ID
	return answer
}

// readAnswer reads the whole answer. One that is short, too large, or meant
// for another request is not passed on, and its connection is closed.
func readAnswer(resp *http.Response, r oriole.Request) oriole.Answer {
	defer func() { _ = resp.Body.Close() }()
	if refused := resp.Header.Get(HeaderRefused); refused != "" {
		_, _ = io.CopyN(io.Discard, resp.Body, maxBody)
		return oriole.Refuse(refusal(refused))
	}
	if resp.Header.Get(HeaderRequest) != r.ID {
		return oriole.Lost(oriole.ReasonBadAnswer)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		// The server had begun to answer, so this is no sign of a crash.
		return oriole.Lost(oriole.ReasonBadAnswer)
	case len(body) > maxBody:
		return oriole.Lost(oriole.ReasonTooLarge)
	}
	return oriole.Answer{
		Outcome: oriole.OutcomeAnswered,
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    body,
	}
}

func refusal(word string) oriole.Reason {
	switch word {
	case RefusedFence:
		return oriole.ReasonFenced
	case RefusedDrain:
		return oriole.ReasonDrain
	}
	return oriole.ReasonShed
}
