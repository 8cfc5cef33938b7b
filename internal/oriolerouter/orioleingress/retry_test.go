package orioleingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestLostRequestDrawsOnTheBudgetOnce guards against a lost request that takes the retries of others, or is given up for a retry that isn't made.
func TestLostRequestDrawsOnTheBudgetOnce(t *testing.T) {
	for _, test := range []struct {
		name         string
		idempotent   bool
		attemptsLeft int
		tokens       float64
		want         bool
		left         float64
	}{
		{"retried", true, 1, 2, true, 1},
		{"not idempotent", false, 1, 2, false, 2},
		{"no attempt left", true, 0, 2, false, 2},
		{"no budget", true, 1, 0.5, false, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(&recordingDispatcher{})
			f.budget.tokens["s"] = test.tokens
			mayRetry := f.retryOfLost(oriole.Request{Service: "s", Idempotent: test.idempotent, Deadline: time.Now().Add(time.Minute)}, test.attemptsLeft)
			is.Equal(mayRetry(), test.want)
			is.Equal(mayRetry(), test.want)
			is.Equal(f.budget.tokens["s"], test.left)
		})
	}
}
