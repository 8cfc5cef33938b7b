package oriolerouter

import (
	"context"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolecrash"
)

// receiver passes requests and frames of peers to the subtrees that handle them.
type receiver struct{ router *Router }

// HandleRequest implements oriolelink.Receiver.
func (v receiver) HandleRequest(ctx context.Context, r oriole.Request, reply func(oriole.Response)) {
	v.router.dispatcher.Do(ctx, r, reply)
}

// HandlePeer implements oriolelink.Receiver.
func (v receiver) HandlePeer(ctx context.Context, m oriole.Member) {
	v.router.tracker.UpdateGateway(ctx, m)
}

// HandleLiveness implements oriolelink.Receiver.
func (v receiver) HandleLiveness(ctx context.Context, alive map[oriole.GatewayID]bool, unheard bool) {
	v.router.tracker.SetAlive(ctx, alive, unheard)
}

// Heartbeat implements oriolelink.Receiver.
func (v receiver) Heartbeat() *oriolemessage.Heartbeat {
	return &oriolemessage.Heartbeat{
		Draining:       v.router.draining.Load(),
		StoreReachable: v.router.tracker.DirectoryReachable(),
		StoreAge:       v.router.tracker.DirectoryAge().Microseconds(),
		MinRenewTerms:  oriolemessage.FromMinRenewTerms(v.router.leader.MinRenewTerms()),
	}
}

// HandleFrame implements oriolelink.Receiver.
func (v receiver) HandleFrame(ctx context.Context, from oriole.GatewayID, frame *oriolemessage.Frame) {
	r := v.router
	switch {
	case frame.Heartbeat != nil:
		v.handleHeartbeat(ctx, from, frame.Heartbeat)
	case frame.HeartbeatRequest != nil:
		r.links.SendHeartbeat(from)
	case frame.Assignment != nil:
		a, err := frame.Assignment.ToAssignment()
		if err != nil {
			r.links.RejectFrame(from, frame.Kind(), err)
			return
		}
		r.tracker.UpdateAssignment(ctx, a)
	case frame.Patch != nil:
		patch, err := frame.Patch.ToPatch()
		if err != nil {
			r.links.RejectFrame(from, frame.Kind(), err)
			return
		}
		r.tracker.PatchAssignment(ctx, from, patch)
	case frame.AssignmentRequest != nil:
		if a := r.tracker.Snapshot().Assignments[oriole.ServiceName(frame.AssignmentRequest.Service)]; a != nil {
			r.links.Send(from, &oriolemessage.Frame{Assignment: oriolemessage.FromAssignment(*a)})
		}
	case frame.CrashRecord != nil:
		fingerprint, incarnation := frame.CrashRecord.ToCrashRecord()
		r.dispatcher.RecordCrash(oriolecrash.Fingerprint(fingerprint), incarnation)
	case frame.Suspect != nil:
		service, incarnation := frame.Suspect.ToSuspect()
		r.leader.ReportUnreachable(ctx, from, service, incarnation)
	case frame.Departure != nil:
		incarnation, err := frame.Departure.ToDeparture()
		if err != nil {
			r.links.RejectFrame(from, frame.Kind(), err)
			return
		}
		r.tracker.MarkLeaving(ctx, incarnation, from)
	case frame.Feed != nil:
		r.tracker.HandleDirectoryUpdate(frame.Feed)
		r.leader.PeerReachedStore(ctx, 0)
	case frame.ConfirmationRequest != nil:
		r.tracker.HandleConfirmationRequest(from, frame.ConfirmationRequest)
	case frame.Confirmation != nil:
		reply, err := frame.Confirmation.ToConfirmation()
		if err != nil {
			r.links.RejectFrame(from, frame.Kind(), err)
			return
		}
		r.tracker.HandleConfirmation(from, reply)
	case frame.TokenRequest != nil, frame.TokenGrant != nil:
		r.quotas.HandleFrame(from, frame)
	case frame.Load != nil:
		counts, durations := frame.Load.ToLoad()
		r.leader.AddLoad(ctx, oriole.ServiceName(frame.Load.Service), counts, durations)
	}
}

func (v receiver) handleHeartbeat(ctx context.Context, from oriole.GatewayID, heartbeat *oriolemessage.Heartbeat) {
	r := v.router
	if heartbeat.StoreReachable {
		// A gateway that can't reach the store learns from heartbeats that
		// peers can, even while the watcher can't reach it either.
		age := max(0, time.Duration(heartbeat.StoreAge)*time.Microsecond)
		r.leader.PeerReachedStore(ctx, age)
		r.tracker.RecordPeerResponse(from, r.timers.Now().Add(-age))
	}
	for _, entry := range heartbeat.MinRenewTerms {
		r.leader.SetPeerMinRenewTerm(ctx, from, oriole.ServiceName(entry.Service), entry.Term)
	}
	if m, listed := r.tracker.Snapshot().Gateways[from]; listed && m.Draining != heartbeat.Draining {
		m.Draining = heartbeat.Draining
		r.tracker.UpdateGateway(ctx, m)
	}
}
