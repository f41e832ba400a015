package platform

import "time"

// NodeStatus is the value of an object of KindNode. The node itself is its only
// writer.
type NodeStatus struct {
	Node             string `json:"node"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	// Revision is that of the node's current catalogue.
	Revision uint64 `json:"revision"`
	// At is when the status was written, by the node's clock.
	At time.Time `json:"at"`
	// FreshFor is the time in seconds within which the next report is due; 0 on
	// the last report of a node that stops.
	FreshFor float64 `json:"fresh_for_s"`
}

// staleFactor is the number of report intervals after which a node counts as stale.
const staleFactor = 3

// IsFresh reports whether the node reported recently enough to count as live.
func (s NodeStatus) IsFresh(now time.Time) bool {
	limit := time.Duration(staleFactor * s.FreshFor * float64(time.Second))
	return s.FreshFor > 0 && now.Sub(s.At) <= limit
}
