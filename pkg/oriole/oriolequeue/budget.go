package oriolequeue

// Each request earns a share of a retry, up to a bound, so that retries never
// add more than that share to the load.
const (
	earnedRetries = 0.1
	maxRetries    = 20.0
)

// budget bounds retries.
type budget struct {
	spent float64
}

func (b *budget) earn() { b.spent = max(0, b.spent-earnedRetries) }

// spend takes one retry out of the budget, or reports false.
func (b *budget) spend() bool {
	if b.spent+1 > maxRetries {
		return false
	}
	b.spent++
	return true
}
