package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The smallest machine of the users' sheets.
const (
	smallMemoryMB    = 144
	smallDescriptors = 3075
	smallShare       = 0.12
)

const (
	crowdTime = 80 * time.Second
	// batchDeadline is that of the uploads.
	batchDeadline = 8 * time.Second
	// The rule is broken if the processes of so many machines end so often.
	endedMachines = 2
	endsEach      = 3
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 300 * time.Millisecond
	watchPeriod  = 10 * time.Millisecond
	ordinary     = 10
)

// crowd is a kind of client, of which there are several at each gateway.
type crowd struct {
	// zones are those of the gateways.
	zones []string
	// upstreams is their number in each of upstreamZones.
	upstreams     int
	upstreamZones []string
	clients       int
	// head returns what a client sends before the body of the request with the ID.
	head func(id, key int) string
	body []byte
}

// crowdOfBodies sends bodies a little smaller than 64 KB, many at once.
func crowdOfBodies(s *site, trouble bool) (held bool, err error) {
	body := bytes.Repeat([]byte("b"), 64_000)
	return s.playCrowd(trouble, crowd{
		zones: []string{"granton", "hobart-wharf", "bridgewater", "bridgewater", "bridgewater"}, upstreams: 12, upstreamZones: []string{"granton", "hobart-wharf"},
		clients: 850, body: body, head: func(id, key int) string { return batchHead(id, key, len(body), "") },
	})
}

// crowdOfFields sends header sections of very many short fields.
func crowdOfFields(s *site, trouble bool) (held bool, err error) {
	var fields strings.Builder
	for i := 0; fields.Len() < 13_300; i++ {
		fields.WriteString(strconv.FormatInt(int64(i), 36) + ":v\r\n")
	}
	return s.playCrowd(trouble, crowd{
		zones: []string{"granton", "hobart-wharf", "bridgewater", "bridgewater", "bridgewater"}, upstreams: 12, upstreamZones: []string{"granton", "hobart-wharf"},
		clients: 150, body: []byte("b"), head: func(id, key int) string { return batchHead(id, key, 1, fields.String()) },
	})
}

// batchHead returns the header section of an upload, with further fields.
func batchHead(id, key, length int, fields string) string {
	return fmt.Sprintf("POST %s%d HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: c%d\r\nX-Deadline-Ms: %d\r\nX-Shard-Key: %d\r\nContent-Length: %d\r\n%s\r\n",
		batches, id, host, id, batchDeadline.Milliseconds(), key, length, fields)
}

// playCrowd has clients send their requests at all gateways, and reports whether the
// gateways' processes stayed within their memory. One that doesn't is killed and started
// again, as the platform does.
func (s *site) playCrowd(trouble bool, c crowd) (held bool, err error) {
	if err := s.startUpstreams(c.upstreams*len(c.upstreamZones), 100*time.Millisecond, c.upstreamZones...); err != nil {
		return false, err
	}
	for i, zone := range c.zones {
		if err := s.startGateway("edge-"+zone+"-"+strconv.Itoa(i+1), zone, smallMemoryMB, smallDescriptors, smallShare, nil); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	end := time.Now().Add(crowdTime)
	var wait sync.WaitGroup
	run := func(f func()) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) {
				f()
			}
		}()
	}
	ends := make([]atomic.Int64, len(c.zones))
	var answers sync.Map
	for i, g := range s.gateways {
		go s.enforceMemory(g, end, &ends[i])
		clients := ordinary
		if trouble {
			clients = c.clients
		}
		for range clients {
			run(func() {
				status := s.sendRaw(g, c)
				n, _ := answers.LoadOrStore(status, new(atomic.Int64))
				n.(*atomic.Int64).Add(1)
				if status != http.StatusOK {
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
	}
	wait.Wait()
	time.Sleep(restartDelay)
	answers.Range(func(status, n any) bool {
		s.say("answers with status %d: %d", status, n.(*atomic.Int64).Load())
		return true
	})
	machines := 0
	for i, g := range s.gateways {
		s.say("%s: %d times over %d MB", g.vm, ends[i].Load(), smallMemoryMB)
		if ends[i].Load() >= endsEach {
			machines++
		}
	}
	return machines < endedMachines, nil
}

// enforceMemory kills the gateway's process whenever it has more memory than its machine,
// and starts it again.
func (s *site) enforceMemory(g *gateway, end time.Time, ends *atomic.Int64) {
	for ; time.Now().Before(end); time.Sleep(watchPeriod) {
		kb, alive := peakMemory(g.process.Pid)
		if alive && kb <= smallMemoryMB<<10 {
			continue
		}
		ends.Add(1)
		s.log("%s: %d KB, alive %v", g.vm, kb, alive)
		_ = g.process.Signal(syscall.SIGKILL)
		_, _ = g.process.Wait()
		time.Sleep(restartDelay)
		if err := s.restart(g); err != nil {
			s.log("%s: %v", g.vm, err)
			return
		}
	}
}

// peakMemory returns the largest resident memory of the process so far, in KB.
func peakMemory(pid int) (kb int, alive bool) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, false
	}
	_, rest, found := strings.Cut(string(data), "VmHWM:")
	if !found {
		return 0, false
	}
	kb, err = strconv.Atoi(strings.Fields(rest)[0])
	return kb, err == nil
}

// sendRaw sends one request of the crowd on a new connection, and returns the status, or 0 if
// there is none.
func (s *site) sendRaw(to *gateway, c crowd) (status int) {
	id := int(lastRequest.Add(1))
	conn, err := net.DialTimeout("tcp", to.callers.String(), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(batchDeadline))
	s.log("sent c%d to %s", id, to.vm)
	if _, err := io.WriteString(conn, c.head(id, id*7919%65536)); err != nil {
		return 0
	}
	// The answer may come before the whole body was sent.
	_, _ = conn.Write(c.body)
	line := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, line); err != nil {
		s.log("answered c%d: %v", id, err)
		return 0
	}
	status, _ = strconv.Atoi(string(line[len(line)-3:]))
	s.log("answered c%d: %d", id, status)
	return status
}
