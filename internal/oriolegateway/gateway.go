// Package oriolegateway assembles a gateway from the router, its log and the
// clients of the platform's directory and upstreams.
package oriolegateway

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/internal/orioleupstream"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolestop"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
	"github.com/orioleswitch/orioleswitch/platform"
)

// Gateway is a router and its log.
type Gateway struct {
	*oriolerouter.Router
	Log log.Interface
}

// New returns a gateway that logs to w at the given level, and a function that
// closes its listeners and connections and flushes the log.
func New(settings oriolerouter.Settings, w io.Writer, level log.Level) (g *Gateway, cleanup func(), err error) {
	defer func() { err = errors.Wrapf(err, "create the gateway of VM %s", settings.VM) }()
	clock := &orioletelemetry.LogicalClock{}
	logHandler := oriolelog.New(w, clock)
	logger := (&log.Logger{Handler: logHandler, Level: level}).WithField(oriolelog.FieldVM, settings.VM)
	decodeErrors := &decodeErrorLog{log: logger, logged: make(map[string]bool)}
	directory, closeDirectory := platform.New(settings.StoreAddr, decodeErrors.add)
	memory := oriolememory.New(settings.MemoryLimit, orioleupstream.MaxBodyBytes)
	client, closeClient := orioleupstream.New(memory.Responses)
	leaser, closeLeaser := platform.NewLeaser(memory.Responses)
	closeClients := func() {
		closeLeaser()
		closeClient()
		closeDirectory()
	}
	router, closeRouter, err := oriolerouter.New(settings, oriolerouter.Platform{
		Directory: directory,
		Dialect:   platform.Dialect{},
		Leaser:    leaser,
		Sender:    orioleupstream.NewSender(client, platform.Dialect{}, orioletimer.New()),
		CloseIdleConns: func(keep func(oriole.Incarnation) bool) {
			client.CloseIdleConns(keep)
			leaser.CloseIdleConns(keep)
		},
		BodyMemory: memory.Bodies,
		PeerMemory: memory.Peers,
		LinkMemory: memory.Links,
	}, logger, oriolerouter.WithClock(clock))
	if err != nil {
		closeClients()
		return nil, nil, err
	}
	router.Add(logHandler)
	router.Gauge("log_lines_dropped", func() any { return logHandler.Dropped() })
	router.Gauge("directory_entries_refused", func() any { return decodeErrors.count.Load() })
	router.Gauge("configs_rejected", func() any { return decodeErrors.configs.Load() })
	router.Gauge("memory_responses", func() any { return memory.Responses.Usage() })
	router.Gauge("memory_peers", func() any { return memory.Peers.Usage() })
	router.Gauge("memory_links", func() any { return memory.Links.Usage() })
	router.Gauge("store_calls", func() any { return directory.CallCounts() })
	return &Gateway{router, logger}, func() {
		closeRouter()
		closeClients()
		flush(logHandler)
	}, nil
}

// flush writes the queued log lines, for at most oriolestop.FlushTimeout: nobody may
// read the log.
func flush(logHandler *oriolelog.Handler) {
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		logHandler.Flush()
	}()
	timer := time.NewTimer(oriolestop.FlushTimeout)
	defer timer.Stop()
	select {
	case <-flushed:
	case <-timer.C:
	}
}

// maxLoggedEntries limits the directory entries that are remembered as logged.
// Beyond it, decoding errors are only counted.
const maxLoggedEntries = 1024

// configKind is the kind of directory entries that hold configurations.
const configKind = "config"

// decodeErrorLog logs the first decoding error of each directory entry, and
// counts all of them. Configurations are told apart by their errors, which have the
// version: each that is rejected is logged and counted as such once, although it is
// listed again and again.
type decodeErrorLog struct {
	log    log.Interface
	mu     sync.Mutex
	logged map[string]bool
	// rejected is the last error of a configuration.
	rejected string
	count    atomic.Int64
	configs  atomic.Int64
}

func (l *decodeErrorLog) add(kind, name string, err error) {
	l.count.Add(1)
	if l.isNew(kind, name, err) {
		l.log.WithError(err).WithFields(log.Fields{"kind": kind, "name": name}).Warn("cannot decode directory entry")
	}
}

// isNew reports whether the error is to be logged.
func (l *decodeErrorLog) isNew(kind, name string, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind == configKind {
		rejected := name + ": " + err.Error()
		if rejected == l.rejected {
			return false
		}
		l.rejected = rejected
		l.configs.Add(1)
		return true
	}
	entry := kind + "/" + name
	if l.logged[entry] || len(l.logged) >= maxLoggedEntries {
		return false
	}
	l.logged[entry] = true
	return true
}
