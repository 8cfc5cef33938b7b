package oriolestandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
)

// maxObject is the largest value that the object API takes, in bytes.
const maxObject = 1 << 20

// memberLife is how long the list shows a VM that was not heard of.
const memberLife = 35 * time.Second

// PlatformFaults switches the platform's faults.
type PlatformFaults struct {
	// Outage makes every call hang until its sender gives up.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers makes writes take effect without an answer.
	LoseAnswers bool
	// StaleReads makes reads return the value before the newest one.
	StaleReads bool
}

// Platform is a stand-in of the object API and the list of VMs. It implements
// http.Handler.
type Platform struct {
	lag     time.Duration
	mux     *http.ServeMux
	mu      sync.Mutex
	faults  PlatformFaults
	objects map[string]storedObject
	older   map[string]storedObject
	// revision counts all writes; an object's version is its last revision.
	revision uint64
	changed  chan struct{}
	members  map[string]listedMember
	reads    uint64
	writes   uint64
}

type storedObject struct {
	version uint64
	value   []byte
}

type listedMember struct {
	member  oriolewire.Member
	visible time.Time
	heard   time.Time
}

// NewPlatform returns an empty platform whose list of VMs shows changes only
// after the lag.
func NewPlatform(lag time.Duration) *Platform {
	p := &Platform{
		lag:     lag,
		mux:     http.NewServeMux(),
		objects: make(map[string]storedObject),
		older:   make(map[string]storedObject),
		changed: make(chan struct{}),
		members: make(map[string]listedMember),
	}
	p.mux.HandleFunc("GET /objects/{name}", p.read)
	p.mux.HandleFunc("PUT /objects/{name}", p.write)
	p.mux.HandleFunc("GET /watch", p.watch)
	p.mux.HandleFunc("GET /vms", p.list)
	p.mux.HandleFunc("PUT /vms/{id}", p.announce)
	p.mux.HandleFunc("PUT /standin/faults", p.switchFaults)
	return p
}

// SetFaults switches the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns how many reads, waiting watches included, and writes came.
func (p *Platform) Calls() (reads, writes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		p.mux.ServeHTTP(w, r)
		return
	}
	p.mu.Lock()
	faults := p.faults
	if r.Method == http.MethodPut {
		p.writes++
	} else {
		p.reads++
	}
	p.mu.Unlock()
	if faults.Outage {
		<-r.Context().Done()
		return
	}
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	object, found := p.objects[r.PathValue("name")]
	if older, has := p.older[r.PathValue("name")]; p.faults.StaleReads && has {
		object = older
	}
	p.mu.Unlock()
	if !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", tag(object.version))
	_, _ = w.Write(object.value)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxObject+1))
	if err != nil || len(value) > maxObject {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	version, ok := p.store(r.PathValue("name"), value, r.Header.Get("If-Match"), r.Header.Get("If-None-Match"))
	if p.losesAnswers() {
		<-r.Context().Done()
		return
	}
	if !ok {
		http.Error(w, "object has another version", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", tag(version))
}

func (p *Platform) losesAnswers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.LoseAnswers
}

// store applies a conditional write.
func (p *Platform) store(name string, value []byte, match, noneMatch string) (version uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, found := p.objects[name]
	if noneMatch == "*" && found {
		return 0, false
	}
	if match != "" && (!found || match != tag(old.version)) {
		return 0, false
	}
	if found {
		p.older[name] = old
	}
	p.revision++
	p.objects[name] = storedObject{version: p.revision, value: value}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision, true
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: not a number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait: not a duration", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed := p.changesAfter(prefix, after)
		if len(changes.Objects) > 0 {
			writeJSON(w, changes)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) changesAfter(prefix string, after uint64) (changes oriolewire.Changes, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes.Revision = p.revision
	for name, object := range p.objects {
		if strings.HasPrefix(name, prefix) && object.version > after {
			changes.Objects = append(changes.Objects, oriolewire.Change{Name: name, Version: object.version, Value: object.value})
		}
	}
	sort.Slice(changes.Objects, func(i, j int) bool { return changes.Objects[i].Version < changes.Objects[j].Version })
	return changes, p.changed
}

func (p *Platform) announce(w http.ResponseWriter, r *http.Request) {
	var member oriolewire.Member
	if err := json.NewDecoder(io.LimitReader(r.Body, maxObject)).Decode(&member); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	entry, found := p.members[member.Id]
	if !found {
		entry.visible = now.Add(p.lag)
	}
	entry.member = member
	entry.heard = now
	p.members[member.Id] = entry
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	now := time.Now()
	members := []oriolewire.Member{}
	for id, entry := range p.members {
		if now.Sub(entry.heard) > memberLife+p.lag {
			delete(p.members, id)
			continue
		}
		if now.After(entry.visible) {
			members = append(members, entry.member)
		}
	}
	p.mu.Unlock()
	sort.Slice(members, func(i, j int) bool { return members[i].Id < members[j].Id })
	writeJSON(w, members)
}

func (p *Platform) switchFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func tag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
