package orioleupstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Sender implements [oriole.Sender] with a client and a dialect, which translates
// header fields to and from those of the platform.
type Sender struct {
	client  *Client
	dialect oriole.Dialect
	clock   oriole.Clock
}

var _ oriole.Sender = (*Sender)(nil)

func NewSender(client *Client, dialect oriole.Dialect, clock oriole.Clock) *Sender {
	return &Sender{client: client, dialect: dialect, clock: clock}
}

// Send implements [oriole.Sender].
func (s *Sender) Send(ctx context.Context, to oriole.Upstream, r oriole.Request) oriole.Response {
	remaining := r.Deadline.Sub(s.clock.Now())
	if remaining <= 0 {
		return oriole.NotRunResponse(oriole.ReasonDeadline)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	var info oriole.ResponseInfo
	// Each response, also to an earlier request, may state something of the upstream.
	var stated oriole.Response
	resp, err := s.client.Do(ctx, Call{
		To:        to,
		RequestID: r.ID,
		Request:   newRequest(r, s.dialect.ToUpstream(to, r, remaining)),
		Head: func(resp *http.Response) {
			info = s.dialect.FromUpstream(resp.StatusCode, resp.Header, r)
			stated.IgnoredFields += info.IgnoredFields
			stated.Pause = max(stated.Pause, info.Pause)
			stated.Limit = &info.Limit
			if info.Leaving {
				stated.Leaving = to.Incarnation()
			}
		},
		MatchesRequest: func(*http.Response) bool { return info.MatchesRequest },
		Unnamed:        func() bool { return info.Unnamed },
		NewConn:        r.ID == "",
		MayRepeat:      func() bool { return info.Outcome != oriole.OutcomeAnswered },
		IdleTimeout:    func(http.Header) time.Duration { return info.IdleTimeout },
	})
	if err != nil {
		response := errorResponse(ctx, to, err)
		response.Leaving, response.Pause, response.Limit, response.IgnoredFields = stated.Leaving, stated.Pause, stated.Limit, stated.IgnoredFields
		return response
	}
	response := stated
	response.Outcome, response.Reason, response.Server = info.Outcome, info.Reason, to.ID
	if info.Outcome == oriole.OutcomeAnswered {
		response.Status, response.Header, response.Body = resp.Status, resp.Header, resp.Body
	}
	return response
}

// newRequest converts a request for net/http. URL.Opaque keeps net/http from
// escaping the request target.
func newRequest(r oriole.Request, header http.Header) *http.Request {
	if _, found := header["User-Agent"]; !found {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	req := &http.Request{
		Method: r.Method,
		URL:    &url.URL{Scheme: "http", Host: r.Host, Opaque: r.Target},
		Host:   r.Host,
		Header: header,
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	return req
}

// errorResponse returns the response for a call that failed. Its outcome is not
// run if no byte was sent, and otherwise unknown, as the upstream may have run
// the request.
func errorResponse(ctx context.Context, to oriole.Upstream, err error) oriole.Response {
	response := oriole.UnknownResponse(oriole.ReasonConnection)
	switch {
	case errors.Is(err, oriole.ErrUnreachable):
		response = oriole.NotRunResponse(oriole.ReasonUnreachable)
	case errors.Is(err, oriole.ErrNotSent):
		response = oriole.NotRunResponse(oriole.ReasonConnection)
		response.Refused = errors.Is(err, oriole.ErrConnRefused)
	case errors.Is(err, ErrBadResponse):
		response.Reason = oriole.ReasonBadResponse
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		response.Reason = oriole.ReasonDeadline
	case ctx.Err() != nil:
		response.Reason = oriole.ReasonCancelled
	}
	response.Server, response.Cause = to.ID, err.Error()
	return response
}
