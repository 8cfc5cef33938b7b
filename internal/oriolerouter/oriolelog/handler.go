// Package oriolelog writes a gateway's log without blocking the goroutines that
// log: lines pass through a bounded ring to a single writer duty, at a limited
// rate, and dropped lines are counted and reported.
package oriolelog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"golang.org/x/time/rate"

	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
)

const (
	// ringSize is the maximum number of lines waiting to be written.
	ringSize = 1024
	// linesPerSecond and burst limit the write rate. At about 300 bytes a line
	// this is 60 KB/s and a few thousandths of a core.
	linesPerSecond = 200
	burst          = 600
	// overloadSampleOneIn logs one request in this many while at most half of the
	// burst is left. It is large enough to stay within the rate limit in a
	// tenfold overload.
	overloadSampleOneIn = 8
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
)

// Handler implements log.Handler. It queues lines, and Serve writes them.
type Handler struct {
	ring    *oriolering.Ring[*log.Entry]
	out     log.Handler
	limiter *rate.Limiter
	clock   *orioletelemetry.LogicalClock
	dropped atomic.Int64
}

// New returns a handler that writes JSON lines to w, each with a timestamp of
// the logical clock.
func New(w io.Writer, clock *orioletelemetry.LogicalClock) *Handler {
	return &Handler{
		clock:   clock,
		ring:    oriolering.New[*log.Entry](ringSize),
		out:     json.New(w),
		limiter: rate.NewLimiter(linesPerSecond, burst),
	}
}

// HandleLog implements log.Handler. It never blocks.
func (h *Handler) HandleLog(e *log.Entry) error {
	e.Fields[FieldClock] = h.clock.Tick()
	if !h.selected(e) || !h.limiter.Allow() || !h.ring.Offer(e) {
		h.dropped.Add(1)
	}
	return nil
}

// selected reports whether the line may be written. Once half of the limiter's
// burst is used up, lines of requests that are not sampled may not. All gateways
// sample the same requests.
func (h *Handler) selected(e *log.Entry) bool {
	id, hasID := e.Fields[FieldRequestID].(string)
	return !hasID || h.limiter.Tokens() > burst/2 || Sampled(id, overloadSampleOneIn)
}

// Dropped returns the number of lines that were not written.
func (h *Handler) Dropped() int64 { return h.dropped.Load() }

func (h *Handler) String() string { return "log" }

// Serve implements suture.Service.
func (h *Handler) Serve(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case e := <-h.ring.Out():
			h.write(e)
		case <-ticker.C:
			if dropped := h.Dropped(); dropped > reported {
				logger := &log.Logger{Handler: h.out, Level: log.InfoLevel}
				logger.WithField("lines", dropped-reported).Warn(MessageLinesDropped)
				reported = dropped
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Flush writes the queued lines. Serve must have returned.
func (h *Handler) Flush() {
	for {
		select {
		case e := <-h.ring.Out():
			h.write(e)
		default:
			return
		}
	}
}

func (h *Handler) write(e *log.Entry) {
	if err := h.out.HandleLog(e); err != nil {
		// A failed write can't be logged, so it only shows in the counter.
		h.dropped.Add(1)
	}
}
