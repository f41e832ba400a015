package share

import "time"

// grant is a number of connections that is granted from a point in time.
type grant struct {
	from  time.Time
	count int
}

// Window is a sliding-window minimum over the grants that follow from a node's view of
// the membership: the node may hold as many connections as the smallest grant in effect
// at any time during the last settleTime. A node releases connections immediately and
// adds connections only after every other node has had settleTime to receive the
// change. Nodes whose views lag by up to settleTime therefore never hold more
// connections together than one consistent membership view grants. A new window starts
// at 0, so a node that has just started opens no connections until the other nodes
// know of it.
type Window struct {
	settleTime time.Duration
	// grants is sorted by ascending time and ascending count. An older grant that is
	// not smaller than a newer one can never be the minimum again and is removed.
	grants []grant
}

// NewWindow returns the window for a node that starts at now.
func NewWindow(now time.Time, settleTime time.Duration) *Window {
	return &Window{settleTime: settleTime, grants: []grant{{from: now, count: 0}}}
}

// Grant records that count connections are granted from now on. now must not
// decrease between calls.
func (w *Window) Grant(now time.Time, count int) {
	w.expire(now)
	// The previous grant was in effect until now, so it counts for settleTime from now.
	last := len(w.grants) - 1
	if w.grants[last].count == count {
		return
	}
	for last >= 0 && w.grants[last].count >= count {
		w.grants = w.grants[:last]
		last--
	}
	w.grants = append(w.grants, grant{from: now, count: count})
}

// Allowed returns the number of connections that the node may hold at now.
func (w *Window) Allowed(now time.Time) int {
	w.expire(now)
	return w.grants[0].count
}

// NextIncrease returns the time at which Allowed increases next if there is no
// further grant; it reports false if Allowed does not increase.
func (w *Window) NextIncrease() (time.Time, bool) {
	if len(w.grants) < 2 {
		return time.Time{}, false
	}
	return w.grants[1].from.Add(w.settleTime), true
}

// expire removes grants that ended settleTime or more before now.
func (w *Window) expire(now time.Time) {
	expired := 0
	for expired+1 < len(w.grants) && now.Sub(w.grants[expired+1].from) >= w.settleTime {
		expired++
	}
	w.grants = w.grants[expired:]
}
