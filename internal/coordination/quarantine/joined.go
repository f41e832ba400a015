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

// Entry is a fingerprint in quarantine.
type Entry struct {
	Fingerprint Fingerprint
	// Remaining is how much longer the quarantine lasts.
	Remaining time.Duration
}

// Entries returns the fingerprints in quarantine at now.
func (l *Ledger) Entries(now time.Time) []Entry {
	var entries []Entry
	for f, s := range l.suspects {
		if remaining := s.quarantinedUntil.Sub(now); !s.quarantinedAt.IsZero() && remaining > 0 {
			entries = append(entries, Entry{f, remaining})
		}
	}
	return entries
}

// Reports returns reports that put a fingerprint into quarantine at their receiver, for the
// length of a new quarantine. They name unique placeholders in place of leafs, so that they
// explain no attribution to another fingerprint.
func Reports(f Fingerprint) []Report {
	reports := make([]Report, crashThreshold)
	for i := range reports {
		reports[i] = Report{CrashAttributed, f, fmt.Sprintf("known/%016x/%d", uint64(f), i)}
	}
	return reports
}
