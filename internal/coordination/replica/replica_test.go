package replica

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

var start = time.Unix(1000, 0)

func newReplica(zone string, latency time.Duration, inFlight, failures int) shardmap.Replica {
	r := &leaf.Record{}
	r.Begin(start)
	r.End(start, latency, leaf.Answered)
	for range failures {
		r.Begin(start)
		r.End(start, latency, leaf.Broken)
	}
	for range inFlight {
		r.Begin(start)
	}
	return shardmap.Replica{VM: platform.VM{AvailabilityZone: zone}, Record: r}
}

func TestChoose(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name     string
		replicas []shardmap.Replica
		tried    Set
		want     int
	}{
		{"none", nil, 0, None},
		{"all tried", []shardmap.Replica{newReplica("a", ms, 0, 0)}, Set(0).With(0), None},
		{"fewer in flight", []shardmap.Replica{newReplica("a", ms, 4, 0), newReplica("a", ms, 1, 0)}, 0, 1},
		{"faster", []shardmap.Replica{newReplica("a", 9*ms, 0, 0), newReplica("a", ms, 0, 0)}, 0, 1},
		{"local availability zone at equal cost", []shardmap.Replica{newReplica("b", ms, 0, 0), newReplica("a", ms, 0, 0)}, 0, 1},
		{"spill over when the local one is slower", []shardmap.Replica{newReplica("b", ms, 0, 0), newReplica("a", 2*ms, 0, 0)}, 0, 0},
		{"fewer failures", []shardmap.Replica{newReplica("a", ms, 0, 2), newReplica("a", 3*ms, 0, 0)}, 0, 1},
		{"one of three is healthy", []shardmap.Replica{newReplica("a", 90*ms, 1, 0), newReplica("b", 80*ms, 1, 0), newReplica("c", 10*ms, 0, 0)}, 0, 2},
		{"the healthy one of three is in the local zone", []shardmap.Replica{newReplica("b", 90*ms, 1, 0), newReplica("a", 10*ms, 1, 0), newReplica("c", 80*ms, 1, 0)}, 0, 1},
		{"spill over when the local one is busier", []shardmap.Replica{newReplica("b", ms, 1, 0), newReplica("a", ms, 2, 0)}, 0, 0},
		{"local availability zone when equally busy", []shardmap.Replica{newReplica("b", ms, 1, 0), newReplica("a", ms, 1, 0)}, 0, 1},
		{"the only one not tried", []shardmap.Replica{newReplica("a", ms, 0, 0), newReplica("a", 9*ms, 0, 5)}, Set(0).With(0), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, random := range []uint64{0, 1, 2, 1 << 32, 1<<32 | 1, 2<<32 | 2, 1<<32 | 2} {
				if got := Choose(start, test.replicas, test.tried, "a", random); got != test.want {
					t.Errorf("random %x: replica %d, want %d", random, got, test.want)
				}
			}
		})
	}
}

// TestChoosePrefersHealthyLocalLeaf guards against needless traffic between availability
// zones, which is expensive, and against staying with a slow local leaf. The latency of
// the leafs in three zones varies as much as that of real leafs: a healthy local leaf
// receives most of the work and a slow one loses it at once.
func TestChoosePrefersHealthyLocalLeaf(t *testing.T) {
	const (
		medianLatency = 11 * time.Millisecond
		callInterval  = 150 * time.Millisecond
		calls         = 2000
	)
	tests := []struct {
		name               string
		slowdown           float64 // factor on the latency of the local leaf
		minShare, maxShare float64 // share of calls that go to the local leaf
	}{
		{"all are healthy", 1, 0.8, 1},
		{"the local leaf is 8 times slower", 8, 0, 0.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			replicas := []shardmap.Replica{newReplica("a", medianLatency, 0, 0), newReplica("b", medianLatency, 0, 0), newReplica("c", medianLatency, 0, 0)}
			local := 0
			for call := range calls {
				now := start.Add(time.Duration(call) * callInterval)
				i := Choose(now, replicas, 0, "b", random.Uint64())
				latency := float64(medianLatency) * math.Exp(0.35*random.NormFloat64())
				if i == 1 {
					local++
					latency *= test.slowdown
				}
				replicas[i].Record.Begin(now)
				replicas[i].Record.End(now.Add(time.Duration(latency)), time.Duration(latency), leaf.Answered)
			}
			if got := float64(local) / calls; got < test.minShare || got > test.maxShare {
				t.Errorf("%.2f of the calls go to the local leaf, want %.2f to %.2f", got, test.minShare, test.maxShare)
			}
		})
	}
}

// TestDrainingGetsNoNewWork checks that a draining replica is not chosen, also when it is
// the only one.
func TestDrainingGetsNoNewWork(t *testing.T) {
	replicas := []shardmap.Replica{newReplica("a", time.Millisecond, 0, 0), newReplica("a", time.Second, 0, 0)}
	replicas[0].Record.UpdateDrain(markDraining)
	for random := range uint64(8) {
		if got := Choose(start, replicas, 0, "a", random); got != 1 {
			t.Errorf("random %d: draining replica chosen", random)
		}
	}
	replicas[1].Record.UpdateDrain(markDraining)
	if got := Choose(start, replicas, 0, "a", 0); got != None {
		t.Errorf("draining replica %d chosen when all are draining", got)
	}
}

// TestProbeRateOfEjectedLeaf checks that an ejected leaf receives one probe per interval
// and that the interval grows with its cost. Without this bound, the probes of many leafs
// that are slow at the same time use up the budget for hedges.
func TestProbeRateOfEjectedLeaf(t *testing.T) {
	tests := []struct {
		latency time.Duration
		want    int // probes in 10 s, given the probe interval of 500 ms
	}{
		{3 * time.Millisecond, 13},
		{8 * time.Millisecond, 5},
		{time.Second, 3},
	}
	for _, test := range tests {
		replicas := []shardmap.Replica{newReplica("a", time.Millisecond, 0, 0), newReplica("a", test.latency, 0, 0)}
		probes := 0
		for tick := range 1000 {
			now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
			i := Choose(now, replicas, 0, "a", uint64(tick))
			replicas[i].Record.Begin(now)
			if i == 1 {
				probes++
				replicas[i].Record.End(now, test.latency, leaf.Answered)
			} else {
				replicas[i].Record.End(now, time.Millisecond, leaf.Answered)
			}
		}
		if probes < test.want-1 || probes > test.want {
			t.Errorf("latency %v: %d probes in 10 s, want about %d", test.latency, probes, test.want)
		}
	}
}

// TestSilentLeafIsAvoided covers a leaf that accepts subrequests and never replies.
func TestSilentLeafIsAvoided(t *testing.T) {
	replicas := []shardmap.Replica{newReplica("a", time.Millisecond, 0, 0), newReplica("a", time.Millisecond, 2, 0)}
	cancelledAt := start.Add(time.Second)
	for range 3 {
		replicas[0].Record.Begin(cancelledAt)
		replicas[0].Record.End(cancelledAt, 2*time.Millisecond, leaf.Cancelled)
	}
	if got := Choose(cancelledAt, replicas, 0, "a", 0); got != 1 {
		t.Errorf("replica %d chosen, want 1", got)
	}
	replicas[0].Record.Begin(start)
	replicas[0].Record.End(start, time.Millisecond, leaf.Answered)
	if got := replicas[0].Record.Stats().Unanswered; got != 0 {
		t.Errorf("%d unanswered after a reply", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	var replicas []shardmap.Replica
	for range 3 {
		replicas = append(replicas, newReplica("a", time.Millisecond, 1, 0))
	}
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		Choose(start, replicas, 0, "a", random.Uint64())
	}
}

// markDraining adds the evidence of a reply in which the leaf reports that it is draining.
func markDraining(d leaf.Drain) leaf.Drain {
	d.Reply = true
	return d
}
