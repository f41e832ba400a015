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

const (
	// limitWindow, limitFactor and limitSlack are the users' bound: in each window, a leaf
	// may get limitFactor times what its limit allows, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitDelay is the time after the first answer with a limit from which the bound holds.
	limitDelay = 4 * time.Second
)

// limitedLeaf answers all requests and states a limit, in virtual time.
type limitedLeaf struct {
	mu     sync.Mutex
	random *rand.Rand
	// limit is the stated limit in requests a second; negative if it states none.
	limit     float64
	limitedAt time.Time
	arrivals  []time.Time
}

func (l *limitedLeaf) setLimit(limit float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.limitedAt = time.Now()
}

func (l *limitedLeaf) serve(call *leafwire.Call) (time.Duration, leafwire.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, time.Now())
	reply := ok(call)
	if l.limit >= 0 {
		reply.Header = http.Header{testNames.Limit: {strconv.FormatFloat(l.limit, 'f', 2, 64)}}
	}
	return time.Duration(11 * math.Exp(0.35*l.random.NormFloat64()) * float64(ms)), reply
}

// excess returns by how many requests the fullest window since the leaf has stated its
// limit was over the bound.
func (l *limitedLeaf) excess() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := int(limitFactor*l.limit*limitWindow.Seconds()) + limitSlack
	return fullestWindow(l.arrivals, l.limitedAt.Add(limitDelay), limitWindow) - allowed
}

// fullestWindow returns the largest number of arrivals in a window that begins at from or later.
func fullestWindow(arrivals []time.Time, from time.Time, window time.Duration) int {
	first, most := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > window {
			first++
		}
		if !arrivals[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// limitFleet is a fleet of forwarders over the same limited leafs.
type limitFleet struct {
	random *rand.Rand
	nodes  []*rig
	leafs  map[string]*limitedLeaf
}

func newLimitFleet(t *testing.T, seed uint64, nodes, shards int) *limitFleet {
	f := &limitFleet{random: rand.New(rand.NewPCG(seed, 1)), leafs: map[string]*limitedLeaf{}}
	rt := queryRoute(shards, 0.89)
	behaviours := map[string]behaviour{}
	for _, group := range rt.Shards {
		for n := range 2 {
			l := &limitedLeaf{random: rand.New(rand.NewPCG(f.random.Uint64(), 2)), limit: -1}
			f.leafs[fmt.Sprintf("%s/%d", group, n)] = l
			behaviours[fmt.Sprintf("%s/%d", group, n)] = l.serve
		}
	}
	for range nodes {
		r := newRig(t, rt, behaviours)
		r.cfg.ExtraSlack = 54
		r.SetNodes(nodes)
		f.nodes = append(f.nodes, r)
	}
	return f
}

// setLimits makes a random share of the leafs state a limit.
func (f *limitFleet) setLimits(share, limit float64) {
	for _, l := range f.leafs {
		if f.random.Float64() < share {
			l.setLimit(limit)
		}
	}
}

// limitResult counts what the callers of a fleet got.
type limitResult struct {
	sent, served, refused, noReturn int
	slowestRefusal                  time.Duration
}

// play sends queries through random nodes for a time.
func (f *limitFleet) play(t *testing.T, perSecond int, duration time.Duration) limitResult {
	var mu sync.Mutex
	var result limitResult
	var running sync.WaitGroup
	for startedAt := time.Now(); time.Since(startedAt) < duration; {
		node := f.nodes[f.random.IntN(len(f.nodes))]
		running.Go(func() {
			response, took := node.do(t.Context(), http.MethodGet, "/"+strconv.Itoa(rand.Int()))
			mu.Lock()
			defer mu.Unlock()
			result.sent++
			switch {
			case response.Code == http.StatusOK:
				result.served++
			case response.Code == http.StatusServiceUnavailable:
				result.refused++
				result.slowestRefusal = max(result.slowestRefusal, took)
				if response.Header().Get("Retry-After") == "" {
					result.noReturn++
				}
			}
		})
		time.Sleep(time.Duration(f.random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
	}
	running.Wait()
	time.Sleep(time.Second)
	return result
}

func (f *limitFleet) checkLimits(t *testing.T) {
	t.Helper()
	for id, l := range f.leafs {
		if excess := l.excess(); l.limit >= 0 && excess > 0 {
			t.Errorf("leaf %s got %d requests more in %v than its limit of %v a second allows", id, excess, limitWindow, l.limit)
		}
	}
}

// TestLimitOfLeafs guards against a fleet that sends a leaf more than the limit that the leaf
// states for all nodes together.
func TestLimitOfLeafs(t *testing.T) {
	tests := map[string]struct {
		nodes, shards, perSecond int
		share, limit             float64
	}{
		"most leafs take half of what they get": {nodes: 7, shards: 20, perSecond: 110, share: 0.7, limit: 27},
		"all leafs take a tenth":                {nodes: 7, shards: 3, perSecond: 110, share: 1, limit: 5.5},
		"more nodes than requests a second":     {nodes: 60, shards: 2, perSecond: 200, share: 1, limit: 3},
		"nothing":                               {nodes: 7, shards: 2, perSecond: 110, share: 1, limit: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					f := newLimitFleet(t, seed, test.nodes, test.shards)
					f.play(t, test.perSecond, 2*time.Second)
					f.setLimits(test.share, test.limit)
					result := f.play(t, test.perSecond, 14*time.Second)
					f.checkLimits(t)
					if result.noReturn > 0 {
						t.Errorf("%d refusals do not say when to come back", result.noReturn)
					}
					t.Logf("seed %d: %+v", seed, result)
				})
			}
		})
	}
}

// TestLimitChangesAndEnds guards against a limit that outlasts what the leaf states: all its
// nodes follow a change, and use the leaf fully once it states none.
func TestLimitChangesAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(t, 1, 7, 2)
		for _, limit := range []float64{30, 10, 40} {
			f.setLimits(1, limit)
			f.play(t, 120, 12*time.Second)
			f.checkLimits(t)
		}
		for _, l := range f.leafs {
			l.limit = -1
		}
		f.play(t, 120, 4*time.Second)
		if result := f.play(t, 120, 8*time.Second); result.refused > 0 {
			t.Errorf("%d of %d queries refused after the end of the limits", result.refused, result.sent)
		}
	})
}
