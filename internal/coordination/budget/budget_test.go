package budget

import "testing"

// spendAll spends until the budget refuses and returns the number of tokens spent.
func spendAll(spend func() bool) int {
	n := 0
	for spend() {
		n++
	}
	return n
}

func TestEarn(t *testing.T) {
	b := New(0.05)
	spendAll(b.Spend)
	b.Earn(200)
	if got := spendAll(b.Spend); got != 10 {
		t.Errorf("%d tokens from 200 first subrequests, want 10", got)
	}
	b.Earn(1_000_000)
	if got := spendAll(b.Spend); got != defaultMaxTokens {
		t.Errorf("%d tokens after 1,000,000 first subrequests, want the maximum %d", got, defaultMaxTokens)
	}
}

// TestSpendSpareLeavesHalf checks that SpendSpare leaves tokens for the hedges and retries
// of other shards.
func TestSpendSpareLeavesHalf(t *testing.T) {
	b := New(1)
	b.Earn(2 * defaultMaxTokens)
	spendAll(b.SpendSpare)
	if got := spendAll(b.Spend); got != defaultMaxTokens/2 {
		t.Errorf("%d tokens left, want %d", got, defaultMaxTokens/2)
	}
}

func TestSustainedSheddingEmptiesBudget(t *testing.T) {
	b := New(0.05)
	b.Earn(2000)
	for range 7 {
		b.Earn(1)
		b.OnShed()
	}
	if b.Spend() {
		t.Error("the budget allowed an extra subrequest during sustained shedding")
	}
}
