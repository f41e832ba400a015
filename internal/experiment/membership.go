package experiment

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	decisions "github.com/hickorydock/hickorydock/internal/coordination/membership"
	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

var membershipExperiment = Experiment{
	Name:    "membership",
	Summary: "membership of 7, 70 and 610 nodes simulated in virtual time, 1 % of messages lost; baseline: figures calculated for heartbeats between all nodes and through platform objects",
	Target:  "a dead node known everywhere within 5 s, a leaving one within 3 s, no false suspicion; at 610 nodes at most 20 KB/s, 4.9 % of a core and 32 MB per node",
	Run:     runMembership,
}

const (
	membershipLoss = 0.01
	// fleetZones is the number of availability zones.
	fleetZones = 6
	// packetOverhead is the overhead of IP and TCP with timestamps, in bytes per message.
	packetOverhead      = 52
	minPacketLatency    = 300 * time.Microsecond
	packetLatencySpread = 2700 * time.Microsecond

	membershipSettleTime = 20 * time.Second
	quietPhase           = 10 * time.Second
	eventPhase           = 10 * time.Second
	pausePhase           = 30 * time.Second
)

// delivery is a message in transit or a node's next tick.
type delivery struct {
	at      time.Time
	to      string
	message *membership.Message // nil for a tick
}

type deliveries []delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deliveries) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)        { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// fleet simulates the membership of nodes in virtual time.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	queue   deliveries
	nodes   map[string]*decisions.Membership
	nodeIDs []string
	down    map[string]bool
	buffer  []byte

	messages, bytes float64
	// observedAt holds, by member and state, the last time at which a node changed its
	// view of the member to that state.
	observedAt map[string]map[membership.State]time.Time
	falseDead  int // observations of a running node as dead
}

func fleetMember(i int, start uint64) membership.Member {
	return membership.Member{
		ID:               fmt.Sprintf("node-%04d", i),
		Address:          fmt.Sprintf("10.1.%d.%d:7070", i/250, 1+i%250),
		AvailabilityZone: fmt.Sprintf("zone-%d", i%fleetZones),
		Start:            start,
		State:            membership.Alive,
	}
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{
		now:        time.Unix(1_900_000_000, 0),
		random:     rand.New(rand.NewPCG(seed, uint64(size))),
		nodes:      make(map[string]*decisions.Membership),
		down:       make(map[string]bool),
		observedAt: make(map[string]map[membership.State]time.Time),
	}
	list := make([]membership.Member, size)
	for i := range list {
		list[i] = fleetMember(i, 0)
	}
	for i := range size {
		f.start(fleetMember(i, membership.StartAt(f.now)+uint64(i)), list)
	}
	return f
}

func (f *fleet) start(self membership.Member, list []membership.Member) {
	if f.nodes[self.ID] == nil {
		f.nodeIDs = append(f.nodeIDs, self.ID)
		phase := time.Duration(f.random.Int64N(int64(decisions.TickInterval)))
		heap.Push(&f.queue, delivery{at: f.now.Add(phase), to: self.ID})
	}
	m := decisions.New(decisions.Config{Self: self, Seed: f.random.Uint64()})
	f.nodes[self.ID] = m
	delete(f.down, self.ID)
	f.apply(m.MergePlatformList(f.now, list))
}

// apply sends the packets of a node and records the state changes that it observed.
func (f *fleet) apply(a decisions.Actions) {
	for _, s := range a.Packets {
		f.buffer = s.Message.Append(f.buffer[:0])
		f.messages++
		f.bytes += float64(len(f.buffer) + packetOverhead)
		if f.random.Float64() < membershipLoss {
			continue
		}
		latency := minPacketLatency + time.Duration(f.random.Int64N(int64(packetLatencySpread)))
		heap.Push(&f.queue, delivery{at: f.now.Add(latency), to: s.To, message: &s.Message})
	}
	for _, changed := range a.Changed {
		if f.observedAt[changed.ID] == nil {
			f.observedAt[changed.ID] = make(map[membership.State]time.Time)
		}
		f.observedAt[changed.ID][changed.State] = f.now
		if changed.State == membership.Dead && !f.down[changed.ID] {
			f.falseDead++
		}
	}
}

func (f *fleet) run(ctx context.Context, d time.Duration) error {
	end := f.now.Add(d)
	for steps := 0; len(f.queue) > 0 && f.queue[0].at.Before(end); steps++ {
		if steps%10_000 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		next := heap.Pop(&f.queue).(delivery)
		f.now = next.at
		node := f.nodes[next.to]
		if next.message == nil {
			heap.Push(&f.queue, delivery{at: next.at.Add(decisions.TickInterval), to: next.to})
		}
		switch {
		case node == nil || f.down[next.to]:
		case next.message == nil:
			f.apply(node.Tick(f.now))
		default:
			f.apply(node.Receive(f.now, *next.message))
		}
	}
	f.now = end
	return nil
}

// knownEverywhere returns the seconds from begin until the last node changed its view of
// the member id to a state, and whether all running nodes have that view now.
func (f *fleet) knownEverywhere(id string, state membership.State, begin time.Time) (float64, bool) {
	for _, observer := range f.nodeIDs {
		if observer == id || f.down[observer] {
			continue
		}
		if known, _ := f.nodes[observer].Lookup(id); known.State != state {
			return 0, false
		}
	}
	return f.observedAt[id][state].Sub(begin).Seconds(), true
}

// membershipFigures are the results for one size of the fleet.
type membershipFigures struct {
	messagesPerS, bytesPerS       float64 // sent by each node while nothing changes
	eventBytesPerS                float64 // sent by each node over the whole run
	deadS, zoneDeadS              float64
	leavingS, joinS, resumeS      float64
	falseSuspicions, notConverged float64
	corePercent, heapMB           float64
}

func (m membershipFigures) list(size int) []Figure {
	prefix := fmt.Sprintf("nodes_%d_", size)
	return []Figure{
		{prefix + "messages_per_node_s", m.messagesPerS},
		{prefix + "bytes_per_node_s", m.bytesPerS},
		{prefix + "bytes_per_node_s_with_changes", m.eventBytesPerS},
		{prefix + "dead_known_s", m.deadS},
		{prefix + "zone_dead_known_s", m.zoneDeadS},
		{prefix + "leaving_known_s", m.leavingS},
		{prefix + "joined_known_s", m.joinS},
		{prefix + "resumed_known_s", m.resumeS},
		{prefix + "false_suspicions", m.falseSuspicions},
		{prefix + "changes_not_known_everywhere", m.notConverged},
		{prefix + "core_percent_per_node", m.corePercent},
		{prefix + "heap_mb_per_node", m.heapMB},
	}
}

// scenario runs the membership changes of one fleet, one after another.
type scenario struct {
	*fleet
	ctx     context.Context
	figures membershipFigures
}

// expect runs for eventPhase and returns the longest time, over the members ids, until
// all running nodes had the state in their view. A member for which some node lacks it
// counts with eventPhase.
func (s *scenario) expect(ids []string, state membership.State) (float64, error) {
	begin := s.now
	if err := s.run(s.ctx, eventPhase); err != nil {
		return 0, err
	}
	longest := 0.0
	for _, id := range ids {
		elapsed, everywhere := s.knownEverywhere(id, state, begin)
		if !everywhere {
			s.figures.notConverged++
			elapsed = eventPhase.Seconds()
		}
		longest = max(longest, elapsed)
	}
	return longest, nil
}

func (s *scenario) stopAll(ids []string) {
	for _, id := range ids {
		s.down[id] = true
	}
}

func (s *scenario) runPhases(size int) error {
	if err := s.run(s.ctx, membershipSettleTime); err != nil {
		return err
	}
	s.messages, s.bytes = 0, 0
	if err := s.run(s.ctx, quietPhase); err != nil {
		return err
	}
	perNode := float64(size) * quietPhase.Seconds()
	s.figures.messagesPerS, s.figures.bytesPerS = s.messages/perNode, s.bytes/perNode

	var err error
	dead := s.nodeIDs[:1]
	s.stopAll(dead)
	if s.figures.deadS, err = s.expect(dead, membership.Dead); err != nil {
		return err
	}
	leaving := s.nodeIDs[1:2]
	s.apply(s.nodes[leaving[0]].Leave(s.now))
	if s.figures.leavingS, err = s.expect(leaving, membership.Leaving); err != nil {
		return err
	}
	s.start(fleetMember(0, membership.StartAt(s.now)), []membership.Member{fleetMember(2, 0), fleetMember(3, 0)})
	if s.figures.joinS, err = s.expect(dead, membership.Alive); err != nil {
		return err
	}
	paused := s.nodeIDs[2:3]
	s.stopAll(paused)
	if err := s.run(s.ctx, pausePhase); err != nil {
		return err
	}
	delete(s.down, paused[0])
	if s.figures.resumeS, err = s.expect(paused, membership.Alive); err != nil {
		return err
	}
	var zone []string
	for i := fleetZones - 1; i < size; i += fleetZones {
		zone = append(zone, s.nodeIDs[i])
	}
	s.stopAll(zone)
	s.figures.zoneDeadS, err = s.expect(zone, membership.Dead)
	return err
}

func measureMembership(ctx context.Context, size int, seed uint64) (membershipFigures, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpuBefore := cpuTime()
	s := &scenario{fleet: newFleet(size, seed), ctx: ctx}
	begin := s.now
	if err := s.runPhases(size); err != nil {
		return s.figures, err
	}
	virtual := s.now.Sub(begin).Seconds() * float64(size)
	s.figures.corePercent = 100 * (cpuTime() - cpuBefore).Seconds() / virtual
	s.figures.eventBytesPerS = s.bytes / (virtual - membershipSettleTime.Seconds()*float64(size))
	s.figures.falseSuspicions = float64(s.falseDead)
	runtime.GC()
	runtime.ReadMemStats(&after)
	s.figures.heapMB = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(size) / (1 << 20)
	runtime.KeepAlive(s)
	return s.figures, nil
}

// cpuTime is the CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heartbeatBaseline gives the baseline figures of a node for a heartbeat to every other
// node each second, and for heartbeat objects in the platform every 5 s that all
// nodes watch.
func heartbeatBaseline(size int) []Figure {
	ping := membership.Message{Kind: membership.Ping, From: "node-0000", Seq: 1 << 20, Digest: 1}
	message := float64(len(ping.Append(nil)) + packetOverhead)
	const (
		objectInterval = 5   // seconds
		eventBytes     = 200 // one line of a watch
	)
	prefix := fmt.Sprintf("nodes_%d_", size)
	objects := float64(size) / objectInterval
	return []Figure{
		{prefix + "all_to_all_bytes_per_node_s", 2 * float64(size-1) * message},
		{prefix + "objects_platform_writes_per_s", objects},
		{prefix + "objects_watch_bytes_per_node_s", objects * eventBytes},
	}
}

func runMembership(ctx context.Context, seed uint64) (Result, error) {
	var result Result
	for _, size := range nodeCounts {
		figures, err := measureMembership(ctx, size, seed)
		if err != nil {
			return result, err
		}
		result.Baseline = append(result.Baseline, heartbeatBaseline(size)...)
		result.Policy = append(result.Policy, figures.list(size)...)
		prefix := fmt.Sprintf("nodes_%d_", size)
		result.Checks = append(result.Checks,
			AtMost(prefix+"dead_known_s", max(figures.deadS, figures.zoneDeadS), 5),
			AtMost(prefix+"leaving_known_s", figures.leavingS, 3),
			AtMost(prefix+"false_suspicions", figures.falseSuspicions, 0),
			AtMost(prefix+"changes_not_known_everywhere", figures.notConverged, 0),
			AtMost(prefix+"bytes_per_node_s_with_changes", figures.eventBytesPerS, 20_000),
			AtMost(prefix+"core_percent_per_node", figures.corePercent, 4.9),
			AtMost(prefix+"heap_mb_per_node", figures.heapMB, 32),
		)
	}
	return result, nil
}
