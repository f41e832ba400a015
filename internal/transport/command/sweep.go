package command

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/once"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

const (
	// sweepInterval is the time between two checks for own claims that are due.
	sweepInterval = time.Second
	// maxOwnClaims bounds the own claims that are held in memory; the search of
	// all claims finds the others.
	maxOwnClaims = 64 << 10
)

// sweeper removes claims whose retention has passed, with the part of the write
// budget that commands do not use. A node removes the claims that it settled
// itself; a rare search of all claims finds those of removed nodes.
type sweeper struct {
	runner *Runner

	mu        sync.Mutex
	ownClaims []dueClaim // in the order of their due times
}

// dueClaim is a claim that is removed at due.
type dueClaim struct {
	name    string
	version uint64
	due     time.Time
}

func newSweeper(r *Runner) *sweeper { return &sweeper{runner: r} }

// addSettled schedules the removal of a claim that a machine has settled.
func (s *sweeper) addSettled(name string, m *once.Machine) {
	outcome, ran := m.Settled()
	if !ran || m.Version() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ownClaims) < maxOwnClaims {
		s.ownClaims = append(s.ownClaims, dueClaim{name, m.Version(), outcome.SettledAt.Add(s.runner.settings.Retention)})
	}
}

// run sweeps until the runner ends.
func (s *sweeper) run() {
	defer s.runner.background.Done()
	nextSearch := s.runner.now().Add(s.searchDelay())
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.runner.base.Done():
			return
		case <-ticker.C:
		}
		now := s.runner.now()
		s.runner.tickets.Sweep(now)
		s.sweepOwn(now)
		if now.After(nextSearch) {
			s.searchAll(now)
			nextSearch = s.runner.now().Add(s.searchDelay())
		}
	}
}

// searchDelay returns the time until this node's next search. It spreads the
// searches of the whole fleet over SweepInterval, so that their rate does not
// grow with the number of nodes.
func (s *sweeper) searchDelay() time.Duration {
	jitter := 0.5 + rand.Float64()
	nodes := float64(s.runner.budget.Nodes())
	return time.Duration(jitter * nodes * float64(s.runner.settings.SweepInterval))
}

// sweepOwn removes own claims that are due while the budget allows it.
func (s *sweeper) sweepOwn(now time.Time) {
	for {
		claim, ok := s.nextDue(now)
		if !ok || !s.remove(claim.name, claim.version) {
			return
		}
		s.mu.Lock()
		s.ownClaims = s.ownClaims[1:]
		s.mu.Unlock()
	}
}

func (s *sweeper) nextDue(now time.Time) (dueClaim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ownClaims) == 0 || now.Before(s.ownClaims[0].due) {
		return dueClaim{}, false
	}
	return s.ownClaims[0], true
}

// remove deletes one claim. It returns false when the budget or the platform
// does not allow it now.
func (s *sweeper) remove(name string, version uint64) bool {
	r := s.runner
	if !r.budget.TakeSpare(r.now()) {
		return false
	}
	ctx, cancel := context.WithTimeout(r.base, r.settings.CallTimeout)
	defer cancel()
	r.metrics.write(writeSweep)
	err := r.platform.Delete(ctx, platform.KindClaim, name, version)
	alreadyRemoved := errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict)
	return err == nil || alreadyRemoved
}

// searchAll lists all claims and removes those that are due.
func (s *sweeper) searchAll(now time.Time) {
	r := s.runner
	ctx, cancel := context.WithTimeout(r.base, r.settings.CallTimeout)
	defer cancel()
	r.metrics.reads.Inc()
	listing, err := r.platform.List(ctx, platform.KindClaim)
	if err != nil {
		r.logger.WithError(err).Warn("failed to list claims")
		return
	}
	for _, object := range listing.Objects {
		if r.settings.isRetentionOver(object, now) && !s.remove(object.Name, object.Version) {
			return
		}
	}
}

// isRetentionOver reports whether the retention of a stored claim or ledger has passed.
func (s Settings) isRetentionOver(object platform.Object, now time.Time) bool {
	if strings.HasPrefix(object.Name, command.LedgerPrefix) {
		var ledger command.Ledger
		err := json.Unmarshal(object.Value, &ledger)
		return err == nil && now.After(ledger.EndedAt.Add(s.TicketLifetime+s.Retention))
	}
	var stored command.Record
	if json.Unmarshal(object.Value, &stored) != nil {
		return false
	}
	if stored.Settled() {
		return now.After(stored.SettledAt.Add(s.Retention))
	}
	return now.After(stored.ClaimedAt.Add(s.UnsettledRetention))
}
