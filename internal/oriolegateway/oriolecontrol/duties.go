package oriolecontrol

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolegroup"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
)

// storeCall is one call to the store; exactly one of its parts is set.
type storeCall struct {
	group oriole.GroupID
	write *oriolegroup.WriteRecord
	read  *oriolegroup.ReadRecord
}

// lost returns the event that tells the machine that no answer came.
func (c storeCall) lost() oriolegroup.Event {
	if c.write != nil {
		return oriolegroup.WriteDone{Number: c.write.Number}
	}
	return oriolegroup.ReadDone{Number: c.read.Number}
}

// storeDuty calls the store, one call at a time.
type storeDuty struct{ control *Control }

func (d *storeDuty) String() string { return "call the store" }

// Serve implements suture.Service.
func (d *storeDuty) Serve(ctx context.Context) error {
	for {
		call, err := d.control.store.Take(ctx)
		if err != nil {
			return err
		}
		d.control.cfg.Gate.Wait(ctx)
		var event oriolegroup.Event
		if call.write != nil {
			event = d.write(ctx, call)
		} else {
			event = d.read(ctx, call)
		}
		d.control.cfg.Gate.Wait(ctx)
		if err := d.control.post(ctx, call.group, event); err != nil {
			return err
		}
	}
}

func (d *storeDuty) write(ctx context.Context, call storeCall) oriolegroup.Event {
	done := oriolegroup.WriteDone{Number: call.write.Number}
	value, err := json.Marshal(oriolewire.FromRecord(call.write.Record))
	if err != nil {
		done.Status = oriolegroup.StatusConflict
		return done
	}
	d.control.cfg.Metrics.Add("store_writes", 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := d.control.cfg.Store.Write(ctx, recordPrefix+string(call.group), value, call.write.Expected)
	switch {
	case err == nil:
		done.Status = oriolegroup.StatusDone
		done.Version = version
	case errors.Is(err, oriole.ErrConflict):
		done.Status = oriolegroup.StatusConflict
	default:
		d.control.cfg.Metrics.Add("store_calls_lost", 1)
	}
	return done
}

func (d *storeDuty) read(ctx context.Context, call storeCall) oriolegroup.Event {
	done := oriolegroup.ReadDone{Number: call.read.Number}
	d.control.cfg.Metrics.Add("store_reads", 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := d.control.cfg.Store.Read(ctx, recordPrefix+string(call.group))
	if errors.Is(err, oriole.ErrNotFound) {
		done.Status = oriolegroup.StatusMissing
		return done
	}
	if err == nil {
		done.Record, err = decodeRecord(object.Value)
	}
	if err != nil {
		d.control.cfg.Metrics.Add("store_calls_lost", 1)
		return done
	}
	done.Status = oriolegroup.StatusDone
	done.Version = object.Version
	return done
}

func decodeRecord(value []byte) (rec oriole.Record, err error) {
	defer func() { err = errors.Wrap(err, "decoding a record") }()
	var wire oriolewire.Record
	if err := json.Unmarshal(value, &wire); err != nil {
		return rec, err
	}
	return wire.ToRecord()
}

// grantDuty gives one server its leases.
type grantDuty struct {
	control *Control
	group   oriole.GroupID
	server  oriole.Upstream
	granter oriole.Granter
	ring    *oriolering.Ring[oriole.Grant]
}

func (d *grantDuty) String() string { return "grant " + string(d.server.ID) }

// Serve implements suture.Service.
func (d *grantDuty) Serve(ctx context.Context) error {
	for {
		grant, err := d.ring.Take(ctx)
		if err != nil {
			return err
		}
		d.control.cfg.Gate.Wait(ctx)
		done := d.grant(ctx, grant)
		d.control.cfg.Gate.Wait(ctx)
		if err := d.control.post(ctx, d.group, done); err != nil {
			return err
		}
	}
}

func (d *grantDuty) grant(ctx context.Context, grant oriole.Grant) oriolegroup.GrantDone {
	timeout := time.Duration(d.control.cfg.Settings().Lease.Silence) / 2
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d.control.cfg.Metrics.Add("grants", 1)
	reply, err := d.granter.Grant(ctx, d.server, grant)
	if err != nil {
		d.control.cfg.Metrics.Add("grants_failed", 1)
	}
	return oriolegroup.GrantDone{Grant: grant, Reply: reply, Failed: err != nil}
}

// watchDuty watches the records and settings while this gateway is one of the
// watchers of its zone.
type watchDuty struct{ control *Control }

func (d *watchDuty) String() string { return "watch the store" }

// Serve implements suture.Service.
func (d *watchDuty) Serve(ctx context.Context) error {
	c := d.control
	ticks, stop := c.cfg.Timers.Subscribe(sightInterval)
	defer stop()
	var revision oriole.Version
	// The first answer tells what there is, even if that is nothing.
	wait := time.Duration(0)
	for {
		select {
		case <-ticks:
		case <-ctx.Done():
			return ctx.Err()
		}
		for c.watching.Load() && ctx.Err() == nil {
			next, err := d.watch(ctx, revision, wait)
			if err != nil {
				break
			}
			revision = next
			wait = watchWait
		}
	}
}

// watch waits for one change and returns the revision to go on from.
func (d *watchDuty) watch(ctx context.Context, after oriole.Version, wait time.Duration) (oriole.Version, error) {
	c := d.control
	c.cfg.Gate.Wait(ctx)
	c.cfg.Metrics.Add("store_watches", 1)
	watchCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	objects, revision, err := c.cfg.Store.Watch(watchCtx, "", after, wait)
	if err != nil {
		return after, err
	}
	c.cfg.Gate.Wait(ctx)
	err = c.in.Put(ctx, input{objects: objects, current: true})
	return revision, err
}

// pulseDuty asks whether the store answers, so that gateways can agree on what
// may go on without it before they lose each other.
type pulseDuty struct{ control *Control }

func (d *pulseDuty) String() string { return "pulse of the store" }

// pulseObject is read to see whether the store answers; it need not exist.
const pulseObject = "pulse"

// Serve implements suture.Service.
func (d *pulseDuty) Serve(ctx context.Context) error {
	c := d.control
	ticks, stop := c.cfg.Timers.Subscribe(pulseInterval)
	defer stop()
	for {
		select {
		case <-ticks:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !c.watching.Load() {
			continue
		}
		c.cfg.Gate.Wait(ctx)
		if err := c.in.Put(ctx, input{pulse: &pulse{up: d.ask(ctx)}}); err != nil {
			return err
		}
	}
}

func (d *pulseDuty) ask(ctx context.Context) bool {
	d.control.cfg.Metrics.Add("store_pulses", 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := d.control.cfg.Store.Read(ctx, pulseObject)
	return err == nil || errors.Is(err, oriole.ErrNotFound)
}

// memberDuty reads the platform's list of VMs and keeps this one on it.
type memberDuty struct {
	control   *Control
	announced time.Time
	leaving   bool
}

func (d *memberDuty) String() string { return "list of VMs" }

// Serve implements suture.Service.
func (d *memberDuty) Serve(ctx context.Context) error {
	c := d.control
	ticks, stop := c.cfg.Timers.Subscribe(memberInterval)
	defer stop()
	for {
		c.cfg.Gate.Wait(ctx)
		d.refresh(ctx)
		select {
		case <-ticks:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// announce keeps this gateway on the list, and reports whether it is there.
func (d *memberDuty) announce(ctx context.Context, self oriole.Member) bool {
	now := d.control.cfg.Timers.Now()
	fresh := !d.announced.IsZero() && now.Sub(d.announced) < announceInterval
	if fresh && self.Leaving == d.leaving {
		return true
	}
	d.control.cfg.Metrics.Add("store_announces", 1)
	if err := d.control.cfg.Store.Announce(ctx, self); err != nil {
		return false
	}
	d.announced, d.leaving = now, self.Leaving
	return true
}

func (d *memberDuty) refresh(ctx context.Context) {
	c := d.control
	ctx, cancel := context.WithTimeout(ctx, memberInterval)
	defer cancel()
	self := c.cfg.Self
	self.Leaving = c.leaving.Load()
	if !d.announce(ctx, self) {
		return
	}
	c.cfg.Metrics.Add("store_members", 1)
	members, err := c.cfg.Store.Members(ctx)
	if err != nil {
		return
	}
	// The list lags, so this gateway is added if it is not shown yet.
	c.in.Offer(input{members: append(members, self)})
}
