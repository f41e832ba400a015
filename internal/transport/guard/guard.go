// Package guard applies a node's quarantine: it makes attempts wait while a suspect is
// on trial elsewhere, and exchanges reports with other nodes.
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
)

// Guard is a quarantine ledger with a lock and the goroutines that wait for its
// decisions. It is safe for concurrent use.
type Guard struct {
	mu       sync.Mutex
	ledger   *quarantine.Ledger
	peers    quarantine.Peers
	waiting  map[quarantine.Fingerprint]chan struct{} // closed by the next event
	onResize func(entries int)
}

// New returns a guard with an empty ledger. onResize is called with the number of
// quarantined fingerprints after each crash attribution, and may be nil.
func New(onResize func(entries int)) *Guard {
	return &Guard{
		ledger:   quarantine.New(),
		waiting:  make(map[quarantine.Fingerprint]chan struct{}),
		onResize: onResize,
	}
}

// SetObserver sets a function that is called with each event of the ledger; it must not
// block or call the guard.
func (g *Guard) SetObserver(observe func(quarantine.Event)) {
	g.mu.Lock()
	g.ledger.SetObserver(observe)
	g.mu.Unlock()
}

// SetPeers sets the peers that reports are broadcast to; nil broadcasts none.
func (g *Guard) SetPeers(peers quarantine.Peers) {
	g.mu.Lock()
	g.peers = peers
	g.mu.Unlock()
}

// Quarantined reports whether a fingerprint is in quarantine, and the remaining time.
func (g *Guard) Quarantined(f quarantine.Fingerprint) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Quarantined(time.Now(), f)
}

// Enter waits until the attempt is allowed or refused: until its fingerprint is verified
// or quarantined, or may run as a trial. It sets a.StartedAt. After Allow, the caller must
// call Leave. A hedge does not wait: for it, Hold means that it must not be sent.
func (g *Guard) Enter(ctx context.Context, a *quarantine.Attempt) (quarantine.Decision, error) {
	for {
		decision, reports, changed := g.tryBegin(a)
		g.broadcast(reports)
		if decision != quarantine.Hold || a.Hedge {
			return decision, nil
		}
		timer := time.NewTimer(quarantine.ReportDelay())
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			g.wakeWaiters(a.Fingerprint)
			return quarantine.Hold, ctx.Err()
		}
		timer.Stop()
	}
}

// TryEnter decides on an attempt without waiting and sets a.StartedAt. Hold means that the
// caller may try again after quarantine.ReportDelay; only fingerprints that run alone are held. After Allow,
// the caller must call Leave.
func (g *Guard) TryEnter(a *quarantine.Attempt) quarantine.Decision {
	g.mu.Lock()
	a.StartedAt = time.Now()
	decision, reports := g.ledger.Begin(a.StartedAt, *a)
	if decision == quarantine.Hold && !g.ledger.RunsAlone(a.StartedAt, a.Fingerprint) {
		decision = quarantine.Allow
	}
	g.mu.Unlock()
	g.broadcast(reports)
	return decision
}

// tryBegin begins the attempt in the ledger if that allows it. With Hold it returns the
// channel that the next event closes.
func (g *Guard) tryBegin(a *quarantine.Attempt) (quarantine.Decision, []quarantine.Report, chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	a.StartedAt = now
	decision, reports := g.ledger.Begin(now, *a)
	if decision != quarantine.Hold {
		return decision, reports, nil
	}
	changed, ok := g.waiting[a.Fingerprint]
	if !ok {
		changed = make(chan struct{})
		g.waiting[a.Fingerprint] = changed
	}
	return decision, nil, changed
}

// Leave ends an attempt that Enter or TryEnter allowed.
func (g *Guard) Leave(a quarantine.Attempt, outcome quarantine.Outcome) {
	g.mu.Lock()
	reports := g.ledger.End(time.Now(), a, outcome)
	g.wakeLocked(a.Fingerprint)
	if len(reports) > 0 {
		g.reportSizeLocked()
	}
	g.mu.Unlock()
	g.broadcast(reports)
}

// Withdraw withdraws what this node has concluded from lost connections since a time, because
// its own links had failed.
func (g *Guard) Withdraw(since time.Time) {
	g.mu.Lock()
	reports := g.ledger.Withdraw(time.Now(), since)
	for _, r := range reports {
		g.wakeLocked(r.Fingerprint)
	}
	g.reportSizeLocked()
	g.mu.Unlock()
	g.broadcast(reports)
}

// broadcast sends reports to the peers. It does not hold the lock meanwhile, since a peer
// may call Receive.
func (g *Guard) broadcast(reports []quarantine.Report) {
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

// Entries returns the fingerprints in quarantine.
func (g *Guard) Entries() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Entries(time.Now())
}

// Receive handles a report of another node.
func (g *Guard) Receive(r quarantine.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Receive(time.Now(), r)
	g.wakeLocked(r.Fingerprint)
	g.reportSizeLocked()
}

// wakeWaiters removes the channel of a fingerprint, so that no entry is left behind; other
// goroutines that wait on it try again.
func (g *Guard) wakeWaiters(f quarantine.Fingerprint) {
	g.mu.Lock()
	g.wakeLocked(f)
	g.mu.Unlock()
}

// wakeLocked wakes the goroutines that wait for an event of a fingerprint. The caller
// holds the lock.
func (g *Guard) wakeLocked(f quarantine.Fingerprint) {
	if changed, ok := g.waiting[f]; ok {
		close(changed)
		delete(g.waiting, f)
	}
}

func (g *Guard) reportSizeLocked() {
	if g.onResize != nil {
		g.onResize(g.ledger.QuarantinedCount(time.Now()))
	}
}
