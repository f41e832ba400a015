package share

import "time"

// grant is a number of connections that was granted from a time on.
type grant struct {
	from  time.Time
	count int
}

// Window turns the grants that follow from a node's changing view of the
// membership into the connections that it may hold: the smallest grant in force
// at any time in the last settle. A node gives up connections at once and takes
// more only when every other node has had settle to hear of the change, so
// nodes whose views lag by up to settle never hold more than one common state
// of the membership grants them together. A new window starts at 0, so a node
// that has just started opens nothing until the others know of it.
type Window struct {
	settle time.Duration
	// grants has ascending times and ascending counts: an older grant that is
	// not smaller than a newer one cannot be the smallest again.
	grants []grant
}

// NewWindow returns the window of a node that starts at now.
func NewWindow(now time.Time, settle time.Duration) *Window {
	return &Window{settle: settle, grants: []grant{{from: now, count: 0}}}
}

// Grant records that count connections are granted from now on. Times do not
// decrease from call to call.
func (w *Window) Grant(now time.Time, count int) {
	w.drop(now)
	// The previous grant was in force until now, so it counts for settle from now.
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

// Allowed is the number of connections that the node may hold at now.
func (w *Window) Allowed(now time.Time) int {
	w.drop(now)
	return w.grants[0].count
}

// NextIncrease is when Allowed rises next without a further grant.
func (w *Window) NextIncrease() (time.Time, bool) {
	if len(w.grants) < 2 {
		return time.Time{}, false
	}
	return w.grants[1].from.Add(w.settle), true
}

// drop forgets grants that ended settle or more before now.
func (w *Window) drop(now time.Time) {
	ended := 0
	for ended+1 < len(w.grants) && now.Sub(w.grants[ended+1].from) >= w.settle {
		ended++
	}
	w.grants = w.grants[ended:]
}
