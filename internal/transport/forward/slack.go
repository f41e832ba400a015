package forward

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/budget"
)

const (
	// slackWindow is the period over which the upstreams count extra arrivals.
	slackWindow = 10 * time.Second
	// directSlackShare is the fraction of ExtraSlack that is divided where all nodes send
	// to a group; the rest covers nodes that restart within a slackWindow.
	directSlackShare = 0.9
	// relayedSlackShare is the same fraction where relays send. It is lower, since half of
	// the relays may be replaced, and the new ones start with tokens of their own.
	relayedSlackShare = 0.6
	// initialTokens is the budget of a node just after its start, in attempts.
	initialTokens = 1
)

// budget returns the budget of hedges and retries for a group.
func (f *Forwarder) budget(group string) *budget.Budget {
	if b, ok := f.budgets.Load(group); ok {
		return b.(*budget.Budget)
	}
	limit := f.maxTokens(group)
	tokens := 0.0
	if limit > 0 {
		tokens = max(limit*f.windowElapsed(), initialTokens)
	}
	b, _ := f.budgets.LoadOrStore(group, budget.NewBounded(f.cfg.ExtraShare, limit, tokens))
	return b.(*budget.Budget)
}

// maxTokens returns the maximum budget that this node may accumulate for a group: its
// share of ExtraSlack, or 0 if only other nodes send to the leafs.
func (f *Forwarder) maxTokens(group string) float64 {
	if f.Holders != nil {
		if n, holds := f.Holders(group); n > 0 {
			if !holds {
				return 0
			}
			return f.slackPerNode(relayedSlackShare, n)
		}
	}
	return f.slackPerNode(directSlackShare, int(max(f.nodeCount.Load(), 1)))
}

// slackPerNode returns a node's share of the given fraction of ExtraSlack divided among
// n nodes, less the initial tokens that each has at its start.
func (f *Forwarder) slackPerNode(share float64, n int) float64 {
	return max(share*f.cfg.ExtraSlack/float64(n)-initialTokens, initialTokens)
}

// windowElapsed returns the fraction of a slackWindow that has elapsed since the start,
// at most 1. Attempts before a restart count against the upstreams' bound for the rest of
// the window.
func (f *Forwarder) windowElapsed() float64 {
	return min(float64(time.Since(f.startedAt))/float64(slackWindow), 1)
}

// SetNodes sets the number of nodes that share the slack.
func (f *Forwarder) SetNodes(n int) {
	f.nodeCount.Store(int64(n))
	f.limitNodes.set(time.Now(), n)
	f.RedistributeSlack()
}

// RedistributeSlack recomputes this node's share of the slack after the set of nodes
// that send to groups has changed.
func (f *Forwarder) RedistributeSlack() {
	f.budgets.Range(func(group, b any) bool {
		b.(*budget.Budget).SetMax(f.maxTokens(group.(string)))
		return true
	})
}
