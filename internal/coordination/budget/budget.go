// Package budget limits extra subrequests (hedges and retries) to a ratio of the
// first subrequests of a service.
package budget

import "sync"

// defaultMaxTokens bounds how many tokens for extra subrequests accumulate while
// there are few hedges and retries.
const defaultMaxTokens = 100

// shedFactor multiplies the number of tokens after each refusal.
const shedFactor = 0.5

// Budget is a token bucket that is filled by first subrequests and spent by extra ones.
// It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	share     float64
	maxTokens float64
	tokens    float64
}

// New returns a budget of share extra subrequests for each first subrequest.
func New(share float64) *Budget {
	return NewBounded(share, defaultMaxTokens, 1)
}

// NewBounded returns a budget that accumulates up to maxTokens tokens, at least 1, and
// starts with initial tokens. The sum of maxTokens over all nodes bounds the burst of
// extra subrequests of the whole system.
func NewBounded(share, maxTokens, initial float64) *Budget {
	maxTokens = max(maxTokens, 1)
	return &Budget{share: share, maxTokens: maxTokens, tokens: min(initial, maxTokens)}
}

// SetShare changes the number of extra subrequests for each first subrequest.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	b.share = share
	b.mu.Unlock()
}

// SetMax changes the maximum number of tokens, at least 1.
func (b *Budget) SetMax(maxTokens float64) {
	b.mu.Lock()
	b.maxTokens = max(maxTokens, 1)
	b.tokens = min(b.tokens, b.maxTokens)
	b.mu.Unlock()
}

// Earn adds the tokens for n first subrequests.
func (b *Budget) Earn(n int) {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.share*float64(n), b.maxTokens)
	b.mu.Unlock()
}

// Spend takes one token and reports whether one was available.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SpendSpare takes one token from the upper half of the bucket and reports whether
// one was available. Later rounds of attempts at lost shards use it, so that
// tokens remain for the hedges and retries of the other shards.
func (b *Budget) SpendSpare() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < b.maxTokens/2+1 {
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
