package command

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// writesPerCommand is the number of platform writes that a command needs while it
// runs: one for the claim, and one for its outcome or its removal.
const writesPerCommand = 2

// budgetBurst is the time whose budget may be spent at once.
const budgetBurst = time.Second

// Budget bounds the platform writes of a node by its share of the fleet's
// budget. It is safe for concurrent use.
type Budget struct {
	fleet, node float64 // maximum rates in writes/s
	mu          sync.Mutex
	limiter     *rate.Limiter
	nodes       int
}

// NewBudget returns the budget of the only node of a fleet; see SetNodes. fleet
// and node are in writes/s.
func NewBudget(fleet, node float64) *Budget {
	share := min(fleet, node)
	return &Budget{fleet: fleet, node: node, nodes: 1, limiter: rate.NewLimiter(rate.Limit(share), burst(share))}
}

// burst is the number of writes that a share allows at once.
func burst(share float64) int {
	return max(writesPerCommand, int(share*budgetBurst.Seconds()))
}

// SetNodes sets the number of live nodes that share the fleet's budget.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
	share := min(b.node, b.fleet/float64(b.nodes))
	b.limiter.SetLimit(rate.Limit(share))
	b.limiter.SetBurst(burst(share))
}

// SetVMs sets the number of live nodes from the platform's list.
func (b *Budget) SetVMs(vms []platform.VM) {
	nodes := 0
	for _, vm := range vms {
		if vm.Group == platform.NodeGroup && vm.State == platform.VMLive {
			nodes++
		}
	}
	b.SetNodes(nodes)
}

// Nodes is the number of nodes that share the fleet's budget.
func (b *Budget) Nodes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodes
}

// Take reserves the writes of one command, or returns false.
func (b *Budget) Take(now time.Time) bool {
	return b.limiter.AllowN(now, writesPerCommand)
}

// Charge takes one more write for a command that has already started. It never
// fails: the budget may go into debt, which delays later commands.
func (b *Budget) Charge(now time.Time) {
	b.limiter.ReserveN(now, 1)
}

// TakeSpare reserves one write for clean-up, or returns false while less than
// half of the burst is available.
func (b *Budget) TakeSpare(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter.TokensAt(now) < float64(b.limiter.Burst())/2 {
		return false
	}
	return b.limiter.AllowN(now, 1)
}

// RetryAfter returns the time until the next command is likely to be admitted.
func (b *Budget) RetryAfter(now time.Time) time.Duration {
	missing := writesPerCommand - b.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(b.limiter.Limit()) * float64(time.Second))
}
