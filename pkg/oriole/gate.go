package oriole

import "context"

// Gate is where a duty waits while its gateway is held up. Tests and the demo
// use it to pause a gateway as a whole; in production it is always open.
type Gate interface {
	// Wait returns at once while the gate is open, and otherwise when it opens
	// or ctx is done.
	Wait(ctx context.Context)
}

// OpenGate is a Gate that never holds anyone up.
type OpenGate struct{}

// Wait implements Gate.
func (OpenGate) Wait(context.Context) {}
