package oriolestop_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolestop"
)

// TestLateRequestsThatOutlastTheGracePeriodAreNotAdmitted checks that a request is
// passed on exactly if its deadline lies before the end of the stop.
func TestLateRequestsThatOutlastTheGracePeriodAreNotAdmitted(t *testing.T) {
	start := time.Unix(1000, 0)
	const grace = 6 * time.Second
	schedule := oriolestop.New(start, grace)
	for _, test := range []struct {
		name             string
		arrival, timeout time.Duration
		want             bool
	}{
		{"early and short", 0, time.Second, true},
		{"early, as long as the grace period", 0, grace, false},
		{"late and short", 4 * time.Second, time.Second, true},
		{"late and long", 4 * time.Second, 2 * time.Second, false},
		{"after the grace period", grace, time.Millisecond, false},
		{"expired", 4 * time.Second, -time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			deadline := start.Add(test.arrival + test.timeout)
			is.Equal(schedule.Admits(deadline), test.want)
			is.True(!test.want || deadline.Before(schedule.CutAt)) // its answer can be written
			var running *oriolestop.Schedule
			is.True(running.Admits(deadline)) // a gateway that isn't being stopped
		})
	}
}

// TestBoundDeadlinesOutlastTheGracePeriod guards against a retry that runs when the process ends.
func TestBoundDeadlinesOutlastTheGracePeriod(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	schedule := oriolestop.New(start, 6*time.Second)
	is.Equal(schedule.Bound(start.Add(time.Second)), start.Add(time.Second))
	is.Equal(schedule.Bound(start.Add(time.Minute)), schedule.AnswerUntil)
	is.True(schedule.Admits(schedule.Bound(start.Add(time.Minute))))
	var running *oriolestop.Schedule
	is.Equal(running.Bound(start.Add(time.Minute)), start.Add(time.Minute))
}

// TestScheduleFitsGracePeriod checks the order of a stop's phases, also within a
// short grace period.
func TestScheduleFitsGracePeriod(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second, time.Minute} {
		schedule := oriolestop.New(start, grace)
		is.True(schedule.ListenUntil.After(start))
		is.True(!schedule.ListenUntil.After(schedule.AnswerUntil))
		is.True(schedule.AnswerUntil.Before(schedule.GiveUpAt))
		is.True(schedule.GiveUpAt.Before(schedule.CutAt))
		is.True(schedule.CutAt.Before(schedule.CloseUntil))
		is.True(schedule.CloseUntil.Add(oriolestop.DutyTimeout + oriolestop.FlushTimeout).Before(start.Add(grace)))
	}
}

// TestQueuedRequestsStartUntilAnswersAreDue checks until when requests that waited
// before the stop are sent to upstreams.
func TestQueuedRequestsStartUntilAnswersAreDue(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	schedule := oriolestop.New(start, 6*time.Second)
	is.True(schedule.Starts(start))
	is.True(schedule.Starts(schedule.AnswerUntil.Add(-1)))
	is.True(!schedule.Starts(schedule.AnswerUntil))
	var running *oriolestop.Schedule
	is.True(running.Starts(start))
}

// TestQueuedRequestsAreKeptBesideOtherDispatchers guards against two dispatchers of one pool, and against starting what can't end.
func TestQueuedRequestsAreKeptBesideOtherDispatchers(t *testing.T) {
	start := time.Unix(1000, 0)
	schedule := oriolestop.New(start, 6*time.Second)
	long, short, duration := start.Add(time.Minute), start.Add(time.Second), 400*time.Millisecond
	for _, test := range []struct {
		name     string
		now      time.Time
		deadline time.Time
		other    bool
		want     bool
	}{
		{"ends within the stop", start, short, true, true},
		{"outlasts the stop", start, long, true, false},
		{"outlasts the stop, no other dispatcher", start, long, false, true},
		{"the last that can end", schedule.AnswerUntil.Add(-duration), long, false, true},
		{"the first that can't", schedule.AnswerUntil.Add(-duration + 1), long, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(schedule.Keeps(test.now, test.deadline, duration, test.other), test.want)
			var running *oriolestop.Schedule
			is.True(running.Keeps(test.now, test.deadline, duration, test.other))
		})
	}
}

// TestEndingGatewaysAreAsked guards against requests on their way to a gateway that ends.
func TestEndingGatewaysAreAsked(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	for _, grace := range []time.Duration{2 * time.Second, 6 * time.Second} {
		other := oriolestop.New(start, grace)
		learned := start.Add(100 * time.Millisecond)
		schedule := oriolestop.New(start.Add(time.Second), grace)
		is.True(schedule.Asks(start.Add(time.Second), start.Add(time.Second)))
		for now := start; now.Before(schedule.CutAt); now = now.Add(10 * time.Millisecond) {
			is.True(!schedule.Asks(now, learned) || now.Add(300*time.Millisecond).Before(other.ListenUntil))
		}
	}
	var running *oriolestop.Schedule
	is.True(!running.Asks(start, start)) // it dispatches them itself
}
