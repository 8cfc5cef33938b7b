package oriolecli

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

// applyCommand publishes base settings to the store.
type applyCommand struct {
	env *environment
	sitesFlags
	Expect int64 `long:"expect" default:"-1" description:"apply only if this is the current version; any if absent"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	base, targets, err := c.load()
	if err != nil {
		return err
	}
	operator, cleanup := newOperator(base.StoreAddr)
	defer cleanup()
	version, err := c.publish(operator, &base.PublishedSettings)
	if err != nil {
		return err
	}
	return c.env.awaitRollout(targets, "version "+version.String(), func(s oriolerouter.Status) bool { return s.Config >= version })
}

// publish stores the settings as the version after the current one. It returns
// ErrConflict if --expect names another version than the current one.
func (c *applyCommand) publish(operator oriole.Operator, settings *orioleconfig.PublishedSettings) (version oriole.ConfigVersion, err error) {
	defer func() { err = errors.Wrap(err, "publishing settings") }()
	ctx := c.env.ctx
	stored, storeVersion, err := storedConfig(ctx, operator)
	if err != nil {
		return 0, err
	}
	current := oriole.ConfigVersion(0)
	if stored != nil {
		current = stored.Version
	}
	next := settings.Config(current + 1)
	if stored != nil {
		if err := orioleconfig.CheckUpdate(stored, next); err != nil {
			return 0, err
		}
	}
	if c.Expect >= 0 && oriole.ConfigVersion(c.Expect) != current {
		return 0, errors.Wrapf(oriole.ErrConflict, "version %d was applied meanwhile; --expect names version %d", current, c.Expect)
	}
	err = operator.WriteConfig(ctx, next, storeVersion)
	// With ErrBusy the write had no effect.
	if err == nil || errors.Is(err, oriole.ErrBusy) {
		return next.Version, err
	}
	return next.Version, confirmWrite(ctx, operator, next, err)
}

// confirmWrite reads the configuration back after a write that failed, since it may
// have taken effect. It returns nil if it has, ErrConflict if another writer was
// first, and otherwise writeErr.
func confirmWrite(ctx context.Context, operator oriole.Operator, next *oriole.Config, writeErr error) error {
	stored, _, err := storedConfig(ctx, operator)
	switch {
	case err != nil:
		return errors.Wrap(err, "the write may have taken effect; check the stored version before retrying")
	case stored != nil && stored.Version == next.Version && orioleconfig.SamePublished(stored, next):
		return nil
	case stored != nil && stored.Version >= next.Version:
		return errors.Wrapf(oriole.ErrConflict, "version %d was applied meanwhile", stored.Version)
	}
	return writeErr
}

// zoneCommand evacuates an availability zone, or ends its evacuation.
type zoneCommand struct {
	env      *environment
	evacuate bool
	sitesFlags
	Args struct {
		Zone oriole.ZoneName `positional-arg-name:"ZONE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *zoneCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	base, targets, err := c.load()
	if err != nil {
		return err
	}
	zone := c.Args.Zone
	if !slices.Contains(base.Zones, zone) {
		return usageError{errors.Errorf("no such zone: %q", zone)}
	}
	operator, cleanup := newOperator(base.StoreAddr)
	defer cleanup()
	evacuated, _, err := operator.EvacuatedZones().List(c.env.ctx)
	if err != nil {
		return errors.Wrap(err, "listing the evacuated zones")
	}
	remaining := slices.DeleteFunc(slices.Clone(base.Zones), func(z oriole.ZoneName) bool {
		return z == zone || slices.ContainsFunc(evacuated, func(o oriole.Change[oriole.ZoneName]) bool { return o.Name == string(z) })
	})
	if c.evacuate && len(remaining) == 0 {
		return errors.Errorf("%q is the last zone that is not evacuated", zone)
	}
	if err := operator.SetZoneEvacuated(c.env.ctx, zone, c.evacuate); err != nil {
		return errors.Wrapf(err, "changing the evacuation of zone %s", zone)
	}
	return c.env.awaitRollout(targets, "the change of zone "+string(zone), func(s oriolerouter.Status) bool {
		return slices.Contains(s.EvacuatedZones, zone) == c.evacuate
	})
}
