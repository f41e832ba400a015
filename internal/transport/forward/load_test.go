package forward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// slotLeaf is a leaf with a number of slots, random service times and pauses, in virtual
// time.
type slotLeaf struct {
	random *rand.Rand
	slots  []time.Time // when each becomes free
	mean   time.Duration
	// factor multiplies the service time between slowFrom and slowTo.
	factor           float64
	slowFrom, slowTo time.Time
	// The leaf pauses for pause once per interval every.
	pause, every time.Duration
	phase        time.Duration
	startedAt    time.Time
	runs         int
}

// serve runs a call on the slot that becomes free first.
func (l *slotLeaf) serve(call *leafwire.Call) (time.Duration, leafwire.Reply) {
	now := time.Now()
	l.runs++
	first := 0
	for i, at := range l.slots {
		if at.Before(l.slots[first]) {
			first = i
		}
	}
	start := now
	if l.slots[first].After(start) {
		start = l.slots[first]
	}
	if l.every > 0 {
		if sinceCycleStart := (start.Sub(l.startedAt) + l.phase) % l.every; sinceCycleStart < l.pause {
			start = start.Add(l.pause - sinceCycleStart)
		}
	}
	work := float64(l.mean) * math.Exp(0.35*l.random.NormFloat64())
	if now.After(l.slowFrom) && now.Before(l.slowTo) {
		work *= l.factor
	}
	end := start.Add(time.Duration(work))
	l.slots[first] = end
	return end.Sub(now), ok(call)
}

// loadPattern is a load on a forwarder and the results that its callers must get.
type loadPattern struct {
	shards, perShard int
	perSecond        int
	duration         time.Duration
	// slow is the fraction of leafs that are slower by factor, from a fifth of the
	// duration to half of it.
	slow, factor float64
	// slack is the number of extra arrivals that all nodes share, of which holders send
	// to the leafs; 0 means the default of the rig.
	slack          float64
	nodes, holders int
	// minCoverage is the minimum mean coverage of responses within the target, minOnTime
	// the minimum fraction of such responses.
	minCoverage, minOnTime float64
}

// minScore is the score that the users require for a day: the fraction of responses on
// time times the square of their coverage.
const minScore = 0.82

// TestLoads runs load patterns of heavy days. Each must reach minScore; the bounds of a
// pattern are stricter, since it has only one kind of fault. The bound of extra arrivals is
// that of the upstreams.
func TestLoads(t *testing.T) {
	tests := map[string]loadPattern{
		"every leaf pauses for 120 ms each 3 s":                                       {shards: 20, perShard: 2, perSecond: 70, duration: 12 * time.Second, minCoverage: 0.985, minOnTime: 0.97},
		"a seventh of the leafs is 8 times slower":                                    {shards: 20, perShard: 2, perSecond: 70, duration: 12 * time.Second, slow: 0.15, factor: 8, minCoverage: 0.97, minOnTime: 0.93},
		"many shards of three leafs, few queries a node":                              {shards: 26, perShard: 3, perSecond: 10, duration: 20 * time.Second, slow: 0.15, factor: 8, minCoverage: 0.97, minOnTime: 0.93},
		"two fifths of the leafs turn 6 times slower, few queries at one of 8 relays": {shards: 11, perShard: 3, perSecond: 8, duration: 20 * time.Second, slow: 0.4, factor: 6, slack: 174, nodes: 67, holders: 8, minCoverage: 0.97, minOnTime: 0.93},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLoad(t, test) })
		})
	}
}

func runLoad(t *testing.T, p loadPattern) {
	random := rand.New(rand.NewPCG(1, 2))
	startedAt := time.Now()
	leafs := map[string]behaviour{}
	var slotLeafs []*slotLeaf
	rt := queryRoute(p.shards, 0.89)
	for _, group := range rt.Shards {
		for n := range p.perShard {
			l := &slotLeaf{
				random: rand.New(rand.NewPCG(random.Uint64(), 1)), slots: make([]time.Time, 2), mean: 11 * ms, factor: p.factor,
				pause: 120 * ms, every: 3 * time.Second, phase: time.Duration(random.Int64N(int64(3 * time.Second))), startedAt: startedAt,
			}
			if random.Float64() < p.slow {
				l.slowFrom, l.slowTo = startedAt.Add(p.duration/5), startedAt.Add(p.duration/2)
			}
			leafs[fmt.Sprintf("%s/%d", group, n)] = l.serve
			slotLeafs = append(slotLeafs, l)
		}
	}
	r := newRig(t, rt, leafs)
	if p.slack > 0 {
		r.cfg.ExtraSlack = p.slack
		r.Holders = func(string) (int, bool) { return p.holders, true }
		r.SetNodes(p.nodes)
	}
	var mu sync.Mutex
	queries, onTime, covered := 0, 0, 0.0
	var running sync.WaitGroup
	for time.Since(startedAt) < p.duration {
		running.Go(func() {
			response, took := r.do(t.Context(), http.MethodGet, "/"+strconv.Itoa(rand.Int()))
			mu.Lock()
			defer mu.Unlock()
			queries++
			if response.Code == http.StatusOK && took <= rt.TargetLatency {
				missing, _ := strconv.Atoi(response.Header().Get("Missing"))
				onTime++
				covered += 1 - float64(missing)/float64(p.shards)
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(p.perSecond)))
	}
	running.Wait()
	time.Sleep(time.Second)
	arrivals := 0
	for _, l := range slotLeafs {
		arrivals += l.runs
	}
	firstAttempts := queries * p.shards
	extra := float64(arrivals-firstAttempts) / float64(firstAttempts)
	t.Logf("%d queries, %.3f on time, mean coverage %.4f, %.3f extra arrivals", queries, float64(onTime)/float64(queries), covered/float64(onTime), extra)
	if got := float64(onTime) / float64(queries); got < p.minOnTime {
		t.Errorf("%.3f of the responses on time, want %.3f", got, p.minOnTime)
	}
	if got := covered / float64(onTime); got < p.minCoverage {
		t.Errorf("mean coverage %.4f, want %.4f", got, p.minCoverage)
	}
	if got := float64(onTime) / float64(queries) * math.Pow(covered/float64(onTime), 2); got < minScore {
		t.Errorf("score %.3f, want %.2f", got, minScore)
	}
	nodes := max(p.holders, 1)
	if maxExtra := r.cfg.ExtraShare + r.cfg.ExtraSlack/float64(nodes*queries); extra > maxExtra {
		t.Errorf("%.3f extra arrivals, want at most %.3f", extra, maxExtra)
	}
}
