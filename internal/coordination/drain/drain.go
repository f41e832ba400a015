// Package drain decides, based on several sources, whether a leaf is draining and
// receives no new work. The functions are pure; the state is kept in the leaf's
// record.
package drain

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

const (
	// initialHold is the time for which a manifest that never reported draining does not
	// override a reply that did, since manifests may be stale or wrong.
	initialHold = 10 * time.Second
	// maxHold bounds the hold, which doubles when a later reply shows that the leaf is
	// still draining.
	maxHold = time.Minute
)

// OnReply applies the draining state reported in the reply to a subrequest that was
// sent at sentAt. A reply without it counts only if the subrequest was sent after the
// last reply that reported draining.
func OnReply(d leaf.DrainState, draining bool, sentAt, now time.Time) leaf.DrainState {
	if !draining {
		if sentAt.After(d.ReplyAt) {
			d.Reply = false
		}
		return d
	}
	if !d.Reply {
		recurring := !d.ReplyAt.IsZero() && now.Sub(d.ReplyAt) < 2*d.ReplyHold
		if recurring {
			d.ReplyHold = min(2*d.ReplyHold, maxHold)
		} else {
			d.ReplyHold = initialHold
		}
	}
	d.Reply = true
	d.ReplyAt = now
	return d
}

// OnManifest applies the draining state of a manifest whose fetch started at startedAt.
func OnManifest(d leaf.DrainState, draining bool, incarnation uint64, startedAt time.Time) leaf.DrainState {
	if incarnation != d.Incarnation {
		// The replies and manifests received so far are about the old process.
		d = leaf.DrainState{List: d.List, Incarnation: incarnation}
	}
	wasDraining := d.Manifest
	d.Manifest = draining
	if draining || !d.Reply || startedAt.Before(d.ReplyAt) {
		return d
	}
	if wasDraining || startedAt.Sub(d.ReplyAt) >= d.ReplyHold {
		d.Reply = false
	}
	return d
}

// OnList applies the state in the platform's list. It still applies when the leaf's
// process restarts, because the VM itself is leaving.
func OnList(d leaf.DrainState, leaving bool) leaf.DrainState {
	d.List = leaving
	return d
}
