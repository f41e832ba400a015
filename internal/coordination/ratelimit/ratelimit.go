// Package ratelimit decides when a node may send to a leaf that limits the requests a second
// of all nodes together. Each of n nodes sends at a rate of 1/n of the limit. The functions
// are pure; the state is kept in the leaf's record.
package ratelimit

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

const (
	// minLimit is the lowest limit that is applied, in requests a second, so that nodes
	// learn when a leaf that takes nothing takes requests again.
	minLimit = 0.5
	// maxLimit is the highest limit that a leaf may state.
	maxLimit = 1e6
	// burst is the time whose requests a node may send at once after a pause, if that is
	// at least one request.
	burst = time.Second
	// slotLength is the time in which a node may use one of its slots if it has less than
	// one request a burst.
	slotLength = 250 * time.Millisecond
	// slotShare is the share of the limit that such nodes use, since their phases are random.
	slotShare = 0.75
)

// Parse returns the limit that a leaf states, in requests a second.
func Parse(value string) (float64, error) {
	limit, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil:
		return 0, fmt.Errorf("limit %q is not a number", value)
	case math.IsNaN(limit) || limit < 0 || limit > maxLimit:
		return 0, fmt.Errorf("limit %q is not between 0 and %g", value, maxLimit)
	}
	return limit, nil
}

// Node is what the decisions know of the own node.
type Node struct {
	// Sharers is the number of nodes that share the limit.
	Sharers int
	// Phase is a random number in [0, 1) at which point of a period the slots of the node
	// begin, counted from Origin. It is the same for all leafs, so that a query finds the
	// slots of its leafs at the same time.
	Phase  float64
	Origin time.Time
}

// slotAfter returns the start of the node's first slot that is not over at now.
func (n Node) slotAfter(now time.Time, period time.Duration) time.Time {
	elapsed := max(now.Sub(n.Origin), 0)
	start := n.Origin.Add(elapsed.Truncate(period)).Add(time.Duration(n.Phase * float64(period)))
	if earlier := start.Add(-period); now.Sub(earlier) <= slotLength {
		return earlier
	}
	if now.Sub(start) > slotLength {
		return start.Add(period)
	}
	return start
}

// OnStated returns the state after a reply that states a limit.
func OnStated(state leaf.Limit, limit float64, node Node, now time.Time) leaf.Limit {
	next := leaf.Limit{Stated: true, PerSecond: max(limit, minLimit), StatedAt: now, NextSend: state.NextSend}
	period := Period(next, node.Sharers)
	latest := now.Add(period)
	if period > burst {
		latest = node.slotAfter(latest, period)
	}
	if !state.Stated || next.NextSend.After(latest) {
		next.NextSend = latest
	}
	return next
}

// OnUnstated returns the state after a reply without a limit to a call that was started at
// startedAt. A reply to a call from before the last one that stated the limit has no effect.
func OnUnstated(state leaf.Limit, startedAt time.Time) leaf.Limit {
	if startedAt.Before(state.StatedAt) {
		return state
	}
	return leaf.Limit{}
}

// Period returns the time between two requests of one of n nodes.
func Period(state leaf.Limit, nodes int) time.Duration {
	perSecond := state.PerSecond / float64(max(nodes, 1))
	if perSecond < 1/burst.Seconds() {
		perSecond *= slotShare
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// Advance returns the state with the time of the next request brought up to now. A node with
// at least one request a burst may catch up on a burst; one with fewer has slots, and a slot
// that it does not use is lost. Otherwise many nodes would send at once after a time without
// requests.
func Advance(state leaf.Limit, node Node, now time.Time) leaf.Limit {
	if !state.Stated {
		return state
	}
	period := Period(state, node.Sharers)
	idle := now.Sub(state.NextSend)
	switch {
	case period <= burst && idle > burst-period:
		state.NextSend = now.Add(period - burst)
	case period > burst && idle > slotLength:
		state.NextSend = node.slotAfter(now, period)
	}
	return state
}

// Take decides whether a node may send a request to the leaf now, and returns the state
// after it.
func Take(state leaf.Limit, node Node, now time.Time) (leaf.Limit, bool) {
	if !state.Stated {
		return state, true
	}
	state = Advance(state, node, now)
	if now.Before(state.NextSend) {
		return state, false
	}
	state.NextSend = state.NextSend.Add(Period(state, node.Sharers))
	return state, true
}
