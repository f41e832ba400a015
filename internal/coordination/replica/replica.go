// Package replica chooses the leaf that runs a subrequest.
package replica

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// None is returned when no replica may be used.
const None = -1

const (
	// untestedLatency is assumed for a leaf without a reply.
	untestedLatency = time.Millisecond
	// crossingRuns is what the way to another availability zone counts, in subrequests
	// in flight there. It lies above the spread of the latency of sound leafs, and
	// below 1, so that a busy leaf of the own availability zone spills over.
	crossingRuns = 0.8
	// compareAll is the largest number of replicas that are all compared. Among more,
	// two random ones keep nodes from all choosing the same.
	compareAll = 3
	// setAsideFactor is how much dearer than its alternative a leaf is when it is
	// used for probes only.
	setAsideFactor = 2
	// probeInterval is the shortest time between two probes of a leaf that is set
	// aside. It grows with how much dearer the leaf is, up to maxProbeFactor times.
	probeInterval  = 500 * time.Millisecond
	maxProbeFactor = 8
	// failingAfter is the number of failures in a row that count as chance.
	failingAfter = 1
	// unansweredAllowance is the number of unanswered subrequests that count as chance.
	unansweredAllowance = 1
	// failurePenalty multiplies the cost for each failure since the last answer.
	failurePenalty = 4
	// maxPenalizedFailures bounds the growth of the penalty.
	maxPenalizedFailures = 6
)

// Set is a set of replica indexes below 64.
type Set uint64

// Has reports whether i is in the set.
func (s Set) Has(i int) bool { return i < 64 && s&(1<<i) != 0 }

// With returns the set with i added.
func (s Set) With(i int) Set { return s | 1<<i }

// Chooser picks one of the replicas outside tried, or None. random supplies
// the randomness.
type Chooser func(now time.Time, replicas []shardmap.Replica, tried Set, availabilityZone string, random uint64) int

// Random takes any replica; it is the baseline of measurements.
func Random(_ time.Time, replicas []shardmap.Replica, tried Set, _ string, random uint64) int {
	return pick(replicas, tried, "", uint32(random)).index
}

// Choose returns the index of the cheapest replica outside tried, or None. Of more
// than compareAll it compares two random ones, one of them in the availability zone if
// there is any. A much dearer one is chosen when a probe is due at now; a zero now
// asks for no probes.
func Choose(now time.Time, replicas []shardmap.Replica, tried Set, availabilityZone string, random uint64) int {
	best := pick(replicas, tried, availabilityZone, uint32(random))
	if best.index == None {
		return None
	}
	var compared [compareAll]candidate
	compared[0] = best
	n, most := 1, compareAll
	if len(replicas) > compareAll {
		most = 2
	}
	for seen := tried.With(best.index); n < most; n++ {
		next := pick(replicas, seen, "", uint32(random>>32))
		if next.index == None {
			break
		}
		seen = seen.With(next.index)
		compared[n] = next
		if zoneCost(&replicas[next.index].VM, availabilityZone, &next.stats) < zoneCost(&replicas[best.index].VM, availabilityZone, &best.stats) {
			best = next
		}
	}
	cost := statsCost(&best.stats)
	for i := range compared[:n] {
		dear := &compared[i]
		dearCost := statsCost(&dear.stats)
		if IsEjected(dearCost, cost) && isProbeDue(now, &dear.stats, dearCost/cost) {
			return dear.index
		}
	}
	return best.index
}

// IsEjected reports whether a leaf of a cost gets probes only while one of the
// other cost can run its work.
func IsEjected(cost, other float64) bool { return cost > setAsideFactor*other }

// IsWorthHedging reports whether a hedge to r, sent after a wait of delay, is
// likely to answer before an attempt that is merely late.
func IsWorthHedging(r shardmap.Replica, delay time.Duration) bool {
	s := r.Record.Stats()
	s.InFlight = 0
	return !s.Draining && statsCost(&s) <= setAsideFactor*float64(delay)
}

// IsFailing reports whether the last subrequests of r failed or got no answer.
func IsFailing(r shardmap.Replica) bool {
	s := r.Record.Stats()
	return failures(&s) > failingAfter
}

// isProbeDue reports whether a leaf that is set aside gets one subrequest to find
// out whether it recovered. ratio is its cost over that of its alternative: a
// probe of a much slower leaf costs its query more.
func isProbeDue(now time.Time, s *leaf.Stats, ratio float64) bool {
	factor := min(max(ratio/setAsideFactor, 1), maxProbeFactor)
	return s.InFlight == 0 && now.Sub(s.LastBegin) >= time.Duration(factor*float64(probeInterval))
}

// candidate is a replica with its measurements at one moment.
type candidate struct {
	index int
	stats leaf.Stats
}

// pick returns a random replica outside tried, one of the availability zone if there
// is any; its index is None when there is none. Draining leafs get no new work,
// whoever else is left.
func pick(replicas []shardmap.Replica, tried Set, availabilityZone string, random uint32) candidate {
	n := min(len(replicas), 64)
	found := candidate{index: None}
	if n == 0 {
		return found
	}
	start := int(random % uint32(n))
	for k := range n {
		i := (start + k) % n
		near := availabilityZone == "" || replicas[i].VM.AvailabilityZone == availabilityZone
		if tried.Has(i) || found.index != None && !near {
			continue
		}
		stats := replicas[i].Record.Stats()
		if stats.Draining {
			continue
		}
		if near {
			return candidate{i, stats}
		}
		found = candidate{i, stats}
	}
	return found
}

// Cost estimates how long a subrequest would wait on a replica, in nanoseconds.
func Cost(r shardmap.Replica, availabilityZone string) float64 {
	stats := r.Record.Stats()
	return zoneCost(&r.VM, availabilityZone, &stats)
}

func zoneCost(vm *platform.VM, availabilityZone string, stats *leaf.Stats) float64 {
	if vm.AvailabilityZone != availabilityZone {
		return runsCost(stats, crossingRuns)
	}
	return statsCost(stats)
}

func failures(s *leaf.Stats) int {
	return s.Failures + max(0, s.Unanswered-unansweredAllowance)
}

func statsCost(s *leaf.Stats) float64 { return runsCost(s, 0) }

// runsCost is the cost with so many subrequests in flight beside those counted.
func runsCost(s *leaf.Stats, beside float64) float64 {
	latency := s.Latency
	if latency == 0 {
		latency = untestedLatency
	}
	cost := float64(latency) * (float64(s.InFlight+1) + beside)
	for range min(failures(s), maxPenalizedFailures) {
		cost *= failurePenalty
	}
	return cost
}
