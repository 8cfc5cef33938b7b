package oriolequeue

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// expire answers the jobs that wait in vain.
func (q *Queue) expire(now time.Time) {
	kept := q.waiting[:0]
	for _, job := range q.waiting {
		if !now.Before(job.Request.Deadline) || gone(job) {
			q.reply(now, job, oriole.Refuse(lateReason(job)))
			continue
		}
		kept = append(kept, job)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	for _, s := range q.servers {
		for _, job := range s.line.takeIf(func(job *Job) bool {
			return !now.Before(job.Request.Deadline) || gone(job)
		}) {
			q.queued--
			q.reply(now, job, oriole.Refuse(lateReason(job)))
		}
	}
}

func lateReason(job *Job) oriole.Reason {
	if gone(job) {
		return oriole.ReasonCancelled
	}
	return oriole.ReasonDeadline
}

// requeueMoved takes the jobs out of the lines of servers that no longer own
// their slice, and answers all when this gateway is not the keeper any more.
func (q *Queue) requeueMoved() {
	if !q.routing.Keeper || q.routing.Closing {
		q.refuseAll(oriole.ReasonNotKeeper)
		return
	}
	if !q.cfg.Divided {
		return
	}
	for i, s := range q.servers {
		moved := s.line.takeIf(func(job *Job) bool { return q.routing.Owner[job.Slice] != i })
		q.queued -= len(moved)
		q.waiting = append(q.waiting, moved...)
	}
}

func (q *Queue) refuseAll(reason oriole.Reason) {
	jobs := q.waiting
	q.waiting = nil
	for _, s := range q.servers {
		jobs = append(jobs, s.line.takeIf(func(*Job) bool { return true })...)
	}
	q.queued = 0
	for _, job := range jobs {
		q.reply(time.Time{}, job, oriole.Refuse(reason))
	}
}
