package oriolestate

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
)

const (
	// defaultWatchTimeout bounds one watch call. The store may fail to notify a
	// waiting watch, and a change must take effect within two seconds. Each
	// watch costs one call.
	defaultWatchTimeout = 800 * time.Millisecond
	// zoneWatchTimeout bounds one watch call for evacuated zones. A zone must
	// receive no new requests from five seconds after its evacuation.
	zoneWatchTimeout = 2 * time.Second
	// gatewayWatchTimeout can be longer because peers also learn of a gateway
	// from the first frame on each link that it opens.
	gatewayWatchTimeout = 4 * time.Second
	// relayGrace is how much longer than its own watch timeout a gateway waits
	// for the watcher's next update before it calls the directory.
	relayGrace = 400 * time.Millisecond
	// announceTimeout bounds how long the first list call for gateways is
	// delayed until this gateway is registered. If two gateways start at the
	// same time, listing after registering ensures that at least one of them
	// finds the other.
	announceTimeout = 500 * time.Millisecond
	// coalesceDelay is the pause after a watch that returned changes, so that
	// the next watch returns several changes at once.
	coalesceDelay = 150 * time.Millisecond
	// initialBackoff is the pause after a failed call. It doubles up to
	// maxBackoff, half of the two seconds within which changes must take
	// effect.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = time.Second
	// refreshWait is the wait of a watch that only confirms what is known, which the
	// directory answers at once.
	refreshWait = time.Millisecond
	// refreshTimeout bounds such a call. A slow directory responds within 250 ms.
	refreshTimeout = 600 * time.Millisecond
	// relayRingSize bounds the queued relayed updates of a feed. Dropped updates
	// are fetched from the directory.
	relayRingSize = 64
)

// followDuty follows one feed of the directory. The watcher watches the feed
// and relays changes to its peers; other gateways call the directory only while
// they receive no updates from the watcher.
type followDuty[T any] struct {
	tracker *Tracker
	kind    string
	// watchTimeout bounds one watch call.
	watchTimeout time.Duration
	feed         oriole.Feed[T]
	// newUpdate converts changes to a state update. A reset replaces all
	// entries known so far.
	newUpdate func(reset bool, changes []oriole.Change[T]) update
	// relayed receives the watcher's updates; encode and decode convert entries
	// to and from the wire format.
	relayed *oriolering.Ring[*oriolemessage.Feed]
	encode  func(*oriolemessage.Entry, T)
	decode  func(oriolemessage.Entry) (T, error)
	// refresh, if not nil, receives a value when this gateway has to call the directory
	// although it relies on the watcher. The start of each call that succeeds is then
	// recorded, once its changes are published.
	refresh <-chan struct{}
	// startAfter, if not nil, delays the first list until it is closed or
	// announceTimeout has passed.
	startAfter <-chan struct{}

	// version is the directory version up to which changes have been applied.
	version oriole.Version
	// listed is set once the entries were listed, until they must be listed again.
	listed bool
	// failing is set while the last call to the directory has failed.
	failing bool
	backoff time.Duration
	// standingIn is set while this gateway stands in for the watcher and has
	// relayed a list since.
	standingIn bool
}

func (d *followDuty[T]) String() string { return "follow " + d.kind }

// Serve implements suture.Service.
func (d *followDuty[T]) Serve(ctx context.Context) error {
	d.listed, d.backoff = false, initialBackoff
	if d.startAfter != nil {
		d.awaitAnnounced(ctx)
	}
	for ctx.Err() == nil {
		d.follow(ctx)
	}
	return ctx.Err()
}

// follow makes one call to the directory, or waits for one update from the watcher.
func (d *followDuty[T]) follow(ctx context.Context) {
	role := d.tracker.watcherRole()
	startsToStandIn := role == standsIn && !d.standingIn
	d.standingIn = role == standsIn
	switch {
	case !d.listed, startsToStandIn:
		// Gateways that don't reach the directory may have missed changes that the
		// others have read for themselves.
		d.list(ctx)
	case role == relies:
		d.awaitRelayed(ctx)
	default:
		d.watch(ctx)
	}
}

func (d *followDuty[T]) awaitAnnounced(ctx context.Context) {
	timer := time.NewTimer(announceTimeout)
	defer timer.Stop()
	select {
	case <-d.startAfter:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (d *followDuty[T]) list(ctx context.Context) {
	startedAt := d.tracker.cfg.BootClock.Now()
	changes, version, err := d.feed.List(ctx)
	if d.backOff(ctx, err) {
		return
	}
	d.listed = true
	d.noteEra(ctx, version)
	d.apply(ctx, true, changes, version)
	d.recordCall(ctx, startedAt)
}

func (d *followDuty[T]) watch(ctx context.Context) {
	startedAt := d.tracker.cfg.BootClock.Now()
	changes, version, err := d.feed.Watch(ctx, d.version, d.watchTimeout)
	if errors.Is(err, oriole.ErrHistoryGone) {
		d.listed = false
		return
	}
	if d.backOff(ctx, err) {
		return
	}
	d.apply(ctx, false, changes, version)
	d.recordCall(ctx, startedAt)
	if len(changes) > 0 {
		sleep(ctx, coalesceDelay)
	}
}

// confirm calls the directory although this gateway relies on the watcher. The call is
// short and is not followed by a pause, so that updates of the watcher wait for it no
// longer than refreshTimeout while the directory is silent.
func (d *followDuty[T]) confirm(ctx context.Context) {
	if !d.tracker.needsCall() {
		return
	}
	startedAt := d.tracker.cfg.BootClock.Now()
	callCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	changes, version, err := d.feed.Watch(callCtx, d.version, refreshWait)
	switch {
	case errors.Is(err, oriole.ErrHistoryGone):
		d.listed = false
	case !d.noteResult(ctx, err):
		d.apply(ctx, false, changes, version)
		d.recordCall(ctx, startedAt)
	}
}

// recordCall queues the record of a call that has succeeded, behind its changes.
func (d *followDuty[T]) recordCall(ctx context.Context, startedAt time.Time) {
	if d.refresh != nil {
		d.tracker.enqueue(ctx, callUpdate{startedAt})
	}
}

// apply queues changes for the state duty, and relays them to peers if this
// gateway is the watcher. An update without changes is relayed too, since peers
// that receive none call the directory. A gateway that stands in relays a list first: to
// those that miss changes, other updates are of no use.
func (d *followDuty[T]) apply(ctx context.Context, reset bool, changes []oriole.Change[T], version oriole.Version) {
	if reset || len(changes) > 0 {
		d.tracker.enqueue(ctx, d.newUpdate(reset, changes))
	}
	if role := d.tracker.watcherRole(); role == elected || (role == standsIn && d.standingIn) {
		d.tracker.cfg.BroadcastUpdate(&oriolemessage.Feed{
			Kind: d.kind, Reset: reset, PrevVersion: d.version.Revision, Era: version.Era, Version: version.Revision,
			Entries: oriolemessage.FromChanges(changes, d.encode),
		})
	}
	d.version = version
}

// awaitRelayed waits for an update from the watcher. If none arrives in time it
// calls the directory.
func (d *followDuty[T]) awaitRelayed(ctx context.Context) {
	// Updates that are queued go first: calls to a silent directory would hold them up.
	if feeds := d.queuedUpdates(); len(feeds) > 0 {
		d.applyAllRelayed(ctx, feeds)
		return
	}
	timer := time.NewTimer(d.watchTimeout + relayGrace)
	defer timer.Stop()
	select {
	case feed := <-d.relayed.Out():
		d.applyAllRelayed(ctx, []*oriolemessage.Feed{feed})
	case <-d.refresh:
		d.confirm(ctx)
	case <-timer.C:
		d.watch(ctx)
	case <-ctx.Done():
	}
}

// queuedUpdates returns the queued updates from the watcher.
func (d *followDuty[T]) queuedUpdates() (feeds []*oriolemessage.Feed) {
	for {
		select {
		case feed := <-d.relayed.Out():
			feeds = append(feeds, feed)
		default:
			return feeds
		}
	}
}

// applyAllRelayed applies updates from the watcher. It skips those that a list among them
// replaces, and ends with the first one that can't be applied: each call to a silent
// directory takes seconds, in which more such updates arrive than calls are made.
func (d *followDuty[T]) applyAllRelayed(ctx context.Context, feeds []*oriolemessage.Feed) {
	first, newest := 0, oriole.Version{}
	for i, feed := range feeds {
		version := oriole.Version{Era: feed.Era, Revision: feed.Version}
		if feed.Reset && !version.Before(newest) {
			first = i
		}
		if newest.Before(version) {
			newest = version
		}
	}
	for _, feed := range feeds[first:] {
		if !d.applyRelayed(ctx, feed) {
			return
		}
	}
}

// applyRelayed applies an update from the watcher. If the update is invalid or
// an earlier one is missing, it calls the directory and reports false.
func (d *followDuty[T]) applyRelayed(ctx context.Context, feed *oriolemessage.Feed) bool {
	version := oriole.Version{Era: feed.Era, Revision: feed.Version}
	if !d.version.Before(version) {
		return true
	}
	changes, err := oriolemessage.ToChanges(feed.Entries, d.decode)
	switch {
	case err != nil:
		d.tracker.cfg.Log.WithError(err).WithField("feed", d.kind).Warn("directory update rejected")
		d.watch(ctx)
		return false
	case !feed.Reset && version.Era != d.version.Era:
		d.listed = false
		return false
	case !feed.Reset && d.version.Before(oriole.Version{Era: feed.Era, Revision: feed.PrevVersion}):
		// An earlier update was lost.
		d.watch(ctx)
		return false
	default:
		d.noteEra(ctx, version)
		if feed.Reset || len(changes) > 0 {
			d.tracker.enqueue(ctx, d.newUpdate(feed.Reset, changes))
		}
		d.version = version
	}
	return true
}

// noteEra tells the state duty if the next update is the list of a store that was
// restored since the last one.
func (d *followDuty[T]) noteEra(ctx context.Context, next oriole.Version) {
	if d.version == (oriole.Version{}) || next.Era == d.version.Era {
		return
	}
	d.tracker.cfg.Log.WithFields(log.Fields{
		"feed": d.kind, "era": next.Era, "version": next.Revision, "oldera": d.version.Era, "oldversion": d.version.Revision,
	}).Warn(oriolelog.MessageDirectoryRestored)
	d.tracker.enqueue(ctx, restoredUpdate{d.kind})
}

// backOff records the result of a directory call and reports whether the call
// failed. After a failure it pauses, longer each time.
func (d *followDuty[T]) backOff(ctx context.Context, err error) bool {
	if !d.noteResult(ctx, err) {
		return false
	}
	sleep(ctx, d.backoff)
	d.backoff = min(2*d.backoff, maxBackoff)
	return true
}

// noteResult records the result of a directory call and reports whether the call failed.
func (d *followDuty[T]) noteResult(ctx context.Context, err error) bool {
	logger := d.tracker.cfg.Log.WithField("feed", d.kind)
	if err == nil {
		d.tracker.recordResponse()
		if d.failing {
			logger.Info(oriolelog.MessageDirectoryRegained)
		}
		d.failing, d.backoff = false, initialBackoff
		return false
	}
	if !d.failing {
		logger.WithError(err).Warn(oriolelog.MessageDirectoryLost)
	}
	d.failing = true
	d.tracker.enqueue(ctx, failureUpdate{})
	return true
}

func (t *Tracker) enqueue(ctx context.Context, u update) {
	// Put fails only when the gateway shuts down.
	_ = t.updates.Put(ctx, u)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
