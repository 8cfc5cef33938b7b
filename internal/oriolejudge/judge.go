// Package oriolejudge judges the router by the records of the stand-ins and of
// their callers, not by the router's own word.
package oriolejudge

import (
	"sync"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolestandin"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Judge collects records. It implements oriolestandin.Journal and is safe for
// concurrent use.
type Judge struct {
	mu        sync.Mutex
	upstreams []*oriolestandin.Upstream
	// running counts the runs on each slice by upstream.
	running map[place]map[*oriolestandin.Upstream]int
	// runs counts the runs of each operation that took effect.
	runs map[string]int
	// outcomes holds what the callers were told of operations that are not
	// idempotent or that were refused.
	outcomes map[string]told
	keys     map[string]*keyHistory
	verdict  Verdict
	work     map[oriole.ServerID]int
}

// place is a slice of a group.
type place struct {
	group oriole.GroupID
	slice int
}

// told is what a caller learnt of an operation.
type told struct {
	outcome    oriole.Outcome
	idempotent bool
}

// keyHistory tells when a key was last served.
type keyHistory struct {
	answered time.Time
	worst    time.Duration
}

// Verdict is what the records show. Counts of faults must be 0.
type Verdict struct {
	DoubleOwned      int
	RunTwice         int
	FalseNotRun      int
	WrongAnswers     int
	LostAcknowledged int
	Falls            int
	Crashes          int
	KeyUnavailable   time.Duration
}

// New returns a judge without records.
func New() *Judge {
	return &Judge{
		running:  make(map[place]map[*oriolestandin.Upstream]int),
		runs:     make(map[string]int),
		outcomes: make(map[string]told),
		keys:     make(map[string]*keyHistory),
		work:     make(map[oriole.ServerID]int),
	}
}

// Watch adds an upstream whose ownership is judged.
func (j *Judge) Watch(u *oriolestandin.Upstream) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.upstreams = append(j.upstreams, u)
}

// Started implements oriolestandin.Journal.
func (j *Judge) Started(u *oriolestandin.Upstream, group oriole.GroupID, slice int) {
	if !u.Divided() {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	at := place{group, slice}
	if j.running[at] == nil {
		j.running[at] = make(map[*oriolestandin.Upstream]int)
	}
	for other, n := range j.running[at] {
		// A frozen or cut off upstream may still be in a run that its fence
		// will refuse; it counts if it still holds the slice.
		owners := !u.Fenced() || (other.Holds(group, slice) && u.Holds(group, slice))
		if other != u && n > 0 && owners {
			j.verdict.DoubleOwned++
		}
	}
	j.running[at][u]++
}

// Ended implements oriolestandin.Journal.
func (j *Judge) Ended(u *oriolestandin.Upstream, group oriole.GroupID, slice int, operation string, done bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if u.Divided() {
		j.running[place{group, slice}][u]--
	}
	if !done {
		return
	}
	j.work[u.ID()]++
	if operation != "" {
		j.runs[operation]++
	}
}

// Leased implements oriolestandin.Journal: no other upstream may hold one of
// the slices.
func (j *Judge) Leased(u *oriolestandin.Upstream, group oriole.GroupID, owned []int) {
	j.mu.Lock()
	others := j.upstreams
	j.mu.Unlock()
	for _, other := range others {
		if other == u {
			continue
		}
		for _, slice := range owned {
			// The other is asked first: if this one still holds the slice
			// afterwards, both held it at the same time.
			if other.Holds(group, slice) && u.Holds(group, slice) {
				j.mu.Lock()
				j.verdict.DoubleOwned++
				j.mu.Unlock()
			}
		}
	}
}

// Fell implements oriolestandin.Journal.
func (j *Judge) Fell(_ *oriolestandin.Upstream, overloaded bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if overloaded {
		j.verdict.Falls++
	} else {
		j.verdict.Crashes++
	}
}

// Told records what a caller was told of an operation. Right says that the
// answer was the caller's own and whole.
func (j *Judge) Told(operation string, outcome oriole.Outcome, idempotent, right bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if outcome == oriole.OutcomeAnswered && !right {
		j.verdict.WrongAnswers++
	}
	if !idempotent || outcome == oriole.OutcomeNotRun {
		j.outcomes[operation] = told{outcome, idempotent}
	}
}

// Watched starts to judge for how long a key is not served: the longest time
// between two answers to requests for it. Its caller must go on to ask for the
// key at short intervals until Unwatched.
func (j *Judge) Watched(key string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.keys[key] = &keyHistory{answered: now}
}

// Served records that a request for the key was answered.
func (j *Judge) Served(key string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	history := j.keys[key]
	if history != nil && now.After(history.answered) {
		history.worst = max(history.worst, now.Sub(history.answered))
		history.answered = now
	}
}

// Unwatched ends what Watched began. A key that is not served then counts as
// unavailable until now.
func (j *Judge) Unwatched(key string, now time.Time) { j.Served(key, now) }

// Work returns how many runs took effect on each upstream.
func (j *Judge) Work() map[oriole.ServerID]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	work := make(map[oriole.ServerID]int, len(j.work))
	for id, n := range j.work {
		work[id] = n
	}
	return work
}

// Verdict returns what the records show when all requests have ended.
func (j *Judge) Verdict() Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	verdict := j.verdict
	for operation, t := range j.outcomes {
		runs := j.runs[operation]
		if !t.idempotent && runs > 1 {
			verdict.RunTwice++
		}
		if t.outcome == oriole.OutcomeNotRun && runs > 0 {
			verdict.FalseNotRun++
		}
		if t.outcome == oriole.OutcomeAnswered && !t.idempotent && runs == 0 {
			verdict.LostAcknowledged++
		}
	}
	for _, history := range j.keys {
		verdict.KeyUnavailable = max(verdict.KeyUnavailable, history.worst)
	}
	return verdict
}
