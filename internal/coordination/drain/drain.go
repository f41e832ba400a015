// Package drain decides from the evidence of several sources whether a leaf is
// leaving and gets no new work. The functions are pure; the state is kept in
// the leaf's record.
package drain

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

const (
	// firstHold is the time for which a reply's word is not overruled by a
	// manifest that never agreed with it, since manifests lag and mislead.
	firstHold = 10 * time.Second
	// longestHold bounds the hold, which doubles when the leaf turns out to be
	// leaving still.
	longestHold = time.Minute
)

// OnReply takes over what a reply says to a subrequest that began at a time.
func OnReply(d leaf.DrainState, draining bool, begun, now time.Time) leaf.DrainState {
	if !draining {
		if begun.After(d.ReplyAt) {
			d.Reply = false
		}
		return d
	}
	if !d.Reply {
		again := !d.ReplyAt.IsZero() && now.Sub(d.ReplyAt) < 2*d.ReplyHold
		if again {
			d.ReplyHold = min(2*d.ReplyHold, longestHold)
		} else {
			d.ReplyHold = firstHold
		}
	}
	d.Reply = true
	d.ReplyAt = now
	return d
}

// OnManifest takes over a manifest whose fetch began at a time.
func OnManifest(d leaf.DrainState, draining bool, incarnation uint64, begun time.Time) leaf.DrainState {
	if incarnation != d.Incarnation {
		// A new process has not said anything yet.
		d = leaf.DrainState{List: d.List, Incarnation: incarnation}
	}
	agreed := d.Manifest
	d.Manifest = draining
	if draining || !d.Reply || begun.Before(d.ReplyAt) {
		return d
	}
	if agreed || begun.Sub(d.ReplyAt) >= d.ReplyHold {
		d.Reply = false
	}
	return d
}

// OnList takes over the platform's list. It holds across processes, because the
// VM itself leaves.
func OnList(d leaf.DrainState, leaving bool) leaf.DrainState {
	d.List = leaving
	return d
}
