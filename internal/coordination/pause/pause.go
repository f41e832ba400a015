// Package pause decides for how long a leaf that asks callers to stay away gets no
// requests, and when a caller should come back whose request cannot be served, since leafs
// have asked for a pause or are at their limit. The functions are pure; the state is kept in
// the leaf's record.
package pause

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

const (
	// maxAsked is the longest pause that a leaf may ask for. A leaf that wants no requests
	// for longer should leave.
	maxAsked = time.Minute
	// spreadShare is the share of the pause over which the nodes return to the leaf, so
	// that hundreds of them do not return at once.
	spreadShare = 0.25
)

// Parse returns the pause that a leaf asks for in a Retry-After header, in seconds, which
// may have a fraction. It fails for a value that is no number of seconds from 0 to maxAsked.
func Parse(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil:
		return 0, fmt.Errorf("pause %q is not a number of seconds", value)
	case math.IsNaN(seconds) || seconds < 0 || seconds > maxAsked.Seconds():
		return 0, fmt.Errorf("pause %q is not between 0 and %v", value, maxAsked)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// Length returns how long a node stays away from a leaf that asks for a pause; random is a
// uniformly distributed random number in [0, 1).
func Length(asked time.Duration, random float64) time.Duration {
	return asked + time.Duration(random*spreadShare*float64(asked))
}

// Until returns when enough groups can be sent to again for a request that needs a leaf of
// at least needed of them. It returns the zero time if enough can be sent to now, and false
// if too many have only leafs that leave or are in an evacuated zone, or none.
func Until(groups [][]shardmap.Replica, needed int) (time.Time, bool) {
	var times []time.Time
	for _, replicas := range groups {
		if at, ok := untilOne(replicas); ok {
			times = append(times, at)
		}
	}
	if needed < 1 || len(times) < needed {
		return time.Time{}, needed < 1
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[needed-1], true
}

// untilOne returns when the first leaf of a group can be sent to again, the zero time if one
// can be now.
func untilOne(replicas []shardmap.Replica) (first time.Time, ok bool) {
	for _, r := range replicas {
		stats := r.Record.Stats()
		switch {
		case stats.IsWithdrawn():
		case stats.UsableFrom().IsZero():
			return time.Time{}, true
		case !ok || stats.UsableFrom().Before(first):
			first, ok = stats.UsableFrom(), true
		}
	}
	return first, ok
}
