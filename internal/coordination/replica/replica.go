// Package replica chooses the leaf that runs a subrequest.
package replica

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// None is returned when no replica can be used.
const None = -1

const (
	// defaultLatency is assumed for a leaf that has not replied yet.
	defaultLatency = time.Millisecond
	// crossZonePenalty is the cost of a leaf in another availability zone, expressed
	// as additional subrequests in flight on that leaf. It is higher than the latency
	// spread of healthy leafs, and below 1 so that work spills over to another zone
	// when the leaf of the local zone is busy.
	crossZonePenalty = 0.8
	// maxCompared is the largest number of replicas that are all compared. With more
	// replicas, only two random ones are compared, so that nodes do not all choose
	// the same replica.
	maxCompared = 3
	// ejectionFactor is the ratio of a leaf's cost to the cost of its alternative above
	// which the leaf is ejected and receives only probes.
	ejectionFactor = 2
	// probeInterval is the minimum time between two probes of an ejected leaf. It
	// grows with the cost of the leaf relative to its alternative, up to
	// maxProbeFactor times.
	probeInterval  = 500 * time.Millisecond
	maxProbeFactor = 8
	// toleratedFailures is the number of consecutive failures that are attributed to chance.
	toleratedFailures = 1
	// toleratedUnanswered is the number of unanswered subrequests that are attributed to chance.
	toleratedUnanswered = 1
	// failurePenalty multiplies the cost once for each failure since the last answer.
	failurePenalty = 4
	// coldPenalty multiplies the cost of a leaf that warms up, so that others go first.
	coldPenalty = 2
	// maxFailureShare bounds the share of failures in the cost, which is otherwise infinite.
	maxFailureShare = 0.9
	// maxPenalisedFailures bounds how often failurePenalty is applied.
	maxPenalisedFailures = 6
)

// Set is a set of replica indexes below 64.
type Set uint64

// Has reports whether i is in the set.
func (s Set) Has(i int) bool { return i < 64 && s&(1<<i) != 0 }

// With returns the set with i added.
func (s Set) With(i int) Set { return s | 1<<i }

// Chooser returns the index of a replica that is not in tried, or None. random is a
// uniformly distributed random number.
type Chooser func(now time.Time, replicas []shardmap.Replica, tried Set, availabilityZone string, random uint64) int

// Random returns a random replica; it is the baseline for measurements.
func Random(_ time.Time, replicas []shardmap.Replica, tried Set, _ string, random uint64) int {
	return pick(replicas, tried, "", uint32(random)).index
}

// Choose returns the index of the replica with the lowest cost that is not in tried, or
// None. With more than maxCompared replicas it compares two random ones, one of them in
// the given availability zone if there is any. An ejected replica is chosen when a
// probe of it is due at now; a zero now disables probes.
func Choose(now time.Time, replicas []shardmap.Replica, tried Set, availabilityZone string, random uint64) int {
	best := pick(replicas, tried, availabilityZone, uint32(random))
	if best.index == None {
		return None
	}
	var compared [maxCompared]candidate
	compared[0] = best
	n, limit := 1, maxCompared
	if len(replicas) > maxCompared {
		limit = 2
	}
	for excluded := tried.With(best.index); n < limit; n++ {
		next := pick(replicas, excluded, "", uint32(random>>32))
		if next.index == None {
			break
		}
		excluded = excluded.With(next.index)
		compared[n] = next
		if zoneCost(&replicas[next.index].VM, availabilityZone, &next.stats) < zoneCost(&replicas[best.index].VM, availabilityZone, &best.stats) {
			best = next
		}
	}
	cost := statsCost(&best.stats)
	for i := range compared[:n] {
		other := &compared[i]
		otherCost := statsCost(&other.stats)
		if IsEjected(otherCost, cost) && isProbeDue(now, &other.stats, otherCost/cost) {
			return other.index
		}
	}
	return best.index
}

// IsEjected reports whether a leaf with the given cost receives only probes while a
// leaf with the alternative cost is available.
func IsEjected(cost, alternative float64) bool { return cost > ejectionFactor*alternative }

// IsWorthHedging reports whether a hedge to r, sent after delay, is
// likely to be answered before a first attempt that is merely slow. A leaf that limits the
// requests of all nodes gets no hedges, which would take the place of other requests.
func IsWorthHedging(r shardmap.Replica, delay time.Duration) bool {
	s := r.Record.Stats()
	s.InFlight = 0
	return s.IsUsable() && !s.Limited && statsCost(&s) <= ejectionFactor*float64(delay)
}

// IsFailing reports whether the last subrequests of r failed or were not answered.
func IsFailing(r shardmap.Replica) bool {
	s := r.Record.Stats()
	return failures(&s) > toleratedFailures
}

// isProbeDue reports whether an ejected leaf receives one subrequest as a probe for
// recovery. ratio is its cost divided by that of its alternative. Slower leafs are
// probed less often, because the query that serves as the probe waits longer.
func isProbeDue(now time.Time, s *leaf.Stats, ratio float64) bool {
	factor := min(max(ratio/ejectionFactor, 1), maxProbeFactor)
	return s.InFlight == 0 && now.Sub(s.LastSend) >= time.Duration(factor*float64(probeInterval))
}

// candidate is a replica with a snapshot of its measurements.
type candidate struct {
	index int
	stats leaf.Stats
}

// pick returns a random replica that is not in tried, preferably one in the given
// availability zone; the index is None when there is none. Leafs that drain or have asked
// for a pause receive no new work, even when no other leaf is available.
func pick(replicas []shardmap.Replica, tried Set, availabilityZone string, random uint32) candidate {
	n := min(len(replicas), 64)
	fallback := candidate{index: None}
	if n == 0 {
		return fallback
	}
	start := int(random % uint32(n))
	for k := range n {
		i := (start + k) % n
		local := availabilityZone == "" || replicas[i].VM.AvailabilityZone == availabilityZone
		if tried.Has(i) || fallback.index != None && !local {
			continue
		}
		stats := replicas[i].Record.Stats()
		if !stats.IsUsable() {
			continue
		}
		if local {
			return candidate{i, stats}
		}
		fallback = candidate{i, stats}
	}
	return fallback
}

// Cost estimates how long a subrequest to a replica would take, in nanoseconds.
func Cost(r shardmap.Replica, availabilityZone string) float64 {
	stats := r.Record.Stats()
	return zoneCost(&r.VM, availabilityZone, &stats)
}

func zoneCost(vm *platform.VM, availabilityZone string, stats *leaf.Stats) float64 {
	if vm.AvailabilityZone != availabilityZone {
		return loadedCost(stats, crossZonePenalty)
	}
	return statsCost(stats)
}

// failures counts the failures of a leaf and its unanswered subrequests beyond
// toleratedUnanswered.
func failures(s *leaf.Stats) int {
	return s.Failures + max(0, s.Unanswered-toleratedUnanswered)
}

func statsCost(s *leaf.Stats) float64 { return loadedCost(s, 0) }

// loadedCost returns the cost with extra subrequests in flight added to those counted in s.
func loadedCost(s *leaf.Stats, extra float64) float64 {
	latency := s.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	cost := float64(latency) * (float64(s.InFlight+1) + extra)
	for range min(failures(s), maxPenalisedFailures) {
		cost *= failurePenalty
	}
	if s.Cold {
		cost *= coldPenalty
	}
	return cost * attemptCost(s)
}

// attemptCost is the factor by which sheds and failures raise the cost of a leaf: the
// expected number of subrequests until one is answered, squared, since each retry also
// uses up the budget.
func attemptCost(s *leaf.Stats) float64 {
	attempts := 1 / (1 - min(s.FailureShare, maxFailureShare))
	return attempts * attempts
}
