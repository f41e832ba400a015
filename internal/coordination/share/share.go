// Package share divides the connections that a leaf accepts among the nodes.
// Where every node can have enough of them, nodes connect to the leaf directly;
// where they are too few, a small set of relays does. All values are plain;
// methods take the time and are called by one goroutine at a time.
package share

import "fmt"

// Mode says how nodes reach a leaf.
type Mode int

// Modes of reaching a leaf.
const (
	// Direct means that every node connects to the leaf.
	Direct Mode = iota
	// Relayed means that only the leaf's relays connect to it.
	Relayed
)

// String names the mode.
func (m Mode) String() string {
	if m == Direct {
		return "direct"
	}
	return "relayed"
}

const (
	// MinDirectConnections is the fewest connections for each node that make the
	// direct way useful: one in use and one free for a hedge or a retry.
	MinDirectConnections = 2
	// MaxDirectConnections bounds the connections of one node, which are all opened ahead.
	MaxDirectConnections = 16
	// RelayConnections is the number of connections that a relay aims at.
	RelayConnections = 5
	// MinRelays leaves a leaf reachable after the loss of one relay.
	MinRelays = 2
	// MaxRelays bounds the senders that share a leaf's slots.
	MaxRelays = 8
	// reserveDivisor makes the reserve a sixth of the cap.
	reserveDivisor = 6
	// smallestReserve is the fewest connections that a reserve holds.
	smallestReserve = 1
)

// Share is the division of one leaf's connections.
type Share struct {
	Mode Mode
	// Holders is the number of nodes that connect to the leaf.
	Holders int
	// PerHolder is the most connections of one holder.
	PerHolder int
}

// Total is the most connections that the leaf sees when all nodes agree.
func (s Share) Total() int { return s.Holders * s.PerHolder }

// Reserve is the usual reserve of a cap: connections that no node holds, for
// replacements and for nodes that wrongly believe that another one is gone.
func Reserve(limit int) int {
	return max(limit/reserveDivisor, smallestReserve)
}

// ConnectionShare divides the cap of a leaf, less a reserve, among live nodes.
// The sum over all holders never exceeds limit - reserve.
func ConnectionShare(limit, live, reserve int) (Share, error) {
	return checked(limit, live, reserve, divide)
}

// DirectShare divides the cap as ConnectionShare does, but never takes relays.
// Where there are more nodes than connections, nobody has one.
func DirectShare(limit, live, reserve int) (Share, error) {
	return checked(limit, live, reserve, direct)
}

func checked(limit, live, reserve int, divide func(usable, live int) Share) (Share, error) {
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

func direct(usable, live int) Share {
	return Share{Mode: Direct, Holders: live, PerHolder: min(usable/live, MaxDirectConnections)}
}

func divide(usable, live int) Share {
	if s := direct(usable, live); s.PerHolder >= MinDirectConnections {
		return s
	}
	relays := min(max(usable/RelayConnections, MinRelays), MaxRelays, live, usable)
	return Share{Mode: Relayed, Holders: relays, PerHolder: usable / relays}
}
