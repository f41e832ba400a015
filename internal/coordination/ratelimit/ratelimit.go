// Package ratelimit decides when a node may send to a leaf that takes a limited number of
// requests a second from all nodes together: because its replies state a limit, or because it
// is cold. Each of n nodes sends at a rate of 1/n of the lower limit. The functions are pure;
// the state is kept in the leaf's record.
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
	// slotLength is the time in which a node may use one of its slots.
	slotLength = 250 * time.Millisecond
)

// pace is how a node spreads its part of a limit over time.
type pace struct {
	// slotsAbove is the time between two requests above which a node has slots, at a phase
	// of its own, instead of requests at its part of the limit.
	slotsAbove time.Duration
	// slotShare is the share of the limit that nodes with slots use, since their phases are
	// random.
	slotShare float64
	// burst is the time whose requests a node without slots may send at once after a pause.
	burst time.Duration
}

var (
	// statedPace keeps the nodes within a limit that leafs check over seconds.
	statedPace = pace{slotsAbove: time.Second, slotShare: 0.75, burst: time.Second}
	// warmupPace keeps them within a limit in each single second: without bursts, and with at
	// least two requests a second of each node that has no slots.
	warmupPace = pace{slotsAbove: 500 * time.Millisecond, slotShare: 0.5}
)

// effective returns the lower one of the limits that apply, and its pace.
func effective(state leaf.Limit) (perSecond float64, p pace) {
	if state.WarmupPerSecond > 0 && (!state.Stated || state.WarmupPerSecond <= state.PerSecond) {
		return state.WarmupPerSecond, warmupPace
	}
	return state.PerSecond, statedPace
}

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
	next := state
	next.Stated, next.PerSecond, next.StatedAt = true, max(limit, minLimit), now
	return changed(state, next, node, now)
}

// OnWarmup returns the state after a leaf has become cold, in which it takes perSecond
// requests, or warm, with 0.
func OnWarmup(state leaf.Limit, perSecond float64, node Node, now time.Time) leaf.Limit {
	next := state
	next.WarmupPerSecond = perSecond
	if perSecond > 0 {
		next.WarmupPerSecond = max(perSecond, minLimit)
	}
	return changed(state, next, node, now)
}

// changed returns the state with the time of the next request after a change of the limits. A
// lower limit holds from the next request, a higher one from now on.
func changed(before, next leaf.Limit, node Node, now time.Time) leaf.Limit {
	if !next.IsActive() {
		return next
	}
	period, p := periodOf(next, node.Sharers)
	latest := now.Add(period)
	if period > p.slotsAbove {
		latest = node.slotAfter(latest, period)
		next.NextSend = node.slotAfter(laterOf(next.NextSend, now), period)
	}
	if !before.IsActive() || next.NextSend.After(latest) {
		next.NextSend = latest
	}
	return next
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// OnUnstated returns the state after a reply without a limit to a call that was started at
// startedAt. A reply to a call from before the last one that stated the limit has no effect.
func OnUnstated(state leaf.Limit, startedAt time.Time) leaf.Limit {
	if startedAt.Before(state.StatedAt) {
		return state
	}
	return leaf.Limit{WarmupPerSecond: state.WarmupPerSecond, NextSend: state.NextSend}
}

// periodOf returns the time between two requests of one of n nodes, and the pace.
func periodOf(state leaf.Limit, nodes int) (time.Duration, pace) {
	limit, p := effective(state)
	perSecond := limit / float64(max(nodes, 1))
	if perSecond < 1/p.slotsAbove.Seconds() {
		perSecond *= p.slotShare
	}
	return time.Duration(float64(time.Second) / perSecond), p
}

// Advance returns the state with the time of the next request brought up to now. A node
// without slots may catch up on a burst; one with slots loses those that it does not use.
// Otherwise many nodes would send at once after a time without requests.
func Advance(state leaf.Limit, node Node, now time.Time) leaf.Limit {
	if !state.IsActive() {
		return state
	}
	period, p := periodOf(state, node.Sharers)
	idle := now.Sub(state.NextSend)
	missed := max(p.burst-period, 0)
	switch {
	case period <= p.slotsAbove && idle > missed:
		state.NextSend = now.Add(-missed)
	case period > p.slotsAbove && idle > slotLength:
		state.NextSend = node.slotAfter(now, period)
	}
	return state
}

// Take decides whether a node may send a request to the leaf now, and returns the state
// after it.
func Take(state leaf.Limit, node Node, now time.Time) (leaf.Limit, bool) {
	if !state.IsActive() {
		return state, true
	}
	state = Advance(state, node, now)
	if now.Before(state.NextSend) {
		return state, false
	}
	period, _ := periodOf(state, node.Sharers)
	state.NextSend = state.NextSend.Add(period)
	return state, true
}
