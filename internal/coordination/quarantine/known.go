package quarantine

import (
	"fmt"
	"time"
)

// Known returns reports from which a node that has just started learns the fingerprints in
// quarantine at now. The receiver's quarantines last as long as new ones. The reports name no
// leafs but unique placeholders, so that they explain no attribution to another fingerprint.
func (l *Ledger) Known(now time.Time) []Report {
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
