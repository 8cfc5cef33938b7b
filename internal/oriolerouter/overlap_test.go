package oriolerouter_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/internal/orioleupstream"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
	"github.com/orioleswitch/orioleswitch/platform"
	"github.com/orioleswitch/orioleswitch/platform/standin"
)

// routedLog keeps the dispatcher that each request was last sent to.
type routedLog struct {
	mu          sync.Mutex
	dispatchers map[string]oriole.GatewayID
}

// HandleLog implements [log.Handler].
func (l *routedLog) HandleLog(e *log.Entry) error {
	if e.Message == oriolelog.MessageRouted {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dispatchers[e.Fields[oriolelog.FieldRequestID].(string)] = e.Fields["keeper"].(oriole.GatewayID)
	}
	return nil
}

func (l *routedLog) dispatcherOf(id string) oriole.GatewayID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatchers[id]
}

// startRouters starts gateways of one site.
func startRouters(t *testing.T, objects *standin.Store, routed *routedLog, n int) (routers []*oriolerouter.Router, callerAddrs []netip.AddrPort) {
	t.Helper()
	store := httptest.NewServer(objects)
	t.Cleanup(store.Close)
	for i := range n {
		addrs := freeAddrs(t, 4)
		settings := oriolerouter.Settings{
			VM: fmt.Sprintf("vm-%d", i), Zone: "z", StoreAddr: netip.MustParseAddrPort(strings.TrimPrefix(store.URL, "http://")), MemoryLimit: 1 << 28, GracePeriod: gracePeriod,
			CallerAddr: addrs[0], ReadinessAddr: addrs[1], PeerAddr: addrs[2], AdminAddr: addrs[3],
		}
		directory, closeDirectory := platform.New(settings.StoreAddr, func(string, string, error) {})
		client, closeClient := orioleupstream.New(nil)
		leaser, closeLeaser := platform.NewLeaser(nil)
		r, closeRouter, err := oriolerouter.New(settings, oriolerouter.Platform{
			Directory: directory, Dialect: platform.Dialect{}, Leaser: leaser,
			Sender: orioleupstream.NewSender(client, platform.Dialect{}, orioletimer.New()), CloseIdleConns: client.CloseIdleConns,
		}, &log.Logger{Handler: routed})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := r.ServeBackground(ctx)
		t.Cleanup(func() {
			cancel()
			<-done
			closeRouter()
			closeLeaser()
			closeClient()
			closeDirectory()
		})
		routers, callerAddrs = append(routers, r), append(callerAddrs, settings.CallerAddr)
	}
	return routers, callerAddrs
}

// TestOverlappingStopsLeaveEachGatewayAlone guards against gateways that are all being stopped and each send to the same upstreams.
func TestOverlappingStopsLeaveEachGatewayAlone(t *testing.T) {
	is := is.New(t)
	const (
		gateways = 4
		timeout  = time.Second
		// agreement is shorter than the time for which a gateway that is being stopped listens.
		agreement = 2 * time.Second
	)
	store, checker := standin.NewStore(), standin.NewChecker()
	putConfig(t, store, "s", map[string]time.Duration{"/": timeout})
	_, cleanup, err := standin.NewUpstream(checker, store, "u", "s", "z", netip.AddrPort{})
	is.NoErr(err)
	defer cleanup()
	routed := &routedLog{dispatchers: make(map[string]oriole.GatewayID)}
	routers, addrs := startRouters(t, store, routed, gateways)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	n := 0
	// senders calls each gateway and returns the dispatchers of the requests.
	senders := func() map[oriole.GatewayID]bool {
		dispatchers := make(map[oriole.GatewayID]bool)
		for _, addr := range addrs {
			for n++; !oriolelog.Sampled(fmt.Sprint("id-", n), oriolelog.SampleOneIn); n++ {
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+addr.String()+"/", nil)
			is.NoErr(err)
			req.Host, req.Header = "h", standin.CallerHeader(fmt.Sprint("id-", n), n, timeout)
			resp, err := client.Do(req)
			is.NoErr(err)
			_ = resp.Body.Close()
			dispatchers[routed.dispatcherOf(fmt.Sprint("id-", n))] = true
		}
		return dispatchers
	}
	for _, r := range routers {
		for !r.Ready() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	for len(senders()) > 1 {
		time.Sleep(10 * time.Millisecond)
	}
	var stops sync.WaitGroup
	for _, r := range routers {
		stops.Add(1)
		go func() {
			defer stops.Done()
			_ = r.Drain(context.Background())
		}()
	}
	began := time.Now()
	time.Sleep(200 * time.Millisecond) // usually, all entries are withdrawn
	last := senders()
	for len(last) > 1 && time.Since(began) < agreement {
		time.Sleep(20 * time.Millisecond)
		last = senders()
	}
	if len(last) > 1 {
		t.Errorf("%d gateways dispatch the requests to one pool: %v", len(last), last)
	}
	stops.Wait()
}

// TestStopLeavesRequestsWithoutAnAnswer guards against closing the connection of a request that was taken before the stop and is not answered at its end.
func TestStopLeavesRequestsWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	store, checker := standin.NewStore(), standin.NewChecker()
	putConfig(t, store, "s", map[string]time.Duration{"/": time.Minute})
	_, cleanup, err := standin.NewUpstream(checker, store, "u", "s", "z", netip.AddrPort{}, standin.WithRequestDuration(time.Minute))
	is.NoErr(err)
	defer cleanup()
	r, settings, stop := startRouter(t, store, func(d oriole.Directory) oriole.Directory { return d })
	for !r.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	statuses := make(chan int, 1)
	go func() {
		req, err := http.NewRequest(http.MethodPost, "http://"+settings.CallerAddr.String()+"/", strings.NewReader("x"))
		if err != nil {
			t.Error(err)
		}
		req.Host = "h"
		req.Header = standin.CallerHeader("id", 1, time.Minute)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Error(err)
			statuses <- 0
			return
		}
		_ = resp.Body.Close()
		statuses <- resp.StatusCode
	}()
	for checker.Runs("id") == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	_ = r.Drain(context.Background())
	_ = stop() // as in a process that exits after it has drained
	is.Equal(<-statuses, http.StatusBadGateway)
}
