package oriolerouter

import (
	"encoding/json"
	"net/http"

	"github.com/orioleswitch/orioleswitch/internal/orioleauth"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Paths of the operator API.
const (
	PathMetrics = "/"
	PathStatus  = "/status"
	PathDrain   = "/drain"
)

// Status is the response of the status endpoint: the gateway's own state and its
// view of the cluster.
type Status struct {
	VM       string               `json:"vm"`
	Gateway  oriole.GatewayID     `json:"gateway"`
	Zone     oriole.ZoneName      `json:"zone"`
	Ready    bool                 `json:"ready"`
	Draining bool                 `json:"leaving"`
	Config   oriole.ConfigVersion `json:"config"`
	// EvacuatedZones lists the availability zones that are evacuated.
	EvacuatedZones []oriole.ZoneName `json:"outs"`
	// Gateways is the number of live gateways, including this one.
	Gateways int `json:"gateways"`
	// InFlight is the number of requests that this gateway, as the dispatcher of
	// their pools, has queued or sent and not answered.
	InFlight int64           `json:"open"`
	Services []ServiceStatus `json:"services"`
}

// ServiceStatus is a gateway's view of a service.
type ServiceStatus struct {
	Name      oriole.ServiceName `json:"name"`
	Upstreams int                `json:"upstreams"`
	Usable    int                `json:"usable"`
	Cold      int                `json:"cold"`
	// The fields below are only set for sharded services.
	Sharded       bool             `json:"divided"`
	Leader        oriole.GatewayID `json:"leader,omitempty"`
	Term          uint64           `json:"term,omitempty"`
	AssignmentSeq uint64           `json:"table,omitempty"`
	Ranges        int              `json:"ranges,omitempty"`
	// PendingRanges is the number of key ranges that nobody can be granted yet,
	// because prior owners may still hold a lease or no owner was assigned.
	PendingRanges int `json:"waiting,omitempty"`
}

// Status returns the gateway's current status.
func (r *Router) Status() Status {
	state := r.tracker.Snapshot()
	s := Status{
		VM: r.self.VM, Gateway: r.self.ID, Zone: r.self.Zone, Ready: r.Ready(), Draining: r.draining.Load(),
		EvacuatedZones: state.EvacuatedZones(), Gateways: len(state.LiveMembers()), InFlight: r.dispatcher.InFlight(), Services: []ServiceStatus{},
	}
	if state.Config == nil {
		return s
	}
	s.Config = state.Config.Version
	for _, name := range state.Config.ServiceNames() {
		s.Services = append(s.Services, r.serviceStatus(state, state.Config.Services[name]))
	}
	return s
}

func (r *Router) serviceStatus(state *oriole.ClusterState, service oriole.Service) ServiceStatus {
	s := ServiceStatus{Name: service.Name, Sharded: service.Sharded, Usable: len(state.UsableUpstreams(service.Name))}
	now := r.timers.Now()
	for _, u := range state.Upstreams {
		if u.Service != service.Name {
			continue
		}
		s.Upstreams++
		if u.ColdUntil.After(now) {
			s.Cold++
		}
	}
	a := state.Assignments[service.Name]
	if a == nil {
		return s
	}
	s.Leader, s.Term, s.AssignmentSeq, s.Ranges = a.Leader, a.Term, a.Seq, len(a.Ranges)
	for _, keyRange := range a.Ranges {
		if !keyRange.Grantable() {
			s.PendingRanges++
		}
	}
	return s
}

// adminHandler returns the handler of the operator API. Metrics need no
// authentication; all other endpoints require the secret.
func (r *Router) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, []byte(r.metrics.String()))
	})
	mux.HandleFunc("GET "+PathStatus, r.requireSecret(func(w http.ResponseWriter) {
		data, err := json.Marshal(r.Status())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		writeJSON(w, data)
	}))
	mux.HandleFunc("POST "+PathDrain, r.requireSecret(func(w http.ResponseWriter) {
		select {
		case r.drainRequested <- struct{}{}:
		default:
			// A drain was already requested.
		}
		w.WriteHeader(http.StatusAccepted)
	}))
	return mux
}

// requireSecret rejects requests that are not authorized by the secret.
func (r *Router) requireSecret(serve func(w http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if !orioleauth.Authorized(req, r.settings.Secret) {
			r.metrics.Add("operators_unauthorized", 1)
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		serve(w)
	}
}

func writeJSON(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client is gone.
	_, _ = w.Write(data)
}

// DrainRequested returns a channel that receives a value when an operator
// requests a drain.
func (r *Router) DrainRequested() <-chan struct{} { return r.drainRequested }
