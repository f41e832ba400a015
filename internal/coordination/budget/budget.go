// Package budget limits extra subrequests (hedges and retries) to a share of
// the first subrequests of a service.
package budget

import "sync"

// maxTokens bounds how many extra subrequests a quiet period may save up.
const maxTokens = 100

// shedFactor multiplies the tokens after each refusal.
const shedFactor = 0.5

// Budget is a token bucket that first subrequests fill. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	most   float64
	tokens float64
}

// New returns a budget of share extra subrequests for each first one.
func New(share float64) *Budget {
	return NewBounded(share, maxTokens, 1)
}

// NewBounded returns a budget that a quiet period fills up to most tokens, at
// least 1, and that begins with saved of them. The sum of most over all nodes bounds
// a burst of the whole system.
func NewBounded(share, most, saved float64) *Budget {
	most = max(most, 1)
	return &Budget{share: share, most: most, tokens: min(saved, most)}
}

// SetShare changes the share.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	b.share = share
	b.mu.Unlock()
}

// SetMax changes what a quiet period may save up.
func (b *Budget) SetMax(most float64) {
	b.mu.Lock()
	b.most = max(most, 1)
	b.tokens = min(b.tokens, b.most)
	b.mu.Unlock()
}

// Earn counts n first subrequests.
func (b *Budget) Earn(n int) {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.share*float64(n), b.most)
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

// SpendSpare takes one token of the upper half of the bucket and reports whether
// there was one. Rounds for shards that are lost pay this way, so that they leave
// tokens for the hedges and retries of the others.
func (b *Budget) SpendSpare() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < b.most/2+1 {
		return false
	}
	b.tokens--
	return true
}

// OnShed records that a leaf refused work for lack of capacity. Sustained shedding
// empties the budget, since extra subrequests would add to the overload.
func (b *Budget) OnShed() {
	b.mu.Lock()
	b.tokens *= shedFactor
	b.mu.Unlock()
}
