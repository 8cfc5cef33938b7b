package oriolehub

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// watchSpan is how long one watch waits. Each costs a call, and a
	// connection that went silent is found by its own probes.
	watchSpan = 25 * time.Second
	// watchPause lets changes that come together be fetched together.
	watchPause = 200 * time.Millisecond
	// failedPause is the pause after a call that failed; it doubles up to
	// failedPauseMost, well within the seconds that changes have to be in
	// force.
	failedPause     = 250 * time.Millisecond
	failedPauseMost = time.Second
)

// followDuty follows one feed of the directory.
type followDuty[T any] struct {
	hub  *Hub
	name string
	feed oriole.Feed[T]
	// news returns what changes tell. A reset replaces all that was known.
	news func(reset bool, changes []oriole.Change[T]) news
}

func (d *followDuty[T]) String() string { return "follow " + d.name }

// Serve implements suture.Service.
func (d *followDuty[T]) Serve(ctx context.Context) error {
	var at oriole.Version
	listed, failing := false, false
	pause := failedPause
	for ctx.Err() == nil {
		var changes []oriole.Change[T]
		var err error
		reset := !listed
		if reset {
			changes, at, err = d.feed.List(ctx)
		} else {
			changes, at, err = d.feed.Watch(ctx, at, watchSpan)
		}
		switch {
		case errors.Is(err, oriole.ErrHistoryGone):
			listed = false
			continue
		case err != nil:
			if !failing {
				failing = true
				d.hub.cfg.Log.WithError(err).WithField("feed", d.name).Warn("directory lost")
			}
			d.hub.put(ctx, troubleNews{})
			sleep(ctx, pause)
			pause = min(2*pause, failedPauseMost)
			continue
		}
		if failing {
			failing = false
			d.hub.cfg.Log.WithField("feed", d.name).Info("directory regained")
		}
		pause = failedPause
		listed = true
		if reset || len(changes) > 0 {
			d.hub.put(ctx, d.news(reset, changes))
			sleep(ctx, watchPause)
		}
	}
	return ctx.Err()
}

func (h *Hub) put(ctx context.Context, n news) {
	// It fails only when the gateway ends.
	_ = h.news.Put(ctx, n)
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
