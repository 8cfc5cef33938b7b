package oriolecli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway"
	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolecontrol"
	"github.com/orioleswitch/orioleswitch/internal/orioleplatform"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

// storeTimeout bounds one call to the platform by an operator's command.
const storeTimeout = 5 * time.Second

// forceTimeout is how long settings may take to be in force everywhere.
const forceTimeout = 7 * time.Second

// zoneTries is how often a change of a zone is tried again after another
// operator's change came between.
const zoneTries = 3

// publisher writes settings to the platform's store.
type publisher struct {
	env   *environment
	store oriole.Store
}

func (env *environment) newPublisher(settings *orioleconfig.Settings) (p *publisher, cleanup func()) {
	client, cleanup := orioleplatform.New(settings.Platform)
	return &publisher{env: env, store: client}, cleanup
}

// read returns the stored settings; the version is 0 if there are none.
func (p *publisher) read() (object oriole.Object, err error) {
	ctx, cancel := context.WithTimeout(p.env.ctx, storeTimeout)
	defer cancel()
	object, err = p.store.Read(ctx, oriolecontrol.SettingsObject)
	if errors.Is(err, oriole.ErrNotFound) {
		return oriole.Object{Name: oriolecontrol.SettingsObject}, nil
	}
	return object, errors.Wrap(err, "the platform's store is away")
}

// write replaces the settings if they have the expected version. When no
// answer comes it reads back what has become of the write.
func (p *publisher) write(value []byte, expected oriole.Version) (oriole.Version, error) {
	ctx, cancel := context.WithTimeout(p.env.ctx, storeTimeout)
	defer cancel()
	version, err := p.store.Write(ctx, oriolecontrol.SettingsObject, value, expected)
	if err == nil {
		return version, nil
	}
	now, readErr := p.read()
	switch {
	case readErr != nil:
		return 0, errors.Wrap(readErr, "the write may have taken effect; look before trying again")
	case now.Version > expected && bytes.Equal(now.Value, value):
		return now.Version, nil
	case now.Version != expected:
		return 0, errors.Wrapf(oriole.ErrConflict, "version %d was applied meanwhile, not %d that this change starts from", now.Version, expected)
	}
	return 0, err
}

// settle waits until the version is in force on all gateways of the sites.
func (p *publisher) settle(sites []site, version oriole.Version) error {
	start := time.Now()
	for {
		answers := callAll[oriolegateway.Status](p.env.ctx, sites, http.MethodGet, oriolegateway.StatusPath)
		behind := 0
		for _, a := range answers {
			if a.Error != "" || a.Answer.Settings < version {
				behind++
			}
		}
		took := time.Since(start)
		if behind == 0 {
			fmt.Fprintf(p.env.stdout, "version %d is in force on %d gateways after %v\n", version, len(sites), took.Round(time.Millisecond))
			return nil
		}
		if took > forceTimeout {
			return errors.Errorf("version %d is applied, but %d of %d gateways do not show it after %v", version, behind, len(sites), forceTimeout)
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-p.env.ctx.Done():
			return p.env.ctx.Err()
		}
	}
}

// applyCommand publishes base settings.
type applyCommand struct {
	env *environment
	sitesFlags
	Expect int64 `long:"expect" default:"-1" description:"version that the change starts from; the present one if absent"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	sites, err := c.sites()
	if err != nil {
		return err
	}
	value, err := os.ReadFile(c.Base)
	if err != nil {
		return errors.Wrap(err, "reading the base file")
	}
	publisher, cleanup := c.env.newPublisher(&sites[0].settings)
	defer cleanup()
	current, err := publisher.read()
	if err != nil {
		return err
	}
	if err := checkStored(current.Value, value); err != nil {
		return err
	}
	expected := current.Version
	if c.Expect >= 0 {
		expected = oriole.Version(c.Expect)
	}
	version, err := publisher.write(value, expected)
	if err != nil {
		return err
	}
	return publisher.settle(sites, version)
}

// checkStored returns an error if the new base can't follow the stored one
// while the system runs.
func checkStored(stored, value []byte) error {
	next, err := orioleconfig.Parse("base", value, "", nil)
	if err != nil || stored == nil {
		return err
	}
	old, err := orioleconfig.Parse("stored", stored, "", nil)
	if err != nil {
		return err
	}
	return orioleconfig.CheckChange(&old, &next)
}

// zoneCommand takes an availability zone out, or back in.
type zoneCommand struct {
	env *environment
	out bool
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
	sites, err := c.sites()
	if err != nil {
		return err
	}
	base, err := os.ReadFile(c.Base)
	if err != nil {
		return errors.Wrap(err, "reading the base file")
	}
	publisher, cleanup := c.env.newPublisher(&sites[0].settings)
	defer cleanup()
	for try := 1; ; try++ {
		version, err := publisher.changeZone(base, c.Args.Zone, c.out)
		if err == nil {
			return publisher.settle(sites, version)
		}
		if try == zoneTries || !errors.Is(err, oriole.ErrConflict) {
			return err
		}
	}
}

// changeZone applies the present settings, or the base if none are stored, with
// the zone changed.
func (p *publisher) changeZone(base []byte, zone oriole.ZoneName, out bool) (oriole.Version, error) {
	current, err := p.read()
	if err != nil {
		return 0, err
	}
	if current.Value != nil {
		base = current.Value
	}
	value, err := orioleconfig.SetZone(base, zone, out)
	if err != nil {
		return 0, err
	}
	return p.write(value, current.Version)
}
