package oriolestate

import (
	"context"
	"sync"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolerevocation"
)

// confirmation is the confirmation of the configuration in use. The confirm duty, the
// state duty, the links and callers' requests share it.
type confirmation struct {
	clock oriole.Clock
	// refresh has the follow duty of configurations call the directory.
	refresh chan struct{}

	mu        sync.Mutex
	freshness *oriolerevocation.Freshness
}

func newConfirmation(cfg Config) *confirmation {
	return &confirmation{clock: cfg.BootClock, refresh: make(chan struct{}, 1), freshness: oriolerevocation.New(cfg.RevocationBound)}
}

// callUpdate records the start of a call to the directory for configurations, whose
// changes are queued before it.
type callUpdate struct{ startedAt time.Time }

func (u callUpdate) apply(_ *oriole.ClusterState, b *bookkeeping) {
	if u.startedAt.After(b.calledAt) {
		b.calledAt = u.startedAt
	}
}

// recordCall confirms the published configuration by the last call, if the directory
// holds just that one.
func (t *Tracker) recordCall(b *bookkeeping) {
	if t.confirmation == nil || b.calledAt.IsZero() {
		return
	}
	var stored oriole.ConfigVersion
	for _, version := range b.storedConfigs {
		stored = max(stored, version)
	}
	c := t.confirmation
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freshness.RecordCall(b.calledAt, stored, t.configVersion())
	b.calledAt = time.Time{}
}

// configVersion returns the version of the published configuration, or 0.
func (t *Tracker) configVersion() oriole.ConfigVersion {
	if cfg := t.Snapshot().Config; cfg != nil {
		return cfg.Version
	}
	return 0
}

// Confirmed reports whether the configuration is recent enough to tell which API keys are
// valid. The configuration must be read after the call: a newer one may take effect and be
// confirmed meanwhile.
func (t *Tracker) Confirmed() bool {
	c := t.confirmation
	if c == nil {
		return true
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.Passes(now)
}

// needsCall reports whether the confirmation is old enough for a call to the directory.
func (t *Tracker) needsCall() bool {
	c := t.confirmation
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.NeedsCall(now)
}

// ConfirmationAge returns the age of the confirmation of the configuration. It reports
// false if there is none, or if none is needed.
func (t *Tracker) ConfirmationAge() (age time.Duration, confirmed bool) {
	c := t.confirmation
	if c == nil {
		return 0, false
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.freshness.Active() {
		return 0, false
	}
	return c.freshness.Age(now)
}

// HandleConfirmationRequest replies to a peer's query, unless no confirmation is needed
// here.
func (t *Tracker) HandleConfirmationRequest(from oriole.GatewayID, m *oriolemessage.ConfirmationRequest) {
	c := t.confirmation
	if c == nil {
		return
	}
	now := c.clock.Now()
	c.mu.Lock()
	active := c.freshness.Active()
	// A confirmation is recorded under the lock and after its configuration was
	// published, so that the version read here is not older than the confirmation.
	reply := c.freshness.Reply(now, m.Number, t.configVersion())
	c.mu.Unlock()
	if !active {
		return
	}
	t.cfg.Metrics.Add("confirm_replies_sent", 1)
	t.cfg.SendFrame(from, &oriolemessage.Frame{Confirmation: oriolemessage.FromConfirmation(reply)})
}

// HandleConfirmation records a peer's reply to a query.
func (t *Tracker) HandleConfirmation(from oriole.GatewayID, reply oriolerevocation.Reply) {
	c := t.confirmation
	if c == nil {
		return
	}
	now := c.clock.Now()
	c.mu.Lock()
	confirmed := c.freshness.RecordReply(now, from, reply, t.configVersion())
	c.mu.Unlock()
	if confirmed {
		t.cfg.Metrics.Add("confirm_replies", 1)
	} else {
		t.cfg.Metrics.Add("confirm_replies_unused", 1)
	}
}

// confirmDuty keeps the configuration in use confirmed: it queries the watcher, and has
// the directory called when that does not help.
type confirmDuty struct {
	tracker *Tracker
	*confirmation
}

func (d *confirmDuty) String() string { return "confirm configuration" }

// Serve implements suture.Service.
func (d *confirmDuty) Serve(ctx context.Context) error {
	ticks, stop := d.tracker.cfg.Timers.Subscribe(d.freshness.CheckInterval())
	defer stop()
	// A change of the state may make a confirmation necessary, or change the watcher.
	changed := d.tracker.Subscribe()
	passed := false
	for {
		select {
		case <-ticks:
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		passed = d.step(passed)
	}
}

// step does what is due and reports whether requests with a key pass, which it logs if it
// differs from passed.
func (d *confirmDuty) step(passed bool) bool {
	t := d.tracker
	state := t.Snapshot()
	active := state.Config != nil && state.Config.Keyed
	var ranked []oriole.GatewayID
	if active {
		ranked = rankWatchers(state)
	}
	now := d.clock.Now()
	d.mu.Lock()
	d.freshness.SetActive(now, active)
	if active {
		d.freshness.SetUsed(now, state.Config.Version)
	}
	next := d.freshness.Next(now, t.cfg.Self.ID, ranked)
	passes := active && d.freshness.Passes(now)
	age, confirmed := d.freshness.Age(now)
	d.mu.Unlock()
	if next.Ask != "" {
		t.cfg.Metrics.Add("confirm_queries", 1)
		t.cfg.SendFrame(next.Ask, &oriolemessage.Frame{ConfirmationRequest: &oriolemessage.ConfirmationRequest{Number: next.Number}})
	}
	if next.CallStore {
		t.cfg.Metrics.Add("confirm_store_calls", 1)
		select {
		case d.refresh <- struct{}{}:
		default:
		}
	}
	if passes == passed || !active {
		return passes
	}
	logger := t.cfg.Log.WithField("version", state.Config.Version)
	if confirmed {
		logger = logger.WithField("age", age.String())
	}
	if passes {
		t.cfg.Metrics.Add("confirm_regained", 1)
		logger.Info(oriolelog.MessageConfirmationRegained)
	} else {
		t.cfg.Metrics.Add("confirm_lost", 1)
		logger.Warn(oriolelog.MessageConfirmationLost)
	}
	return passes
}

// rankWatchers returns the live gateways in the order in which they are elected as the
// watcher.
func rankWatchers(state *oriole.ClusterState) []oriole.GatewayID {
	return orioleplacement.RankLeaders(watcherSubject, state.LiveMembers())
}
