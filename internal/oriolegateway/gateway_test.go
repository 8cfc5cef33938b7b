package oriolegateway_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter"
	"github.com/orioleswitch/orioleswitch/internal/oriolesite"
)

// blockedWriter is a pipe that nobody reads.
type blockedWriter struct{ writing, released chan struct{} }

func (w blockedWriter) Write(data []byte) (int, error) {
	select {
	case w.writing <- struct{}{}:
	default:
	}
	<-w.released
	return len(data), nil
}

// TestUnreadLogDoesNotOutlastGracePeriod guards against a process that is killed
// because its log can't be written.
func TestUnreadLogDoesNotOutlastGracePeriod(t *testing.T) {
	is := is.New(t)
	addrs, err := oriolesite.FreeAddrs(5)
	is.NoErr(err)
	settings := oriolerouter.Settings{
		VM: "vm", Zone: "z", StoreAddr: netip.AddrPort(addrs[4]), MemoryLimit: 1 << 28, GracePeriod: 6 * time.Second,
		CallerAddr: addrs[0], ReadinessAddr: addrs[1], PeerAddr: addrs[2], AdminAddr: addrs[3],
	}
	w := blockedWriter{make(chan struct{}, 1), make(chan struct{})}
	defer close(w.released)
	gateway, cleanup, err := oriolegateway.New(settings, w, log.InfoLevel)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := gateway.ServeBackground(ctx)
	gateway.Log.Info("line")
	<-w.writing
	begin := time.Now()
	ended := make(chan error, 1)
	go func() {
		err := gateway.Drain(context.Background())
		cancel()
		<-done
		gateway.Log.Info("last line")
		cleanup()
		ended <- err
	}()
	select {
	case err := <-ended:
		is.NoErr(err)
		is.True(time.Since(begin) < settings.GracePeriod)
	case <-time.After(settings.GracePeriod):
		t.Fatal("still running at the end of the grace period")
	}
}
