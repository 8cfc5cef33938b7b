package oriolestandin

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/orioleserver"
	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolefence"
)

// Header fields by which callers of a stand-in mark their requests.
const (
	// HeaderOperation identifies what the caller wants done, over repeats.
	HeaderOperation = "Standin-Operation"
	// HeaderCrash makes the upstream that runs the request crash.
	HeaderCrash = "Standin-Crash"
)

// Journal receives the records of the stand-ins.
type Journal interface {
	// Started and Ended frame the run of a request. Done says that it took
	// effect.
	Started(u *Upstream, group oriole.GroupID, slice int)
	Ended(u *Upstream, group oriole.GroupID, slice int, operation string, done bool)
	// Leased is called after the upstream accepted a lease.
	Leased(u *Upstream, group oriole.GroupID, owned []int)
	// Fell is called when the upstream crashed; overloaded says that it was
	// given more than it bears.
	Fell(u *Upstream, overloaded bool)
}

// UpstreamConfig describes a stand-in upstream.
type UpstreamConfig struct {
	Upstream oriole.Upstream
	Service  oriole.ServiceName
	Fenced   bool
	Divided  bool
	// Slots is what it runs at once when warm, ColdSlots when cold.
	Slots     int
	ColdSlots int
	// Work is the mean run time; a cold upstream takes ColdFactor times it.
	Work       time.Duration
	ColdFactor float64
	// ColdRuns is the number of runs after which a cold upstream is warm.
	ColdRuns int
	// Restart is the time a crashed upstream takes to listen again.
	Restart time.Duration
	Seed    uint64
}

// DefaultUpstreamConfig returns the sizes of the brief.
func DefaultUpstreamConfig() UpstreamConfig {
	return UpstreamConfig{
		Fenced:     true,
		Divided:    true,
		Slots:      2,
		ColdSlots:  1,
		Work:       2 * time.Millisecond,
		ColdFactor: 4,
		ColdRuns:   20,
		Restart:    500 * time.Millisecond,
	}
}

// Upstream is a stand-in of one server.
type Upstream struct {
	cfg     UpstreamConfig
	journal Journal
	start   time.Time
	handler http.Handler

	mu       sync.Mutex
	rng      *rand.Rand
	holder   *oriolefence.Holder
	group    oriole.GroupID
	running  int
	runs     int
	cold     bool
	draining bool
	shedding bool
	crossing bool
	// answers counts the answers while crossing; last is the one before.
	answers int
	last    answerBody
	lastID  string
	load    loadHistory
	slow    float64
	starts  uint64
	thaw    chan struct{}
	server  *http.Server
	stopped bool
	cancel  context.CancelFunc
	ctx     context.Context
}

// NewUpstream returns an upstream that listens, and a function that stops it.
func NewUpstream(cfg UpstreamConfig, journal Journal) (u *Upstream, cleanup func(), err error) {
	defer func() { err = errors.Wrapf(err, "starting upstream %s", cfg.Upstream.ID) }()
	u = &Upstream{
		cfg:     cfg,
		journal: journal,
		start:   time.Now(),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 2)),
		slow:    1,
	}
	mux := http.NewServeMux()
	u.handler = mux
	mux.HandleFunc("POST "+orioleserver.GrantPath, u.grant)
	mux.HandleFunc("GET "+orioleserver.HealthPath, u.health)
	mux.HandleFunc("PUT /standin/faults", u.switchFaults)
	mux.HandleFunc("GET "+LoadPath, u.serveLoad)
	mux.HandleFunc("/", u.run)
	if err := u.Start(); err != nil {
		return nil, nil, err
	}
	return u, u.Stop, nil
}

// ID returns the upstream's name.
func (u *Upstream) ID() oriole.ServerID { return u.cfg.Upstream.ID }

// Zone returns the upstream's availability zone.
func (u *Upstream) Zone() oriole.ZoneName { return u.cfg.Upstream.Zone }

// Addr returns the address that the upstream listens on.
func (u *Upstream) Addr() netip.AddrPort { return u.cfg.Upstream.Addr }

// Fenced reports whether the upstream checks grants.
func (u *Upstream) Fenced() bool { return u.cfg.Fenced }

// Divided reports whether the upstream's service is divided by key.
func (u *Upstream) Divided() bool { return u.cfg.Divided }

// Start makes a stopped upstream listen, cold and with a new incarnation. It
// remembers the highest term.
func (u *Upstream) Start() (err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listener, err := net.Listen("tcp", u.cfg.Upstream.Addr.String())
	if err != nil {
		return err
	}
	u.cfg.Upstream.Addr = listener.Addr().(*net.TCPAddr).AddrPort()
	var term oriole.Term
	if u.holder != nil {
		term = u.holder.Term()
	}
	u.starts++
	u.holder = oriolefence.NewHolder(u.starts, term)
	u.cold = true
	u.runs = 0
	u.running = 0
	u.stopped = false
	u.ctx, u.cancel = context.WithCancel(context.Background())
	u.server = &http.Server{Handler: u.handler, ReadHeaderTimeout: 10 * time.Second}
	server := u.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Stop ends the upstream at once, and with it everything that runs on it.
func (u *Upstream) Stop() {
	u.mu.Lock()
	server := u.server
	u.stopped = true
	u.cancel()
	u.thawLocked()
	u.mu.Unlock()
	_ = server.Close()
}

// Crash stops the upstream and starts it again after its restart time.
func (u *Upstream) Crash(overloaded bool) {
	u.mu.Lock()
	stopped := u.stopped
	u.stopped = true
	u.mu.Unlock()
	if stopped {
		return
	}
	u.journal.Fell(u, overloaded)
	u.Stop()
	time.AfterFunc(u.cfg.Restart, func() { _ = u.Start() })
}

// Holds reports whether the upstream owns the slice of the group now.
func (u *Upstream) Holds(group oriole.GroupID, slice int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.stopped && u.group == group && u.holder.Holds(u.clock(), slice)
}

func (u *Upstream) clock() time.Duration { return time.Since(u.start) }

// waitThaw waits while the upstream is frozen.
func (u *Upstream) waitThaw() {
	for {
		u.mu.Lock()
		thaw := u.thaw
		u.mu.Unlock()
		if thaw == nil {
			return
		}
		<-thaw
	}
}

func (u *Upstream) grant(w http.ResponseWriter, r *http.Request) {
	u.waitThaw()
	var wire oriolewire.Grant
	if err := json.NewDecoder(io.LimitReader(r.Body, maxObject)).Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, err := wire.ToGrant()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	u.group = g.Group
	reply := u.holder.Apply(u.clock(), g)
	reply.Draining = u.draining
	stopped := u.stopped
	u.mu.Unlock()
	if stopped {
		return
	}
	if reply.Accepted {
		u.journal.Leased(u, g.Group, g.Owned)
	}
	writeJSON(w, oriolewire.FromGrantReply(reply))
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.waitThaw()
	w.WriteHeader(http.StatusOK)
}

// admit decides whether a request may run, and takes a slot for it.
func (u *Upstream) admit(r *http.Request) (refused string, fell bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !u.servesLocked(r):
		return orioleserver.RefusedFence, false
	case u.draining:
		return orioleserver.RefusedDrain, false
	case u.shedding:
		return orioleserver.RefusedShed, false
	case u.cold && u.running >= u.cfg.ColdSlots:
		return "", true
	case u.running >= u.cfg.Slots:
		return orioleserver.RefusedShed, false
	}
	u.running++
	u.noteLoad()
	return "", false
}

// servesLocked reports whether the request came under the upstream's lease.
func (u *Upstream) servesLocked(r *http.Request) bool {
	if !u.cfg.Fenced {
		return true
	}
	term, err := strconv.ParseUint(r.Header.Get(orioleserver.HeaderTerm), 10, 64)
	if err != nil {
		return false
	}
	slice := -1
	if u.cfg.Divided {
		slice = sliceOf(r)
	}
	return u.holder.Serves(u.clock(), oriole.Term(term), slice)
}

func sliceOf(r *http.Request) int {
	slice, err := strconv.Atoi(r.Header.Get(orioleserver.HeaderSlice))
	if err != nil {
		return 0
	}
	return slice
}

// workTime draws the time that a run takes.
func (u *Upstream) workTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	factor := u.slow * (0.75 + 0.5*u.rng.Float64())
	if u.cold {
		factor *= u.cfg.ColdFactor
	}
	return time.Duration(factor * float64(u.cfg.Work))
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	u.waitThaw()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObject))
	if err != nil {
		return
	}
	refused, fell := u.admit(r)
	if fell || r.Header.Get(HeaderCrash) != "" && refused == "" {
		u.Crash(fell)
		panic(http.ErrAbortHandler)
	}
	if refused != "" {
		u.refuse(w, refused)
		return
	}
	slice := sliceOf(r)
	group := oriole.GroupID(r.Header.Get(orioleserver.HeaderGroup))
	u.mu.Lock()
	ctx := u.ctx
	u.mu.Unlock()
	u.journal.Started(u, group, slice)
	done := u.work(ctx, r)
	u.journal.Ended(u, group, slice, r.Header.Get(HeaderOperation), done)
	u.release(done)
	if !done {
		u.refuseCut(ctx, w, r)
		return
	}
	u.answer(w, r, body)
}

// work takes the run time and reports whether the run took effect. It does not
// if the caller cancels, or if the lease was lost on the way.
func (u *Upstream) work(ctx context.Context, r *http.Request) bool {
	timer := time.NewTimer(u.workTime())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return false
	case <-ctx.Done():
		return false
	}
	u.waitThaw()
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.stopped && u.ctx == ctx && u.servesLocked(r)
}

func (u *Upstream) release(done bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running > 0 {
		u.running--
		u.noteLoad()
	}
	if done {
		u.runs++
		if u.cold && u.runs >= u.cfg.ColdRuns {
			u.cold = false
		}
	}
}

func (u *Upstream) refuse(w http.ResponseWriter, word string) {
	w.Header().Set(orioleserver.HeaderRefused, word)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refuseCut ends a run that has not taken effect: with the word that it has
// not, or by cutting the connection when the upstream itself went down.
func (u *Upstream) refuseCut(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	if ctx.Err() != nil || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	u.refuse(w, orioleserver.RefusedFence)
}

// answerBody is what a stand-in answers.
type answerBody struct {
	Operation string          `json:"operation"`
	Path      string          `json:"path"`
	Server    oriole.ServerID `json:"server"`
	Size      int             `json:"size"`
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	id, answer, cut := u.cross(r.Header.Get(orioleserver.HeaderRequest), answerBody{
		Operation: r.Header.Get(HeaderOperation),
		Path:      r.URL.Path,
		Server:    u.cfg.Upstream.ID,
		Size:      len(body),
	})
	w.Header().Set(orioleserver.HeaderRequest, id)
	if cut {
		w.Header().Set("Content-Length", strconv.Itoa(maxObject))
		writeJSON(w, answer)
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, answer)
}
