package drain

import "time"

const (
	// returnTime is how long after an outage the platform's list may lack leafs
	// that live, since their registrations lapsed meanwhile.
	returnTime = 2 * time.Second
	// outageMemory is how long after the last failed call a removal may be a lapse.
	outageMemory = 4 * time.Second
)

// RemovalGracePeriod is how long a leaf whose registration is gone still counts as
// listed: no time, unless calls to the platform failed shortly before now.
func RemovalGracePeriod(now, lastFailure time.Time) time.Duration {
	if lastFailure.IsZero() || now.Sub(lastFailure) > outageMemory {
		return 0
	}
	return returnTime
}
