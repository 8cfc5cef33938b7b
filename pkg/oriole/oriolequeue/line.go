package oriolequeue

// line holds the jobs that wait for one server. It serves the keys in turn, so
// that a hot key does not hold up the others, and the jobs of one key in the
// order of their arrival.
type line struct {
	jobs map[string][]*Job
	// turns holds each key with jobs once, next first.
	turns []string
	n     int
}

func newLine() line { return line{jobs: make(map[string][]*Job)} }

func (l *line) len() int { return l.n }

func (l *line) push(job *Job) {
	key := job.Request.Key
	if len(l.jobs[key]) == 0 {
		l.turns = append(l.turns, key)
	}
	l.jobs[key] = append(l.jobs[key], job)
	l.n++
}

// peek returns the job that pop would return. The line must not be empty.
func (l *line) peek() *Job { return l.jobs[l.turns[0]][0] }

// pop removes the next job and moves its key to the end of the turns.
func (l *line) pop() *Job {
	key := l.turns[0]
	l.turns = l.turns[1:]
	jobs := l.jobs[key]
	job := jobs[0]
	jobs[0] = nil
	l.n--
	if len(jobs) == 1 {
		delete(l.jobs, key)
		return job
	}
	l.jobs[key] = jobs[1:]
	l.turns = append(l.turns, key)
	return job
}

// takeIf removes and returns the jobs that match, in turn order.
func (l *line) takeIf(match func(*Job) bool) []*Job {
	if l.n == 0 {
		return nil
	}
	var taken []*Job
	turns := l.turns
	l.turns = nil
	for _, key := range turns {
		var kept []*Job
		for _, job := range l.jobs[key] {
			if match(job) {
				taken = append(taken, job)
				continue
			}
			kept = append(kept, job)
		}
		if len(kept) == 0 {
			delete(l.jobs, key)
			continue
		}
		l.jobs[key] = kept
		l.turns = append(l.turns, key)
	}
	l.n -= len(taken)
	return taken
}
