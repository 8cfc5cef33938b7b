package oriolegateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolecontrol"
	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolepeer"
	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolesight"
	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolework"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Paths of the operators' address. All but the counters need the secret.
const (
	StatusPath   = "/status"
	TimelinePath = "/timeline"
	DrainPath    = "/drain"
	VarsPath     = "/debug/vars"
)

// Status is the state of one gateway.
type Status struct {
	Gateway  oriole.GatewayID            `json:"gateway"`
	Zone     oriole.ZoneName             `json:"zone"`
	Ready    bool                        `json:"ready"`
	Leaving  bool                        `json:"leaving"`
	Store    bool                        `json:"store"`
	Peers    int                         `json:"peers"`
	Open     int64                       `json:"open"`
	Settings oriole.Version              `json:"settings"`
	Out      []oriole.ZoneName           `json:"out"`
	Groups   []oriolecontrol.GroupStatus `json:"groups"`
	Queues   []QueueStatus               `json:"queues"`
}

// QueueStatus is the state of the queues of one group that the gateway keeps.
type QueueStatus struct {
	Group   oriole.GroupID      `json:"group"`
	Servers []oriolework.Status `json:"servers"`
}

// Status returns the gateway's state.
func (g *Gateway) Status() Status {
	settings := g.settings.Load()
	version, _ := g.control.Settings()
	status := Status{
		Gateway: g.self.ID,
		Zone:    g.self.Zone,
		Ready:   g.Ready(),
		Leaving: g.stopping.Load(),
		Store:   g.control.StoreUp(),
		Peers:   g.peers.Len(),
		Open:    g.entry.Open(),
		Out:     settings.Out,

		Settings: version,
		Groups:   g.control.Status(),
	}
	for _, group := range settings.Groups() {
		if g.work.Keeps(group.ID) {
			status.Queues = append(status.Queues, QueueStatus{group.ID, g.work.Status(group.ID)})
		}
	}
	return status
}

// operators returns the handler of the operators' address.
func (g *Gateway) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+VarsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(g.metrics.String()))
	})
	mux.HandleFunc("GET "+StatusPath, g.authorized(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, g.Status())
	}))
	mux.HandleFunc("GET "+TimelinePath, g.authorized(g.serveTimeline))
	mux.HandleFunc("POST "+DrainPath, g.authorized(g.serveDrain))
	return mux
}

// authorized wraps a handler so that only those who know the secret reach it.
func (g *Gateway) authorized(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !oriolepeer.Authorized(r, g.settings.Load().Secret) {
			g.metrics.Add("operators_unauthorized", 1)
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		handler(w, r)
	}
}

func (g *Gateway) serveTimeline(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "after: not a number", http.StatusBadRequest)
			return
		}
		after = n
	}
	events := g.timeline.Events(after)
	if events == nil {
		events = []oriolesight.Event{}
	}
	writeJSON(w, events)
}

// serveDrain makes the gateway leave and answers when it has no duty left.
func (g *Gateway) serveDrain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), leaveTimeout+time.Second)
	defer cancel()
	if err := g.Leave(ctx); err != nil {
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, g.Status())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The only error is a reader that has gone away.
	_ = json.NewEncoder(w).Encode(v)
}
