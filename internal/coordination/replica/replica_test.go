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

func replicaOf(zone string, latency time.Duration, inFlight, failures int) shardmap.Replica {
	r := &leaf.Record{}
	r.Begin(start)
	r.End(start, latency, leaf.Answered)
	for range failures {
		r.Begin(start)
		r.End(start, latency, leaf.Errored)
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
		{"all tried", []shardmap.Replica{replicaOf("a", ms, 0, 0)}, Set(0).With(0), None},
		{"less in flight", []shardmap.Replica{replicaOf("a", ms, 4, 0), replicaOf("a", ms, 1, 0)}, 0, 1},
		{"faster", []shardmap.Replica{replicaOf("a", 9*ms, 0, 0), replicaOf("a", ms, 0, 0)}, 0, 1},
		{"own availability zone at equal cost", []shardmap.Replica{replicaOf("b", ms, 0, 0), replicaOf("a", ms, 0, 0)}, 0, 1},
		{"spill over when the own is worse", []shardmap.Replica{replicaOf("b", ms, 0, 0), replicaOf("a", 2*ms, 0, 0)}, 0, 0},
		{"fewer failures", []shardmap.Replica{replicaOf("a", ms, 0, 2), replicaOf("a", 3*ms, 0, 0)}, 0, 1},
		{"one of three is sound", []shardmap.Replica{replicaOf("a", 90*ms, 1, 0), replicaOf("b", 80*ms, 1, 0), replicaOf("c", 10*ms, 0, 0)}, 0, 2},
		{"the sound one of three is of the own zone", []shardmap.Replica{replicaOf("b", 90*ms, 1, 0), replicaOf("a", 10*ms, 1, 0), replicaOf("c", 80*ms, 1, 0)}, 0, 1},
		{"spill over when the own is busier", []shardmap.Replica{replicaOf("b", ms, 1, 0), replicaOf("a", ms, 2, 0)}, 0, 0},
		{"equally busy, the own", []shardmap.Replica{replicaOf("b", ms, 1, 0), replicaOf("a", ms, 1, 0)}, 0, 1},
		{"the only one left", []shardmap.Replica{replicaOf("a", ms, 0, 0), replicaOf("a", 9*ms, 0, 5)}, Set(0).With(0), 1},
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

// TestNearLeafs answers the pattern of leafs in three availability zones whose
// latency varies as much as theirs does: bytes between zones are dear, so a sound
// leaf of the own zone takes the work, and one that turns slow loses it at once.
func TestNearLeafs(t *testing.T) {
	const (
		usual = 11 * time.Millisecond
		every = 150 * time.Millisecond
		calls = 2000
	)
	tests := []struct {
		name        string
		slow        float64 // factor of the near leaf
		least, most float64 // share of calls that go to it
	}{
		{"all are sound", 1, 0.8, 1},
		{"the near leaf is 8 times slower", 8, 0, 0.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			replicas := []shardmap.Replica{replicaOf("a", usual, 0, 0), replicaOf("b", usual, 0, 0), replicaOf("c", usual, 0, 0)}
			near := 0
			for call := range calls {
				now := start.Add(time.Duration(call) * every)
				i := Choose(now, replicas, 0, "b", random.Uint64())
				took := float64(usual) * math.Exp(0.35*random.NormFloat64())
				if i == 1 {
					near++
					took *= test.slow
				}
				replicas[i].Record.Begin(now)
				replicas[i].Record.End(now.Add(time.Duration(took)), time.Duration(took), leaf.Answered)
			}
			if got := float64(near) / calls; got < test.least || got > test.most {
				t.Errorf("%.2f of the calls go to the near leaf, want %.2f to %.2f", got, test.least, test.most)
			}
		})
	}
}

// TestDrainingGetsNoNewWork holds also when no other replica is left.
func TestDrainingGetsNoNewWork(t *testing.T) {
	replicas := []shardmap.Replica{replicaOf("a", time.Millisecond, 0, 0), replicaOf("a", time.Second, 0, 0)}
	replicas[0].Record.UpdateDrain(leaving)
	for random := range uint64(8) {
		if got := Choose(start, replicas, 0, "a", random); got != 1 {
			t.Errorf("random %d: draining replica chosen", random)
		}
	}
	replicas[1].Record.UpdateDrain(leaving)
	if got := Choose(start, replicas, 0, "a", 0); got != None {
		t.Errorf("draining replica %d chosen, since all are draining", got)
	}
}

// TestTrickle gives an expensive leaf one probe an interval, and no more; the
// interval grows with its cost. It answers the pattern of many leafs that are slow
// at once, whose probes would use up the budget for hedges.
func TestTrickle(t *testing.T) {
	tests := []struct {
		latency time.Duration
		want    int // probes in 10 s, by the interval of 500 ms
	}{
		{3 * time.Millisecond, 13},
		{8 * time.Millisecond, 5},
		{time.Second, 3},
	}
	for _, test := range tests {
		replicas := []shardmap.Replica{replicaOf("a", time.Millisecond, 0, 0), replicaOf("a", test.latency, 0, 0)}
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

// TestSilentLeafIsAvoided covers a leaf that accepts work and never answers.
func TestSilentLeafIsAvoided(t *testing.T) {
	replicas := []shardmap.Replica{replicaOf("a", time.Millisecond, 0, 0), replicaOf("a", time.Millisecond, 2, 0)}
	silent := start.Add(time.Second)
	for range 3 {
		replicas[0].Record.Begin(silent)
		replicas[0].Record.End(silent, 2*time.Millisecond, leaf.Cancelled)
	}
	if got := Choose(silent, replicas, 0, "a", 0); got != 1 {
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
		replicas = append(replicas, replicaOf("a", time.Millisecond, 1, 0))
	}
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		Choose(start, replicas, 0, "a", random.Uint64())
	}
}

// leaving is the evidence of a leaf whose reply says that it drains.
func leaving(d leaf.DrainState) leaf.DrainState {
	d.Reply = true
	return d
}
