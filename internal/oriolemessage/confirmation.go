package oriolemessage

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolerevocation"
)

const (
	// neverConfirmed is the age of a configuration that was never confirmed.
	neverConfirmed = -1
	// maxConfirmationAge is the largest age in microseconds that a duration holds.
	maxConfirmationAge = math.MaxInt64 / int64(time.Microsecond)
)

// FromConfirmation returns the message with a reply. The age is rounded up, so that the
// receiver takes the configuration for no newer than it is.
func FromConfirmation(r oriolerevocation.Reply) *Confirmation {
	m := &Confirmation{Number: r.Number, Version: uint64(r.Version), Age: neverConfirmed}
	if r.Confirmed {
		m.Age = int64((r.Age + time.Microsecond - 1) / time.Microsecond)
	}
	return m
}

// ToConfirmation returns the reply that the message holds.
func (m *Confirmation) ToConfirmation() (r oriolerevocation.Reply, err error) {
	if m.Age < neverConfirmed || m.Age > maxConfirmationAge {
		return r, errors.Wrap(ErrMalformed, "confirmation: invalid age")
	}
	r = oriolerevocation.Reply{Number: m.Number, Version: oriole.ConfigVersion(m.Version)}
	if m.Age != neverConfirmed {
		r.Age, r.Confirmed = time.Duration(m.Age)*time.Microsecond, true
	}
	return r, nil
}
