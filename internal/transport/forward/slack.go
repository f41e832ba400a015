package forward

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/budget"
)

const (
	// slackWindow is the time in which the upstreams count extra arrivals.
	slackWindow = 10 * time.Second
	// directSlack is the part of ExtraSlack that nodes use where all of them send to a
	// group; the rest covers nodes that start again within a slackWindow.
	directSlack = 0.9
	// relayedSlack is the same where relays send: those that take the place of half of
	// the others begin with savings of their own.
	relayedSlack = 0.6
	// startSavings is what a node has just after its start, in attempts.
	startSavings = 1
)

// budget returns what pays for hedges and retries at a group.
func (f *Forwarder) budget(group string) *budget.Budget {
	if b, ok := f.budgets.Load(group); ok {
		return b.(*budget.Budget)
	}
	most := f.savings(group)
	saved := 0.0
	if most > 0 {
		saved = max(most*f.windowPassed(), startSavings)
	}
	b, _ := f.budgets.LoadOrStore(group, budget.NewBounded(f.cfg.ExtraShare, most, saved))
	return b.(*budget.Budget)
}

// savings is what a quiet period may save up on this node for a group: its part of
// ExtraSlack, or nothing where other nodes send to the leafs.
func (f *Forwarder) savings(group string) float64 {
	if f.Holders != nil {
		if n, holds := f.Holders(group); n > 0 {
			if !holds {
				return 0
			}
			return f.part(relayedSlack, n)
		}
	}
	return f.part(directSlack, int(max(f.nodes.Load(), 1)))
}

// part divides a share of ExtraSlack among n nodes, less what each has at a start.
func (f *Forwarder) part(share float64, n int) float64 {
	return max(share*f.cfg.ExtraSlack/float64(n)-startSavings, startSavings)
}

// windowPassed is the part of a slackWindow since the start: what this node spent
// before a restart counts for the rest of it.
func (f *Forwarder) windowPassed() float64 {
	return min(float64(time.Since(f.started))/float64(slackWindow), 1)
}

// SetNodes tells the number of nodes that share the slack.
func (f *Forwarder) SetNodes(n int) {
	f.nodes.Store(int64(n))
	f.RedistributeSlack()
}

// RedistributeSlack recomputes this node's share of the slack after the set of nodes
// that send to groups has changed.
func (f *Forwarder) RedistributeSlack() {
	f.budgets.Range(func(group, b any) bool {
		b.(*budget.Budget).SetMax(f.savings(group.(string)))
		return true
	})
}
