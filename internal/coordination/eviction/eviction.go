// Package eviction decides which clients' connections a process closes when they take more memory
// or descriptors than it has. Connections on which the process works are never chosen, nor those
// that have waited for their client for less than Grace, as connections of ordinary callers do.
package eviction

import (
	"cmp"
	"slices"
	"time"
)

// Grace is the time for which a connection may wait for its client undisturbed.
const Grace = 100 * time.Millisecond

// State is what a connection does.
type State uint8

const (
	// Working connections have a request on which the process works.
	Working State = iota
	// Stalled connections have not sent the request, or its body, that they have begun, or have
	// not sent any.
	Stalled
	// Unread connections have an answer that their client does not read.
	Unread
	// Kept connections have no request in progress and are kept after an answer.
	Kept
)

// order is the order in which connections are closed, by state.
var order = map[State]int{Stalled: 1, Unread: 2, Kept: 3}

// Candidate is one connection.
type Candidate struct {
	State State
	// Since is when the state began, or when the client has last read a part of an answer.
	Since time.Time
	// Bytes is the memory that the connection holds.
	Bytes int64
}

// isOpen reports whether the connection may be chosen.
func (c Candidate) isOpen(now time.Time) bool {
	return c.State != Working && now.Sub(c.Since) >= Grace
}

// Choose returns the indexes of connections to close that hold bytes and are count connections at
// least, or all that may be closed. Connections that have not completed a request go before those
// whose answers are not read, these before kept ones, and the longest waiting first.
func Choose(now time.Time, candidates []Candidate, bytes int64, count int) []int {
	var open []int
	for i, c := range candidates {
		if c.isOpen(now) {
			open = append(open, i)
		}
	}
	slices.SortFunc(open, func(i, j int) int {
		a, b := candidates[i], candidates[j]
		return cmp.Or(cmp.Compare(order[a.State], order[b.State]), a.Since.Compare(b.Since))
	})
	chosen := 0
	for chosen < len(open) && (bytes > 0 || chosen < count) {
		bytes -= candidates[open[chosen]].Bytes
		chosen++
	}
	return open[:chosen]
}
