// Package guard holds the quarantine of a node: it lets attempts wait while a
// suspect is tried elsewhere and passes reports between nodes.
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
)

// Guard is a quarantine ledger with its lock and its waiting goroutines. It is
// safe for concurrent use.
type Guard struct {
	mu      sync.Mutex
	ledger  *quarantine.Ledger
	peers   quarantine.Peers
	waiting map[quarantine.Fingerprint]chan struct{} // closed by the next event
	resized func(entries int)
}

// New returns a guard with an empty ledger; resized is told the number of
// quarantined fingerprints after each charge and may be nil.
func New(resized func(entries int)) *Guard {
	return &Guard{
		ledger:  quarantine.New(),
		waiting: make(map[quarantine.Fingerprint]chan struct{}),
		resized: resized,
	}
}

// SetPeers sets who is told of charges; nil tells nobody.
func (g *Guard) SetPeers(peers quarantine.Peers) {
	g.mu.Lock()
	g.peers = peers
	g.mu.Unlock()
}

// Quarantined reports whether a fingerprint is in quarantine, and for how long.
func (g *Guard) Quarantined(f quarantine.Fingerprint) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Quarantined(time.Now(), f)
}

// Enter waits until the attempt may be sent, which takes until its fingerprint
// is proven, convicted or free to be tried. It sets a.StartedAt. Leave must follow
// Allow. A hedge does not wait: Hold means that it must not be sent.
func (g *Guard) Enter(ctx context.Context, a *quarantine.Attempt) (quarantine.Decision, error) {
	for {
		verdict, reports, changed := g.enter(a)
		g.tell(reports)
		if verdict != quarantine.Hold || a.Hedge {
			return verdict, nil
		}
		timer := time.NewTimer(quarantine.ReportDelay())
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			g.forget(a.Fingerprint)
			return quarantine.Hold, ctx.Err()
		}
		timer.Stop()
	}
}

// TryEnter decides over an attempt without waiting and sets a.StartedAt. Hold means to ask
// again after quarantine.ReportDelay; only suspects are held. Leave must follow
// Allow.
func (g *Guard) TryEnter(a *quarantine.Attempt) quarantine.Decision {
	g.mu.Lock()
	a.StartedAt = time.Now()
	verdict, reports := g.ledger.Begin(a.StartedAt, *a)
	if verdict == quarantine.Hold && !g.ledger.IsSuspect(a.StartedAt, a.Fingerprint) {
		verdict = quarantine.Allow
	}
	g.mu.Unlock()
	g.tell(reports)
	return verdict
}

// enter asks the ledger; with Hold it returns the channel of the next event.
func (g *Guard) enter(a *quarantine.Attempt) (quarantine.Decision, []quarantine.Report, chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	a.StartedAt = now
	verdict, reports := g.ledger.Begin(now, *a)
	if verdict != quarantine.Hold {
		return verdict, reports, nil
	}
	changed, ok := g.waiting[a.Fingerprint]
	if !ok {
		changed = make(chan struct{})
		g.waiting[a.Fingerprint] = changed
	}
	return verdict, nil, changed
}

// Leave ends an attempt that Enter allowed.
func (g *Guard) Leave(a quarantine.Attempt, end quarantine.Outcome) {
	g.mu.Lock()
	reports := g.ledger.End(time.Now(), a, end)
	g.wake(a.Fingerprint)
	if len(reports) > 0 {
		g.resize()
	}
	g.mu.Unlock()
	g.tell(reports)
}

// tell passes reports to peers, without the lock, since they may answer.
func (g *Guard) tell(reports []quarantine.Report) {
	if len(reports) == 0 {
		return
	}
	g.mu.Lock()
	peers := g.peers
	g.mu.Unlock()
	if peers == nil {
		return
	}
	for _, r := range reports {
		peers.Broadcast(r)
	}
}

// Receive takes a report of another node.
func (g *Guard) Receive(r quarantine.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Receive(time.Now(), r)
	g.wake(r.Fingerprint)
	g.resize()
}

// forget drops the channel of a fingerprint; others that wait ask again.
func (g *Guard) forget(f quarantine.Fingerprint) {
	g.mu.Lock()
	g.wake(f)
	g.mu.Unlock()
}

func (g *Guard) wake(f quarantine.Fingerprint) {
	if changed, ok := g.waiting[f]; ok {
		close(changed)
		delete(g.waiting, f)
	}
}

func (g *Guard) resize() {
	if g.resized != nil {
		g.resized(g.ledger.QuarantinedCount(time.Now()))
	}
}
