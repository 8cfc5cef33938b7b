package oriolequeue

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// tokens remembers idempotency keys: a repeated one is given the first
// request's answer and does not run again.
type tokens struct {
	entries *simplelru.LRU[string, *tokenEntry]
	memory  time.Duration
}

// tokenEntry is what is known of one idempotency key.
type tokenEntry struct {
	job    *Job
	done   bool
	answer oriole.Answer
	at     time.Time
	joined []*Job
}

func newTokens(size int, memory time.Duration) *tokens {
	entries, err := simplelru.NewLRU[string, *tokenEntry](max(size, 1), nil)
	if err != nil {
		// The size is above 0, which is all that the constructor checks.
		panic(err)
	}
	return &tokens{entries: entries, memory: memory}
}

// repeated reports whether the job repeats one that is known by its
// idempotency key; if so it has been answered or will be with the first.
func (q *Queue) repeated(now time.Time, job *Job) bool {
	token := job.Request.Token
	if token == "" || job.Request.Idempotent {
		return false
	}
	entry, known := q.tokens.entries.Get(token)
	if known && entry.done && now.Sub(entry.at) > q.tokens.memory {
		known = false
	}
	if !known {
		q.tokens.entries.Add(token, &tokenEntry{job: job, at: now})
		return false
	}
	if !entry.done {
		entry.joined = append(entry.joined, job)
		return true
	}
	job.Reply(entry.answer)
	return true
}

// finish records the answer of the job and returns those that joined it. A
// request that has not run is forgotten, so that its caller may try again.
func (t *tokens) finish(now time.Time, job *Job, answer oriole.Answer) []*Job {
	token := job.Request.Token
	if token == "" || job.Request.Idempotent {
		return nil
	}
	entry, known := t.entries.Peek(token)
	if !known || entry.job != job {
		return nil
	}
	joined := entry.joined
	if answer.Outcome == oriole.OutcomeNotRun {
		t.entries.Remove(token)
		return joined
	}
	*entry = tokenEntry{done: true, answer: answer, at: now}
	return joined
}
