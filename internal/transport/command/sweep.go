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
	// sweepPause is the time between two looks at the own claims that are due.
	sweepPause = time.Second
	// ownClaimLimit bounds the own claims that are remembered; the search of
	// all claims finds the others.
	ownClaimLimit = 64 << 10
)

// sweeper removes claims whose retention has passed, from what the commands
// leave of the write budget. A node removes the claims that it settled itself;
// a rare search of all claims finds those of nodes that are gone.
type sweeper struct {
	runner *Runner

	mu  sync.Mutex
	own []dueClaim // in the order of their end
}

type dueClaim struct {
	name    string
	version uint64
	due     time.Time
}

func newSweeper(r *Runner) *sweeper { return &sweeper{runner: r} }

// add remembers a claim that a machine has settled.
func (s *sweeper) add(name string, m *once.Machine) {
	outcome, ran := m.Settled()
	if !ran || m.Version() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.own) < ownClaimLimit {
		s.own = append(s.own, dueClaim{name, m.Version(), outcome.SettledAt.Add(s.runner.settings.Retention)})
	}
}

// loop sweeps until the runner ends.
func (s *sweeper) loop() {
	defer s.runner.background.Done()
	search := s.runner.now().Add(s.searchWait())
	ticker := time.NewTicker(sweepPause)
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
		if now.After(search) {
			s.searchAll(now)
			search = s.runner.now().Add(s.searchWait())
		}
	}
}

// searchWait spreads the searches of the whole fleet over SweepInterval, so that
// their rate does not grow with the number of nodes.
func (s *sweeper) searchWait() time.Duration {
	jitter := 0.5 + rand.Float64()
	nodes := float64(s.runner.budget.Nodes())
	return time.Duration(jitter * nodes * float64(s.runner.settings.SweepInterval))
}

// sweepOwn removes own claims that are due while the budget has room.
func (s *sweeper) sweepOwn(now time.Time) {
	for {
		claim, ok := s.next(now)
		if !ok || !s.remove(claim.name, claim.version) {
			return
		}
		s.mu.Lock()
		s.own = s.own[1:]
		s.mu.Unlock()
	}
}

func (s *sweeper) next(now time.Time) (dueClaim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.own) == 0 || now.Before(s.own[0].due) {
		return dueClaim{}, false
	}
	return s.own[0], true
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
	gone := errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict)
	return err == nil || gone
}

// searchAll lists all claims and removes those that are due.
func (s *sweeper) searchAll(now time.Time) {
	r := s.runner
	ctx, cancel := context.WithTimeout(r.base, r.settings.CallTimeout)
	defer cancel()
	r.metrics.reads.Inc()
	listing, err := r.platform.List(ctx, platform.KindClaim)
	if err != nil {
		r.logger.WithError(err).Warn("claims not listed")
		return
	}
	for _, object := range listing.Objects {
		if r.settings.due(object, now) && !s.remove(object.Name, object.Version) {
			return
		}
	}
}

// due reports whether the retention of a stored claim or ledger has passed.
func (s Settings) due(object platform.Object, now time.Time) bool {
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
