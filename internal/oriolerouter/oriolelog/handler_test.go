package oriolelog_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
)

// TestNeverBlocks: with nobody writing, logging goes on, and what does not fit
// is counted.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	h := oriolelog.New(&out)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	const lines = 5000
	for range lines {
		logger.WithField("id", "7").Info("refused")
	}
	is.Equal(out.Len(), 0)
	h.Flush()
	written := strings.Count(out.String(), "\n")
	is.True(written > 0)
	is.Equal(int64(lines), h.Dropped()+int64(written))
}

func TestServeWrites(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	h := oriolelog.New(&out)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Serve(ctx) }()
	(&log.Logger{Handler: h, Level: log.InfoLevel}).Info("started")
	cancel()
	<-ended
	h.Flush()
	is.True(strings.Contains(out.String(), `"message":"started"`))
}
