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

// Sender implements oriole.Sender over a client, in the dialect of a platform.
type Sender struct {
	client  *Client
	dialect oriole.Dialect
	clock   oriole.Clock
}

var _ oriole.Sender = (*Sender)(nil)

// NewSender returns a sender over the client.
func NewSender(client *Client, dialect oriole.Dialect, clock oriole.Clock) *Sender {
	return &Sender{client: client, dialect: dialect, clock: clock}
}

// Send implements oriole.Sender.
func (s *Sender) Send(ctx context.Context, to oriole.Upstream, r oriole.Request) oriole.Answer {
	left := r.Deadline.Sub(s.clock.Now())
	if left <= 0 {
		return oriole.Refuse(oriole.ReasonDeadline)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	var verdict oriole.Verdict
	resp, err := s.client.Do(ctx, Call{
		To:      to,
		Request: newRequest(r, s.dialect.ToUpstream(to, r, left)),
		Mine: func(resp *http.Response) bool {
			verdict = s.dialect.FromUpstream(resp.StatusCode, resp.Header, r)
			return verdict.Mine
		},
		Idle: func(http.Header) time.Duration { return verdict.Idle },
	})
	if err != nil {
		return failed(ctx, to, err)
	}
	answer := oriole.Answer{Outcome: verdict.Outcome, Reason: verdict.Reason, Server: to.ID}
	if verdict.Outcome == oriole.OutcomeAnswered {
		answer.Status, answer.Header, answer.Body = resp.Status, resp.Header, resp.Body
	}
	return answer
}

// newRequest returns the request as net/http writes it, its target unchanged.
func newRequest(r oriole.Request, header http.Header) *http.Request {
	if _, found := header["User-Agent"]; !found {
		// net/http would add its own.
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

// failed tells a request that was not sent from one that may have run.
func failed(ctx context.Context, to oriole.Upstream, err error) oriole.Answer {
	answer := oriole.Lost(oriole.ReasonConnection)
	switch {
	case errors.Is(err, oriole.ErrNotSent), errors.Is(err, oriole.ErrUnreachable):
		answer = oriole.Refuse(oriole.ReasonConnection)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		answer.Reason = oriole.ReasonDeadline
	case ctx.Err() != nil:
		answer.Reason = oriole.ReasonCancelled
	}
	answer.Server = to.ID
	return answer
}
