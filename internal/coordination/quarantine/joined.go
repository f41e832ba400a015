package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// senderCount is the number of members that send their quarantines to a member that joins.
const senderCount = 3

// Senders returns the IDs of the members that send their quarantines to a member that joins:
// those with the highest hashes of both IDs, so that different members serve different ones.
func Senders(members []membership.Member, joined string) []string {
	type candidate struct {
		id   string
		hash uint64
	}
	var candidates []candidate
	for _, m := range members {
		if m.ID != joined && m.State == membership.Alive {
			candidates = append(candidates, candidate{m.ID, xxhash.Sum64String(m.ID + "\x00" + joined)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	chosen := make([]string, 0, senderCount)
	for _, c := range candidates[:min(senderCount, len(candidates))] {
		chosen = append(chosen, c.id)
	}
	return chosen
}

// Quarantines returns reports that put the fingerprints in quarantine at now into quarantine
// at their receiver, for the length of a new quarantine. They name unique placeholders in
// place of leafs, so that they explain no attribution to another fingerprint.
func (l *Ledger) Quarantines(now time.Time) []Report {
	var reports []Report
	for f, s := range l.suspects {
		if s.quarantinedAt.IsZero() || !now.Before(s.quarantinedUntil) {
			continue
		}
		for i := range crashThreshold {
			reports = append(reports, Report{CrashAttributed, f, fmt.Sprintf("known/%016x/%d", uint64(f), i)})
		}
	}
	return reports
}
