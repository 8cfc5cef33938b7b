package oriolestandin

import (
	"encoding/json"
	"net/http"
)

// Freeze makes the upstream stand still until Thaw; it keeps its connections.
func (u *Upstream) Freeze() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.thaw == nil {
		u.thaw = make(chan struct{})
	}
}

// Thaw ends a freeze. The upstream goes on as though nothing happened.
func (u *Upstream) Thaw() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.thawLocked()
}

func (u *Upstream) thawLocked() {
	if u.thaw != nil {
		close(u.thaw)
		u.thaw = nil
	}
}

// SetSlow multiplies the run time; 1 is normal.
func (u *Upstream) SetSlow(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slow = factor
}

// SetDraining makes the upstream refuse new work.
func (u *Upstream) SetDraining(draining bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = draining
}

// SetShedding makes the upstream shed all work.
func (u *Upstream) SetShedding(shedding bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.shedding = shedding
}

// SetCrossing makes the upstream give some answers to the wrong request, and cut
// others off.
func (u *Upstream) SetCrossing(crossing bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crossing = crossing
}

// MakeCold turns the upstream cold without warning.
func (u *Upstream) MakeCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cold = true
	u.runs = 0
}

// Every crossEvery-th answer is that to the request before, and every
// cutEvery-th is cut off, while the upstream crosses answers.
const (
	crossEvery = 5
	cutEvery   = 7
)

// cross returns the answer to give, and whether to cut it off.
func (u *Upstream) cross(id string, answer answerBody) (givenID string, given answerBody, cut bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	lastID, last := u.lastID, u.last
	u.lastID, u.last = id, answer
	if !u.crossing {
		return id, answer, false
	}
	u.answers++
	if u.answers%crossEvery == 0 && lastID != "" {
		return lastID, last, false
	}
	return id, answer, u.answers%cutEvery == 0
}

// upstreamFaults are the faults that can be switched over HTTP.
type upstreamFaults struct {
	Freeze *bool    `json:"freeze"`
	Drain  *bool    `json:"drain"`
	Shed   *bool    `json:"shed"`
	Slow   *float64 `json:"slow"`
	Cold   bool     `json:"cold"`
	Crash  bool     `json:"crash"`
}

func (u *Upstream) switchFaults(w http.ResponseWriter, r *http.Request) {
	var f upstreamFaults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Freeze != nil && *f.Freeze {
		u.Freeze()
	} else if f.Freeze != nil {
		u.Thaw()
	}
	if f.Drain != nil {
		u.SetDraining(*f.Drain)
	}
	if f.Shed != nil {
		u.SetShedding(*f.Shed)
	}
	if f.Slow != nil {
		u.SetSlow(*f.Slow)
	}
	if f.Cold {
		u.MakeCold()
	}
	if f.Crash {
		go u.Crash(false)
	}
}
