package drain

import "time"

const (
	// reregistrationTime is how long after an outage the platform's list may lack live
	// leafs, since their registrations expired during the outage.
	reregistrationTime = 2 * time.Second
	// outageGracePeriod is how long after the last failed call a removal from the list
	// may be due to an expired registration.
	outageGracePeriod = 4 * time.Second
)

// RemovalGracePeriod returns how long a leaf that was removed from the platform's list
// still counts as listed: 0, unless calls to the platform failed shortly before now.
func RemovalGracePeriod(now, lastFailure time.Time) time.Duration {
	if lastFailure.IsZero() || now.Sub(lastFailure) > outageGracePeriod {
		return 0
	}
	return reregistrationTime
}
