package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 400 * time.Millisecond
	// soakDoubleShare is the share of faults that are injected twice concurrently.
	soakDoubleShare = 0.3
	// soakBurstQueries is the number of queries of a burst.
	soakBurstQueries = 120
	// maxNodesReplaced bounds the nodes that are replaced concurrently.
	maxNodesReplaced = 2
	// soakCrashSends is how often a crashing request is sent.
	soakCrashSends  = 5
	soakLostShare   = 0.2
	maxSoakSlowdown = 30.0 // slow factor
)

// faultKind is a kind of fault. The function inject returns when the fault is over.
type faultKind struct {
	name   string
	inject func(s *soak, ctx context.Context, random *rand.Rand)
}

// faultKinds are all kinds of faults except racing operators and resent commands,
// which occur all the time.
var faultKinds = []faultKind{
	{"version_moves", func(s *soak, ctx context.Context, r *rand.Rand) { s.moveIndex(ctx, s.pickIndex(r), false) }},
	{"repartitions", func(s *soak, ctx context.Context, r *rand.Rand) { s.moveIndex(ctx, s.pickIndex(r), true) }},
	{"slow_leafs", (*soak).slowLeaf},
	{"bursts", (*soak).burst},
	{"drains", (*soak).drain},
	{"leafs_replaced", (*soak).crashAndReplaceLeaf},
	{"leafs_crashed", (*soak).crashAndRestartLeaf},
	{"crashing_requests", (*soak).sendCrashingRequest},
	{"lost_upstream_replies", (*soak).loseReplies},
	{"platform_outages", (*soak).platformOutage},
	{"platform_lost_replies", (*soak).losePlatformReplies},
	{"nodes_replaced", (*soak).replaceNode},
}

// injectFaults injects faults of all kinds until end and waits for the last one.
func (s *soak) injectFaults(ctx context.Context, seed uint64, end time.Time) {
	random := rand.New(rand.NewPCG(seed, 2))
	var running sync.WaitGroup
	defer running.Wait()
	var order []int
	for next := time.Now().Add(soakFaultDelay); next.Before(end) && sleepUntil(ctx, next); {
		if len(order) == 0 {
			order = random.Perm(len(faultKinds))
		}
		kind := faultKinds[order[0]]
		order = order[1:]
		times := 1
		if random.Float64() < soakDoubleShare {
			times = 2
		}
		for range times {
			faultRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
			s.countFault(kind.name)
			running.Go(func() { kind.inject(s, ctx, faultRandom) })
		}
		next = next.Add(randomDuration(random, 0, 2*meanFaultInterval))
	}
}

func (f *soakFleet) countFault(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name]++
}

// randomDuration returns a random duration between minimum and maximum.
func randomDuration(random *rand.Rand, minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(random.Float64()*float64(maximum-minimum))
}

// sleepRandom sleeps for a random duration between minimum and maximum.
func sleepRandom(ctx context.Context, random *rand.Rand, minimum, maximum time.Duration) {
	sleepUntil(ctx, time.Now().Add(randomDuration(random, minimum, maximum)))
}

func (f *soakFleet) pickIndex(random *rand.Rand) *soakIndex {
	return f.indexes[random.IntN(len(f.indexes))]
}

func (s *soak) slowLeaf(ctx context.Context, random *rand.Rand) {
	_, l := s.pickPosition(random)
	l.SetSlowFactor(1 + random.Float64()*maxSoakSlowdown)
	sleepRandom(ctx, random, 500*time.Millisecond, 3*time.Second)
	l.SetSlowFactor(1)
}

// burst sends a burst of queries, which makes leafs shed load.
func (s *soak) burst(ctx context.Context, random *rand.Rand) {
	first := 1<<20 + random.IntN(1<<20) // request numbers that the steady load does not use
	var running sync.WaitGroup
	for i := range soakBurstQueries {
		running.Go(func() { s.runQuery(ctx, first+i, time.Now()) })
	}
	running.Wait()
}

func (s *soak) crashAndReplaceLeaf(ctx context.Context, random *rand.Rand) {
	p, l := s.pickPosition(random)
	s.replaceLeaf(ctx, p, l, randomDuration(random, 0, time.Second), random.IntN(2) == 0)
}

// crashAndRestartLeaf crashes a leaf that restarts at the same address.
func (s *soak) crashAndRestartLeaf(_ context.Context, random *rand.Rand) {
	_, l := s.pickPosition(random)
	l.Crash(randomDuration(random, 100*time.Millisecond, time.Second))
}

// sendCrashingRequest sends a request that crashes each leaf that runs it, several
// times in sequence, through all nodes.
func (s *soak) sendCrashingRequest(ctx context.Context, random *rand.Rand) {
	service := demoGroups[random.IntN(len(demoGroups))].name
	body := fmt.Sprintf(`{"query":{"echo":"%s-%d"}}`, crashMarker, random.Uint64())
	for i := range soakCrashSends {
		url, _ := s.balancer.pick(i, 0)
		// The answer does not matter: the leafs record their runs.
		_, _, _ = s.balancer.caller.post(ctx, url+"/v1/services/"+service+"/query", body)
	}
}

func (s *soak) loseReplies(ctx context.Context, random *rand.Rand) {
	_, l := s.pickPosition(random)
	l.SetLostReplyShare(soakLostShare)
	sleepRandom(ctx, random, 500*time.Millisecond, 2*time.Second)
	l.SetLostReplyShare(0)
}

// platformFault is an active fault of the platform; several may be active.
type platformFault struct{ standin.Faults }

// injectPlatformFault activates a fault of the platform for 1 s to 3 s.
func (s *soak) injectPlatformFault(ctx context.Context, random *rand.Rand, faults standin.Faults) {
	p := &platformFault{faults}
	s.soakFleet.mu.Lock()
	s.platformFaults = append(s.platformFaults, p)
	s.updatePlatformFaults()
	s.soakFleet.mu.Unlock()
	sleepRandom(ctx, random, time.Second, 3*time.Second)
	s.soakFleet.mu.Lock()
	s.platformFaults = slices.DeleteFunc(s.platformFaults, func(q *platformFault) bool { return q == p })
	s.updatePlatformFaults()
	s.soakFleet.mu.Unlock()
}

// updatePlatformFaults sets the combination of all active faults; the caller holds the
// lock.
func (f *soakFleet) updatePlatformFaults() {
	var combined standin.Faults
	for _, p := range f.platformFaults {
		combined.LostReplyShare = max(combined.LostReplyShare, p.LostReplyShare)
		combined.Latency = max(combined.Latency, p.Latency)
		if p.Outage != standin.OutageNone {
			combined.Outage = p.Outage
		}
	}
	f.demo.platform.SetFaults(combined)
}

func (s *soak) platformOutage(ctx context.Context, random *rand.Rand) {
	kind := []standin.Outage{standin.OutageRefuse, standin.OutageHang}[random.IntN(2)]
	start := time.Now()
	s.injectPlatformFault(ctx, random, standin.Faults{Outage: kind})
	s.soakFleet.mu.Lock()
	defer s.soakFleet.mu.Unlock()
	s.outages = append(s.outages, interval{start, time.Now()})
}

func (s *soak) losePlatformReplies(ctx context.Context, random *rand.Rand) {
	s.injectPlatformFault(ctx, random, standin.Faults{LostReplyShare: soakLostShare, Latency: randomDuration(random, 0, 50*time.Millisecond)})
}

// Signals of a drain.
const (
	drainByManifest = iota
	drainByReplies  // by the header of its replies, while its manifest reports no drain
	drainByList
	drainSignals
)

// drain drains a leaf, counts the subrequests that reach it later than drainPropagation
// after the start, and ends the drain.
func (s *soak) drain(ctx context.Context, random *rand.Rand) {
	p, l := s.pickPosition(random)
	signal, ok := s.reserveDrain(p, l)
	if !ok {
		return
	}
	start := time.Now()
	s.setDraining(p, l, signal, true)
	sleepUntil(ctx, start.Add(drainPropagation))
	before := l.RunCount() + l.ShedCount()
	sleepRandom(ctx, random, 500*time.Millisecond, 1500*time.Millisecond)
	late := l.RunCount() + l.ShedCount() - before
	s.checkDrain(signal, start, late)
	s.setDraining(p, l, signal, false)
	s.soakFleet.mu.Lock()
	defer s.soakFleet.mu.Unlock()
	p.draining = false
}

// reserveDrain reserves a position for a drain and returns its signal, each signal in
// turn; ok is false if a drain is in progress there. A manifest that denied one drain
// denies later ones too.
func (f *soakFleet) reserveDrain(p *soakPosition, l *leaf.Leaf) (signal int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.draining {
		return 0, false
	}
	p.draining = true
	signal = f.drains % drainSignals
	f.drains++
	if signal == drainByManifest && p.denyingLeaf == l {
		signal = drainByReplies
	}
	if signal == drainByReplies {
		p.denyingLeaf = l
	}
	return signal, true
}

func (f *soakFleet) setDraining(p *soakPosition, l *leaf.Leaf, signal int, draining bool) {
	state := platform.VMLive
	if draining {
		state = platform.VMLeaving
	}
	switch signal {
	case drainByList:
		f.setVMState(p, l, state)
	case drainByReplies:
		l.SetManifestDraining(false)
		l.SetDraining(draining)
	default:
		l.SetDraining(draining)
	}
}

// checkDrain counts subrequests sent late. It skips drains that some node cannot observe:
// one by the list if the platform had a fault after the start, and one by replies if a
// node started later.
func (f *soakFleet) checkDrain(signal int, start time.Time, late int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unobservable := false
	if signal == drainByList {
		unobservable = len(f.platformFaults) > 0
		for _, o := range f.outages {
			unobservable = unobservable || o.end.After(start)
		}
	}
	if signal == drainByReplies {
		for _, at := range f.laterStarts {
			unobservable = unobservable || at.After(start)
		}
	}
	if unobservable {
		f.drainsSkipped++
		return
	}
	f.drainsChecked++
	f.lateSubrequests += late
}

// replaceNode starts a node and stops another one gracefully, in random order.
func (s *soak) replaceNode(ctx context.Context, random *rand.Rand) {
	i, ok := s.reserveNode(random, maxNodesReplaced)
	if !ok {
		return
	}
	stopFirst := random.IntN(2) == 0
	if stopFirst {
		s.stopNode(ctx, i)
	}
	n, id, err := s.launchNode(ctx)
	if err == nil {
		err = awaitReady(ctx, n)
	}
	if err != nil {
		s.recordError(err)
		return
	}
	s.balancer.add(n.URL())
	s.revisions.addNode(n)
	if !stopFirst {
		s.stopNode(ctx, i)
	}
	s.soakFleet.mu.Lock()
	defer s.soakFleet.mu.Unlock()
	s.demo.nodes[i] = n
	s.nodeIDs[i] = id
	s.replacing[i] = false
}

// stopNode stops a node gracefully while the balancer still sends requests to it.
func (s *soak) stopNode(ctx context.Context, i int) {
	s.soakFleet.mu.Lock()
	old, id := s.demo.nodes[i], s.nodeIDs[i]
	s.soakFleet.mu.Unlock()
	// While the platform is unreachable, Stop cannot store the ledger of tickets and
	// returns an error.
	if err := old.Stop(ctx); err != nil {
		s.countFault("stops_incomplete")
	}
	s.balancer.remove(old.URL())
	s.recordError(s.demo.removeVM(id))
	s.soakFleet.mu.Lock()
	defer s.soakFleet.mu.Unlock()
	s.stoppedNodes = append(s.stoppedNodes, old)
}
