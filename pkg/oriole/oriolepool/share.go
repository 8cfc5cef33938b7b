package oriolepool

import (
	"cmp"
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// maxShares bounds the workspaces that a pool remembers. Beyond it, the times of the last
// starts are forgotten.
const maxShares = 4096

// shares holds how many requests of each workspace run in a pool, so that none starves
// another. Requests without a workspace share one entry; among themselves they are in the
// order that they would have without workspaces.
type shares struct {
	running map[oriole.WorkspaceName]int
	// lastStart is the number of the last start of a workspace's request, in the order
	// of all starts.
	lastStart map[oriole.WorkspaceName]uint64
	starts    uint64
}

func newShares() shares {
	return shares{running: make(map[oriole.WorkspaceName]int), lastStart: make(map[oriole.WorkspaceName]uint64)}
}

func (s *shares) start(w oriole.WorkspaceName) {
	if len(s.lastStart) >= maxShares {
		clear(s.lastStart)
	}
	s.starts++
	s.running[w]++
	s.lastStart[w] = s.starts
}

func (s *shares) finish(w oriole.WorkspaceName) {
	if s.running[w]--; s.running[w] <= 0 {
		delete(s.running, w)
	}
}

// compare orders two workspaces: first the one with fewer requests running, then the one
// whose last request started earlier. Without the latter, a workspace with a long queue
// would win each tie by its early arrivals: with two slots, half of all starts, whatever
// the number of the others.
func (s *shares) compare(a, b oriole.WorkspaceName) int {
	return cmp.Or(cmp.Compare(s.running[a], s.running[b]), cmp.Compare(s.lastStart[a], s.lastStart[b]))
}

// queuedBefore returns how many of the queued requests, counted by workspace, are expected
// to start before a new one of the workspace: all of its own, and of each other as many
// as keep the number of its running requests no higher.
func (s *shares) queuedBefore(queued map[oriole.WorkspaceName]int, w oriole.WorkspaceName) int {
	n := queued[w]
	turns := s.running[w] + queued[w] + 1
	for other, count := range queued {
		if other != w {
			n += min(count, max(turns-s.running[other], 0))
		}
	}
	return n
}

// displace refuses the last request of the workspace with the longest queue, if the queue
// is full and the job's workspace has a shorter one even with the job. It reports whether
// there was one. A request of a higher priority than the job's is not displaced, and none
// is for a job that can't be served in time.
func (p *Pool) displace(now time.Time, j *job) bool {
	if now.Add(p.expectedWait(now, p.queuedBefore(j)) + p.minTimeLeft(j)).After(j.request.Deadline) {
		return false
	}
	queued := make(map[oriole.WorkspaceName]int)
	for _, other := range p.queue {
		queued[other.request.Workspace]++
	}
	victim := -1
	for i, other := range p.queue {
		w := other.request.Workspace
		if queued[w] <= queued[j.request.Workspace]+1 || other.request.Priority < j.request.Priority {
			continue
		}
		if victim < 0 || queued[w] > queued[p.queue[victim].request.Workspace] ||
			(w == p.queue[victim].request.Workspace && other.request.Priority >= p.queue[victim].request.Priority) {
			victim = i
		}
	}
	if victim < 0 {
		return false
	}
	displaced := p.queue[victim]
	p.queue = slices.Delete(p.queue, victim, victim+1)
	p.refuse(displaced, oriole.ReasonQueueFull, p.expectedWait(now, len(p.queue)))
	return true
}
