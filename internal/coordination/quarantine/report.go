package quarantine

import "time"

// Kind is the kind of a report.
type Kind int

// Kinds of reports.
const (
	// CrashAttributed means that the loss of the leaf was attributed to the fingerprint.
	CrashAttributed Kind = iota
	// TrialStarted means that a suspect is about to run on the leaf.
	TrialStarted
	// TrialEnded means that the run of a suspect on the leaf is over.
	TrialEnded
	// Cleared means that the leaf answered a suspect, or a fingerprint under which a leaf was lost.
	Cleared
	// Withdrawn means that an attribution was wrong: the reporting node's own links had
	// failed.
	Withdrawn
	// VerifiedLost means that the leaf was lost under a verified fingerprint. Nodes of earlier
	// releases ignore it.
	VerifiedLost
)

// Report is what one node sends to the others about a suspect.
type Report struct {
	Kind        Kind
	Fingerprint Fingerprint
	Leaf        string
}

// Peers sends reports to the other nodes. Broadcast does not block.
type Peers interface {
	Broadcast(r Report)
}

// Receive applies a report of another node.
func (l *Ledger) Receive(now time.Time, r Report) {
	if t, ok := l.peerTrials[r.Leaf]; ok && t.fingerprint == r.Fingerprint {
		delete(l.peerTrials, r.Leaf)
	}
	switch r.Kind {
	case CrashAttributed:
		if !l.isVerified(now, r.Fingerprint) || l.countReportedLoss(now, r.Fingerprint) {
			l.attribute(now, r.Fingerprint, r.Leaf)
		}
	case VerifiedLost:
		if l.isVerified(now, r.Fingerprint) {
			l.countReportedLoss(now, r.Fingerprint)
		}
	case TrialStarted:
		l.peerTrials[r.Leaf] = trial{r.Fingerprint, now.Add(trialTTL)}
	case Cleared:
		l.markVerified(now, r.Fingerprint)
	case Withdrawn:
		l.withdraw(now, r.Fingerprint, r.Leaf)
	case TrialEnded:
	}
}
