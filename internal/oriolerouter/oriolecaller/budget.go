package oriolecaller

import (
	"sync"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// earnedPart is the part of a resend that each request earns: half of
	// what the platform bounds, so that the gateways together keep to it
	// however unevenly requests reach them.
	earnedPart = 0.1
	// mostSaved bounds the resends that one gateway may save up for a burst.
	mostSaved = 4
)

// budget bounds the requests that are sent again, for each service.
type budget struct {
	mu    sync.Mutex
	saved map[oriole.ServiceName]float64
}

func newBudget() *budget { return &budget{saved: make(map[oriole.ServiceName]float64)} }

// earn counts a request.
func (b *budget) earn(service oriole.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved, known := b.saved[service]
	if !known {
		saved = 1
	}
	b.saved[service] = min(saved+earnedPart, mostSaved)
}

// spend takes one resend, and reports whether there was one.
func (b *budget) spend(service oriole.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved[service] < 1 {
		return false
	}
	b.saved[service]--
	return true
}
