// Package oriolequotas is the supervisor subtree that limits the request rates of
// workspaces over all gateways. One duty owns this gateway's tokens and the accounts that
// it keeps, and exchanges tokens with the other gateways over the links.
package oriolequotas

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolequota"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
)

const (
	// ringSize bounds the requests, and the frames of peers, that are queued for the duty.
	ringSize = 1024
	// maxBatch bounds the items that are handled before tokens are asked for: all that
	// wait are asked for in one frame.
	maxBatch = 256
	// fullRetryAfter is the time told to a request that finds the ring full.
	fullRetryAfter = oriolequota.Patience
	// takeTimeout bounds the wait for a decision, which is made within Patience and
	// ReplyTimeout: one is lost with a duty that fails while it handles the request.
	takeTimeout = time.Second
	// maxLogLines bounds the lines about workspaces in logPeriod: when a gateway is lost,
	// the accountants of many workspaces change at once.
	maxLogLines = 8
	logPeriod   = time.Second
)

// StateSource provides the cluster state.
type StateSource interface {
	Snapshot() *oriole.ClusterState
	Subscribe() <-chan struct{}
}

// Config configures the subtree.
type Config struct {
	Self  oriole.GatewayID
	State StateSource
	// Clock must go on while this machine is suspended, since tokens expire meanwhile.
	Clock   oriole.Clock
	Metrics *orioletelemetry.Metrics
	Log     log.Interface
	// Send queues a frame for a peer. It must not block.
	Send func(to oriole.GatewayID, frame *oriolemessage.Frame) bool
	// Reject counts a frame of a peer that is not valid.
	Reject func(from oriole.GatewayID, description string, err error)
}

// Quotas limits the request rates of workspaces. It implements suture.Service.
type Quotas struct {
	*suture.Supervisor
	cfg    Config
	takes  *oriolering.Ring[take]
	frames *oriolering.Ring[peerFrame]
	// limited holds the workspaces with limits of the last configuration that was seen.
	limited atomic.Pointer[limitedWorkspaces]
	// local is the number of workspaces whose local share is in use, and accounts that of
	// the workspaces whose accountant this gateway is.
	local, accounts atomic.Int64
}

type limitedWorkspaces struct {
	cfg    *oriole.Config
	limits map[oriole.WorkspaceName]oriolequota.Limit
}

// take is a request that needs a token.
type take struct {
	workspace oriole.WorkspaceName
	// reply receives one decision. It has room for it, so that the duty never waits.
	reply chan oriolequota.Decision
}

type peerFrame struct {
	from  oriole.GatewayID
	frame *oriolemessage.Frame
}

// New returns the subtree.
func New(cfg Config, spec suture.Spec) *Quotas {
	q := &Quotas{
		Supervisor: suture.New("limit", spec), cfg: cfg,
		takes: oriolering.New[take](ringSize), frames: oriolering.New[peerFrame](ringSize),
	}
	cfg.Metrics.Gauge("quota_local_in_use", func() any { return q.local.Load() })
	cfg.Metrics.Gauge("quota_accounts", func() any { return q.accounts.Load() })
	q.Add(&tokenDuty{quotas: q})
	return q
}

// Accounts returns the number of workspaces whose accountant this gateway is.
func (q *Quotas) Accounts() int { return int(q.accounts.Load()) }

// limits returns the limits of the configuration.
func (q *Quotas) limits(cfg *oriole.Config) map[oriole.WorkspaceName]oriolequota.Limit {
	if known := q.limited.Load(); known != nil && known.cfg == cfg {
		return known.limits
	}
	next := &limitedWorkspaces{cfg: cfg, limits: make(map[oriole.WorkspaceName]oriolequota.Limit)}
	if cfg != nil {
		for _, w := range cfg.Workspaces {
			if limit, limited := oriolequota.LimitOf(w); limited {
				next.limits[w.Name] = limit
			}
		}
	}
	q.limited.Store(next)
	return next.limits
}

// Take takes one token of the workspace, which lets one request pass, and waits for it for a
// short time. If there is none, it returns the time after which there will be one.
func (q *Quotas) Take(ctx context.Context, workspace oriole.WorkspaceName) (ok bool, retryAfter time.Duration) {
	state := q.cfg.State.Snapshot()
	if _, limited := q.limits(state.Config)[workspace]; !limited {
		return true, 0
	}
	if !state.DirectoryLoaded {
		// This gateway's share depends on the number of the others.
		q.cfg.Metrics.Add("quota_unlisted", 1)
		return false, fullRetryAfter
	}
	t := take{workspace, make(chan oriolequota.Decision, 1)}
	if !q.takes.Offer(t) {
		q.cfg.Metrics.Add("quota_ring_full", 1)
		return false, fullRetryAfter
	}
	timer := time.NewTimer(takeTimeout)
	defer timer.Stop()
	select {
	case d := <-t.reply:
		return d.OK, d.RetryAfter
	case <-timer.C:
		q.cfg.Metrics.Add("quota_timeouts", 1)
		return false, fullRetryAfter
	case <-ctx.Done():
		return false, fullRetryAfter
	}
}

// HandleFrame handles a request for tokens, or the reply to one, of a peer. Frames that find
// the ring full are dropped; the peer asks again.
func (q *Quotas) HandleFrame(from oriole.GatewayID, frame *oriolemessage.Frame) {
	if !q.frames.Offer(peerFrame{from, frame}) {
		q.cfg.Metrics.Add("quota_ring_full", 1)
	}
}
