// Package isolation decides whether a node is cut off from all leafs. One failed connection does
// not show whether the leaf or the node's own link has failed. When nothing is received from any
// leaf although replies are overdue, or when connections to leafs of several groups fail in a
// row, the node probes: it dials a few leafs that have not failed lately. Only if all of these
// dials fail is the node isolated. It stops being so once two dials of a later probe succeed.
//
// A Detector takes observations with their time, does no I/O and relies on the lock of its
// owner.
package isolation

import "time"

const (
	// MinSilence is the time without a reply from any leaf, while replies are overdue, after
	// which the links are probed.
	MinSilence = 150 * time.Millisecond
	// ProbeTimeout bounds the dials of a probe.
	ProbeTimeout = 200 * time.Millisecond
	// MaxProbed is the number of leafs that a probe dials.
	MaxProbed = 4
	// minFailedGroups is the number of groups to which connections must have failed, without
	// a success in between, for the links to be probed.
	minFailedGroups = 2
	// minReached is the number of dials that must succeed for a node that is isolated to use
	// its own links again.
	minReached = 2
	// isolatedInterval is the time between two probes of a node that is isolated.
	isolatedInterval = 250 * time.Millisecond
	// minInterval and maxInterval bound the time between two probes of a node that is not.
	// It doubles with each probe that reaches a leaf.
	minInterval = 500 * time.Millisecond
	maxInterval = 2 * time.Second
	// maxGap is the time between two observations above which this node itself did not run,
	// so that overdue replies are no evidence.
	maxGap = 250 * time.Millisecond
)

// Observation is what a node has received from the leafs.
type Observation struct {
	// LastReply is the time of the last reply of any leaf, or the node's start before the first.
	LastReply time.Time
	// Overdue is true if the reply to a request is overdue, OverdueSent if that request was
	// sent on an open connection.
	Overdue, OverdueSent bool
	// FailedGroups is the number of groups to whose leafs a dial has failed since the last
	// one that succeeded.
	FailedGroups int
}

// isSilent reports whether no reply has come for MinSilence.
func (o Observation) isSilent(now time.Time) bool { return now.Sub(o.LastReply) >= MinSilence }

// State is what a node knows of its links.
type State struct {
	// Isolated is true if the node cannot open connections to the leafs.
	Isolated bool
	// Silent is true if the connections that are open carry nothing either.
	Silent bool
	// Since is when the probe began by which the node found itself isolated.
	Since time.Time
	// Lasting is true once a later probe has failed too.
	Lasting bool
	// Confirmed is true once leafs have answered another node while this one reached none:
	// the links of this node have failed, and not the leafs.
	Confirmed bool
}

// Detector tracks the state of one node's links.
type Detector struct {
	state      State
	observedAt time.Time
	probing    bool
	probedAt   time.Time // start of the last probe
	interval   time.Duration
	// silent and served hold, at the start of the last probe, whether open connections carried
	// nothing, and whether another node had got a reply of a leaf since this one is isolated.
	silent, served bool
	servedByPeer   time.Time
}

// State returns the current state.
func (d *Detector) State() State { return d.state }

// Observe takes an observation and reports whether to start a probe, whose result must be
// passed to ProbeEnded.
func (d *Detector) Observe(now time.Time, o Observation) (probe bool) {
	stalled := !d.observedAt.IsZero() && now.Sub(d.observedAt) > maxGap
	d.observedAt = now
	silent := o.isSilent(now) && !stalled
	openSilent := silent && o.OverdueSent
	d.state.Silent = d.state.Isolated && (d.state.Silent || openSilent)
	if d.probing || now.Sub(d.probedAt) < d.probeInterval() {
		return false
	}
	suspicious := silent && o.Overdue || o.FailedGroups >= minFailedGroups
	if !d.state.Isolated && !suspicious {
		d.forgetProbes(now)
		return false
	}
	d.probing = true
	d.probedAt = now
	d.silent = openSilent
	d.served = d.state.Isolated && d.servedByPeer.After(d.state.Since)
	return true
}

// probeInterval returns the least time between the starts of two probes.
func (d *Detector) probeInterval() time.Duration {
	if d.state.Isolated {
		return isolatedInterval
	}
	return d.interval
}

// forgetProbes makes the next probe follow at once after a time without suspicion.
func (d *Detector) forgetProbes(now time.Time) {
	if now.Sub(d.probedAt) >= maxInterval {
		d.interval = 0
	}
}

// ProbeEnded takes the result of a probe that dialled tried leafs, of which reached answered.
func (d *Detector) ProbeEnded(tried, reached int) {
	d.probing = false
	switch {
	case tried == 0:
	case d.state.Isolated && reached >= min(minReached, tried):
		d.state = State{}
		d.interval = minInterval
	case d.state.Isolated && reached == 0:
		d.state.Lasting = true
		d.state.Confirmed = d.state.Confirmed || d.served
	case d.state.Isolated:
	case reached == 0:
		d.state = State{Isolated: true, Silent: d.silent, Since: d.probedAt}
	default:
		d.interval = min(max(2*d.interval, minInterval), maxInterval)
	}
}

// ServedByPeer records that a leaf has answered a request that another node sent.
func (d *Detector) ServedByPeer(now time.Time) { d.servedByPeer = now }
