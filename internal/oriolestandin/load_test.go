package oriolestandin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLoadReportsLag(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var h loadHistory
	h.add(start, 1)
	h.add(start.Add(loadLag/2), 0.5)
	is.Equal(h.at(start.Add(loadLag-1)), 0.0)
	is.Equal(h.at(start.Add(loadLag)), 1.0)
	is.Equal(h.at(start.Add(2*loadLag)), 0.5)
}
