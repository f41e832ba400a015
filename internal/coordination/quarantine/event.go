package quarantine

// EventKind says what changed in what a node knows of a fingerprint.
type EventKind string

// Kinds of events.
const (
	// EventAttributed means that the crash of a leaf was attributed to the fingerprint.
	EventAttributed EventKind = "attributed"
	// EventQuarantined means that the fingerprint was put into quarantine.
	EventQuarantined EventKind = "quarantined"
	// EventCleared means that an answer removed the attributions.
	EventCleared EventKind = "cleared"
	// EventRefuted means that leafs were lost under a fingerprint which a leaf had answered
	// before, so that further losses are attributed to it.
	EventRefuted EventKind = "refuted"
	// EventExplained means that the quarantine of another fingerprint removed
	// attributions.
	EventExplained EventKind = "explained"
	// EventWithdrawn means that a node withdrew an attribution, since its own links had
	// failed.
	EventWithdrawn EventKind = "withdrawn"
)

// Event is a change in what a node knows of a fingerprint.
type Event struct {
	Kind        EventKind
	Fingerprint Fingerprint
	// Leaf is the leaf of an attribution, also of one that is withdrawn; empty for other
	// events.
	Leaf string
	// Attributions is the number of attributions after the event.
	Attributions int
}

// SetObserver sets a function that is called with each event; it must not block.
func (l *Ledger) SetObserver(observe func(Event)) { l.observe = observe }

func (l *Ledger) emit(e Event) {
	if l.observe != nil {
		l.observe(e)
	}
}
