package oriolestandin

import (
	"net/http"
	"time"
)

// LoadPath is where an upstream reports its load.
const LoadPath = "/standin/load"

// loadLag is how late load reports are, and loadSamples bounds the samples that
// wait to be reported.
const (
	loadLag     = time.Second
	loadSamples = 1024
)

// loadSample is the share of slots in use from a time on.
type loadSample struct {
	at   time.Time
	load float64
}

// loadReport is the answer to a request for the load.
type loadReport struct {
	// Load is the share of slots that were in use a while ago.
	Load float64 `json:"load"`
}

// loadHistory reports load late.
type loadHistory struct {
	samples  []loadSample
	reported float64
}

// add records the load from now on.
func (h *loadHistory) add(now time.Time, load float64) {
	if len(h.samples) == loadSamples {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, loadSample{now, load})
}

// at returns the load that is reported at now: the one that was true a lag ago.
func (h *loadHistory) at(now time.Time) float64 {
	for len(h.samples) > 0 && now.Sub(h.samples[0].at) >= loadLag {
		h.reported = h.samples[0].load
		h.samples = h.samples[1:]
	}
	return h.reported
}

// serveLoad answers with the lagging report.
func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	report := loadReport{Load: u.load.at(time.Now())}
	u.mu.Unlock()
	writeJSON(w, report)
}

// noteLoad records the present load. The caller holds the lock.
func (u *Upstream) noteLoad() {
	u.load.add(time.Now(), float64(u.running)/float64(u.cfg.Slots))
}
