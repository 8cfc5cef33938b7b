package oriolelink

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLinkTimesIgnoreClockSteps guards against links without heartbeats after the wall
// clock was set back: the times of frames keep their monotonic reading.
func TestLinkTimesIgnoreClockSteps(t *testing.T) {
	is := is.New(t)
	l := &link{}
	is.True(l.lastWrite.age(time.Now()) > time.Hour)
	l.lastWrite.set(time.Now())
	is.True(strings.Contains(l.lastWrite.at.Load().String(), " m=+"))
	is.True(l.lastWrite.age(time.Now()) < time.Hour)
}
