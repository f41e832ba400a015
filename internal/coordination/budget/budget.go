// Package budget limits extra subrequests (hedges and retries) to a share of
// the first subrequests of a service.
package budget

import "sync"

// maxTokens bounds how many extra subrequests a quiet period may save up.
const maxTokens = 100

// Budget is a token bucket that first subrequests fill. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// New returns a budget of share extra subrequests for each first one.
func New(share float64) *Budget {
	return &Budget{share: share, tokens: 1}
}

// SetShare changes the share.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	b.share = share
	b.mu.Unlock()
}

// Earn counts n first subrequests.
func (b *Budget) Earn(n int) {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.share*float64(n), maxTokens)
	b.mu.Unlock()
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Drain empties the budget; a shedding service pays no extra subrequests.
func (b *Budget) Drain() {
	b.mu.Lock()
	b.tokens = 0
	b.mu.Unlock()
}
