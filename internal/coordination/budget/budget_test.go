package budget

import "testing"

// drain spends until the budget refuses and returns the number of tokens.
func drain(spend func() bool) int {
	n := 0
	for spend() {
		n++
	}
	return n
}

func TestEarnsItsShare(t *testing.T) {
	b := New(0.05)
	drain(b.Spend)
	b.Earn(200)
	if got := drain(b.Spend); got != 10 {
		t.Errorf("%d tokens from 200 first subrequests, want 10", got)
	}
	b.Earn(1_000_000)
	if got := drain(b.Spend); got != maxTokens {
		t.Errorf("%d tokens after a quiet period, want %d", got, maxTokens)
	}
}

// TestSpareLeavesHalf keeps tokens for the hedges and retries of other shards.
func TestSpareLeavesHalf(t *testing.T) {
	b := New(1)
	b.Earn(2 * maxTokens)
	drain(b.SpendSpare)
	if got := drain(b.Spend); got != maxTokens/2 {
		t.Errorf("%d tokens left, want %d", got, maxTokens/2)
	}
}

func TestSustainedSheddingEmptiesIt(t *testing.T) {
	b := New(0.05)
	b.Earn(2000)
	for range 7 {
		b.Earn(1)
		b.OnShed()
	}
	if b.Spend() {
		t.Error("a shedding service paid for an extra subrequest")
	}
}
