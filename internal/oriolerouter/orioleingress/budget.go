package orioleingress

import (
	"sync"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// retryRatio is the number of retries that each request adds to the budget.
	// It is half of the platform's limit of a fifth of the requests, so that the
	// gateways together stay within the limit however unevenly requests are
	// spread over them.
	retryRatio = 0.1
	// maxTokens limits the burst of retries of a service in one gateway.
	maxTokens = 4
)

// retryBudget limits the retries of each service to a share of its requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens map[oriole.ServiceName]float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: make(map[oriole.ServiceName]float64)} }

// deposit adds the retry ratio to the service's tokens for a new request.
func (b *retryBudget) deposit(service oriole.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.tokens[service]
	if !known {
		tokens = 1
	}
	b.tokens[service] = min(tokens+retryRatio, maxTokens)
}

// withdraw takes one token for a retry, and reports whether there was one.
func (b *retryBudget) withdraw(service oriole.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
