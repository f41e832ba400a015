// Package share divides the connections that a leaf accepts among the nodes.
// If there are enough of them for every node, all nodes connect to the leaf directly;
// otherwise only a small set of relays does. The types are not safe for concurrent
// use, and their methods take the current time as an argument.
package share

import "fmt"

// Mode says how nodes connect to a leaf.
type Mode int

// Modes of connecting to a leaf.
const (
	// Direct means that every node connects to the leaf.
	Direct Mode = iota
	// Relayed means that only the leaf's relays connect to it.
	Relayed
)

// String returns the name of the mode.
func (m Mode) String() string {
	if m == Direct {
		return "direct"
	}
	return "relayed"
}

const (
	// MinDirectConnections is the minimum number of connections per node in direct
	// mode: one in use and one free for a hedge or a retry.
	MinDirectConnections = 2
	// MaxDirectConnections bounds the connections of one node in direct mode, all of
	// which are opened before they are needed.
	MaxDirectConnections = 16
	// RelayConnections is the target number of connections per relay.
	RelayConnections = 5
	// MinRelays is the minimum number of relays, so that a leaf stays reachable after
	// the loss of one relay.
	MinRelays = 2
	// MaxRelays bounds the number of senders that share a leaf's slots.
	MaxRelays = 8
	// reserveDivisor makes the reserve a sixth of the cap.
	reserveDivisor = 6
	// minReserve is the minimum number of connections in a reserve.
	minReserve = 1
)

// Share describes how one leaf's connections are divided.
type Share struct {
	Mode Mode
	// Holders is the number of nodes that connect to the leaf.
	Holders int
	// PerHolder is the maximum number of connections of one holder.
	PerHolder int
}

// Total returns the maximum number of connections to the leaf when all nodes have the
// same view of the membership.
func (s Share) Total() int { return s.Holders * s.PerHolder }

// RestartSafe returns the maximum number of connections of one relay to a leaf with the
// given cap such that all relays can connect anew while the leaf still holds the
// connections from before a power failure. Nodes that connect directly have too few
// connections to leave that room.
func (s Share) RestartSafe(limit int) int {
	if s.Mode == Direct {
		return s.PerHolder
	}
	return min(s.PerHolder, max(limit/2/s.Holders, MinDirectConnections))
}

// Reserve returns the default reserve of a connection cap: connections that are not
// divided among the nodes, but kept for replacements and for nodes that wrongly assume
// that another node has been removed.
func Reserve(limit int) int {
	return max(limit/reserveDivisor, minReserve)
}

// ConnectionShare divides the connection cap of a leaf, less a reserve, among live
// nodes. The sum over all holders never exceeds limit - reserve.
func ConnectionShare(limit, live, reserve int) (Share, error) {
	return checkedShare(limit, live, reserve, directOrRelayed)
}

// DirectShare divides the cap as ConnectionShare does, but never uses relays.
// If there are more nodes than connections, no node gets one.
func DirectShare(limit, live, reserve int) (Share, error) {
	return checkedShare(limit, live, reserve, directShare)
}

// checkedShare checks the arguments, divides the usable connections and asserts that
// the result does not exceed them.
func checkedShare(limit, live, reserve int, divide func(usable, live int) Share) (Share, error) {
	usable := limit - reserve
	if usable < 1 || reserve < 0 || live < 1 {
		return Share{}, fmt.Errorf("connection share: cap %d, reserve %d, live nodes %d", limit, reserve, live)
	}
	s := divide(usable, live)
	if s.Total() > usable {
		return Share{}, fmt.Errorf("connection share: %d holders of %d exceed %d", s.Holders, s.PerHolder, usable)
	}
	return s, nil
}

func directShare(usable, live int) Share {
	return Share{Mode: Direct, Holders: live, PerHolder: min(usable/live, MaxDirectConnections)}
}

func directOrRelayed(usable, live int) Share {
	if s := directShare(usable, live); s.PerHolder >= MinDirectConnections {
		return s
	}
	relays := min(max(usable/RelayConnections, MinRelays), MaxRelays, live, usable)
	return Share{Mode: Relayed, Holders: relays, PerHolder: usable / relays}
}
