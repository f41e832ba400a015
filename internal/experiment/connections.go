package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/share"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	client "github.com/hickorydock/hickorydock/internal/transport/upstream"
)

var connectionsExperiment = Experiment{
	Name:    "connections",
	Summary: "4 to 9 nodes join and leave, with views of the membership up to 1 s old; 6 leafs with a cap of 25 connections that take 6 ms each to open",
	Target:  "no leaf has more connections than its cap, at most 25 opened in any second, no request fails, p99 at most 1.3 of that without changes",
	Run:     runConnections,
}

const (
	connectionsLeafs          = 6
	connectionsCap            = 25
	connectionsMinNodes       = 4
	connectionsInitialNodes   = 7
	connectionsMaxNodes       = 9
	connectionsMaxDelay       = time.Second
	connectionsSettle         = 1500 * time.Millisecond
	connectionsRate           = 350.0 // requests per second
	connectionsQuietRequests  = 1750  // requests
	connectionsChurnRequests  = 3500
	connectionsChangeInterval = 600 * time.Millisecond // between changes of the membership
	connectionsTickInterval   = 20 * time.Millisecond
	connectionsDrainTime      = 300 * time.Millisecond
	connectionsDeadline       = 2 * time.Second
)

// connectionsServiceTime has a low variance, so that waits for connections show in
// the latency.
var connectionsServiceTime = leaf.ServiceTime{Median: 10 * time.Millisecond, Sigma: 0.3}

// shareNode is one node's client with its own, delayed view of the membership.
type shareNode struct {
	id              int
	client          *client.Client
	window          *share.Window
	known           map[int]bool // members that it was notified of: true joined, false left
	connectionShare int
	ready           bool // its connections are open
	removed         bool
}

// memberNotice notifies a node of a change of the membership at a given time.
type memberNotice struct {
	at           time.Time
	node, member int
	present      bool
}

// churnFleet is the leafs and the changing set of nodes. One mutex guards its fields.
type churnFleet struct {
	leafs     []*leaf.Leaf
	vms       []platform.VM
	useWindow bool // false: a node uses the share of its current view at once

	mu      sync.Mutex
	random  *rand.Rand
	nodes   []*shareNode
	notices []memberNotice
}

func newChurnFleet(seed uint64, useWindow bool) (*churnFleet, error) {
	c := &churnFleet{useWindow: useWindow, random: rand.New(rand.NewPCG(seed, 3))}
	for i := range connectionsLeafs {
		l := leaf.New(leaf.Options{
			ID: fmt.Sprintf("leaf-%d", i), Seed: seed + uint64(i), Slots: 32, QueueLength: 100, Items: 1,
			// No cap: a leaf that refuses connections would hide nodes that exceed their share.
			ConnectCost: 6 * time.Millisecond,
			ServiceTime: connectionsServiceTime,
			Holdings:    []contract.Holding{{Service: "licence-desk", Snapshot: firstSnapshot, ShardCount: 1, Shards: []int{0}}},
		})
		address, err := l.Start("127.0.0.1:0")
		if err != nil {
			c.close()
			return nil, err
		}
		c.leafs = append(c.leafs, l)
		c.vms = append(c.vms, platform.VM{ID: l.ID(), Address: address})
	}
	for range connectionsInitialNodes {
		c.join(time.Now())
	}
	return c, nil
}

func (c *churnFleet) close() {
	c.mu.Lock()
	nodes := c.nodes
	c.mu.Unlock()
	for _, n := range nodes {
		n.client.Close()
	}
	for _, l := range c.leafs {
		l.Close()
	}
}

// noticeDelay is the time until a node is notified of a change.
func (c *churnFleet) noticeDelay() time.Duration {
	return time.Duration(c.random.Int64N(int64(connectionsMaxDelay)))
}

// join adds a node. It is notified of the other nodes, and they of it, with delays.
func (c *churnFleet) join(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := &shareNode{id: len(c.nodes), client: client.New(client.DefaultConfig(), nil), window: share.NewWindow(now, connectionsSettle), known: make(map[int]bool)}
	n.known[n.id] = true
	for _, other := range c.nodes {
		if !other.removed {
			c.notices = append(c.notices, memberNotice{now.Add(c.noticeDelay()), n.id, other.id, true}, memberNotice{now.Add(c.noticeDelay()), other.id, n.id, true})
		}
	}
	c.nodes = append(c.nodes, n)
}

// leave stops a node: it takes no new requests, finishes those in progress, then
// closes its connections and notifies the others.
func (c *churnFleet) leave(ctx context.Context, id int) {
	c.mu.Lock()
	n := c.nodes[id]
	n.ready = false
	c.mu.Unlock()
	sleepUntil(ctx, time.Now().Add(connectionsDrainTime))
	n.client.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	n.removed = true
	now := time.Now()
	for _, other := range c.nodes {
		if !other.removed {
			c.notices = append(c.notices, memberNotice{now.Add(c.noticeDelay()), other.id, id, false})
		}
	}
}

// tick delivers notices and sets the shares of all nodes.
func (c *churnFleet) tick(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.notices[:0]
	for _, m := range c.notices {
		if m.at.After(now) {
			pending = append(pending, m)
			continue
		}
		known := c.nodes[m.node].known
		if _, seen := known[m.member]; !seen || !m.present {
			known[m.member] = m.present
		}
	}
	c.notices = pending
	for _, n := range c.nodes {
		if n.removed {
			continue
		}
		if err := c.adjust(n, now); err != nil {
			return err
		}
	}
	return nil
}

func (c *churnFleet) adjust(n *shareNode, now time.Time) error {
	live := 0
	for _, present := range n.known {
		if present {
			live++
		}
	}
	s, err := share.DirectShare(connectionsCap, live, share.Reserve(connectionsCap))
	if err != nil {
		return err
	}
	n.window.Grant(now, s.PerHolder)
	allowed := s.PerHolder
	if c.useWindow {
		allowed = n.window.Allowed(now)
	}
	if allowed != n.connectionShare {
		n.connectionShare = allowed
		for _, vm := range c.vms {
			n.client.SetShare(vm, allowed)
		}
	}
	return nil
}

// run calls tick periodically until ctx ends and returns the first error.
func (c *churnFleet) run(ctx context.Context) error {
	for sleepUntil(ctx, time.Now().Add(connectionsTickInterval)) {
		if err := c.tick(time.Now()); err != nil {
			return err
		}
		c.markReady()
	}
	return nil
}

// markReady lets nodes with open connections take requests.
func (c *churnFleet) markReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		opened := n.client.ConnectionsOpened() >= int64(n.connectionShare*len(c.vms))
		if !n.removed && !n.ready && n.connectionShare > 0 && opened {
			n.ready = true
		}
	}
}

// readyNodes lists the nodes that take requests.
func (c *churnFleet) readyNodes() []*shareNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*shareNode
	for _, n := range c.nodes {
		if n.ready {
			out = append(out, n)
		}
	}
	return out
}

// changeMembers lets nodes join and leave: one at a time, and once three at once.
func (c *churnFleet) changeMembers(ctx context.Context, step int) {
	ready := c.readyNodes()
	leaving := 0
	switch {
	case step == 8:
		leaving = 3
	case len(ready) > connectionsMinNodes && step%2 == 0:
		leaving = 1
	}
	var stops sync.WaitGroup
	for _, i := range c.random.Perm(len(ready))[:min(leaving, len(ready)-1)] {
		stops.Go(func() { c.leave(ctx, ready[i].id) })
	}
	stops.Wait()
	for range max(leaving, 1) {
		if c.nodeCount() < connectionsMaxNodes {
			c.join(time.Now())
		}
	}
}

func (c *churnFleet) nodeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, n := range c.nodes {
		if !n.removed {
			count++
		}
	}
	return count
}

// request sends one request through a ready node.
func (c *churnFleet) request(ctx context.Context, t *tally, i int, at time.Time) {
	ready := c.readyNodes()
	if len(ready) == 0 {
		t.add(sample{index: i, err: fmt.Errorf("no node is ready")})
		return
	}
	n := ready[i%len(ready)]
	vm := c.vms[i%len(c.vms)]
	sub := contract.Subrequest{RequestID: fmt.Sprint(i), Attempt: 1, Service: "licence-desk", Shard: 0, Snapshot: firstSnapshot, Class: contract.ClassQuery}
	ctx, cancel := context.WithTimeout(ctx, connectionsDeadline)
	defer cancel()
	reply := n.client.Run(ctx, vm, sub, connectionsDeadline, []byte(`{"query":{}}`))
	s := sample{index: i, scheduledAt: at, elapsed: time.Since(at)}
	s.answer.Outcome = "done"
	if reply.Result != subrequest.OK {
		s.err = reply.Err
	}
	t.add(s)
}
