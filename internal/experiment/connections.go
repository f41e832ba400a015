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
	Summary: "4 to 9 nodes come, go and disagree for up to 1 s about who is there; 6 leafs with a cap of 25 and 6 ms for a new connection",
	Target:  "a leaf never counts more connections than its cap, at most 25 opened in any second, no refused request, p99 at most 1.3 of quiet",
	Run:     runConnections,
}

const (
	connectionsLeafs    = 6
	connectionsCap      = 25
	connectionsFewest   = 4
	connectionsStart    = 7
	connectionsMost     = 9
	connectionsLag      = time.Second
	connectionsSettle   = 1500 * time.Millisecond
	connectionsRate     = 350.0 // requests per second
	connectionsQuiet    = 1750  // requests
	connectionsChurn    = 3500
	connectionsEvery    = 600 * time.Millisecond // between changes of the membership
	connectionsTick     = 20 * time.Millisecond
	connectionsDrain    = 300 * time.Millisecond
	connectionsDeadline = 2 * time.Second
)

// connectionsServiceTime has little spread, so that waits for connections show.
var connectionsServiceTime = leaf.ServiceTime{Median: 10 * time.Millisecond, Sigma: 0.3}

// shareNode is one node's client with its own late view of the membership.
type shareNode struct {
	id     int
	client *client.Client
	window *share.Window
	known  map[int]bool // members that it heard of: true present, false gone
	held   int
	ready  bool // its connections are open
	gone   bool
}

// notice tells a node of a change at a time.
type notice struct {
	at           time.Time
	node, member int
	present      bool
}

// churn is the fleet of the experiment. One mutex guards its fields.
type churn struct {
	leafs  []*leaf.Leaf
	vms    []platform.VM
	window bool // false: nodes follow their present view at once

	mu      sync.Mutex
	random  *rand.Rand
	nodes   []*shareNode
	notices []notice
}

func newChurn(seed uint64, window bool) (*churn, error) {
	c := &churn{window: window, random: rand.New(rand.NewPCG(seed, 3))}
	for i := range connectionsLeafs {
		l := leaf.New(leaf.Options{
			ID: fmt.Sprintf("leaf-%d", i), Seed: seed + uint64(i), Slots: 32, QueueLength: 100, Items: 1,
			// No cap: the leaf's own count would hide what the nodes do.
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
	for range connectionsStart {
		c.join(time.Now())
	}
	return c, nil
}

func (c *churn) close() {
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

// lag is the time until a node hears of a change.
func (c *churn) lag() time.Duration { return time.Duration(c.random.Int64N(int64(connectionsLag))) }

// join adds a node. It hears of the others, and they of it, with lags.
func (c *churn) join(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := &shareNode{id: len(c.nodes), client: client.New(client.DefaultConfig(), nil), window: share.NewWindow(now, connectionsSettle), known: make(map[int]bool)}
	n.known[n.id] = true
	for _, other := range c.nodes {
		if !other.gone {
			c.notices = append(c.notices, notice{now.Add(c.lag()), n.id, other.id, true}, notice{now.Add(c.lag()), other.id, n.id, true})
		}
	}
	c.nodes = append(c.nodes, n)
}

// leave stops a node: it takes no new requests, finishes those in progress, then
// closes its connections and tells the others.
func (c *churn) leave(ctx context.Context, id int) {
	c.mu.Lock()
	n := c.nodes[id]
	n.ready = false
	c.mu.Unlock()
	sleepUntil(ctx, time.Now().Add(connectionsDrain))
	n.client.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	n.gone = true
	now := time.Now()
	for _, other := range c.nodes {
		if !other.gone {
			c.notices = append(c.notices, notice{now.Add(c.lag()), other.id, id, false})
		}
	}
}

// tick delivers notices and sets the shares of all nodes.
func (c *churn) tick(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := c.notices[:0]
	for _, m := range c.notices {
		if m.at.After(now) {
			rest = append(rest, m)
			continue
		}
		known := c.nodes[m.node].known
		if _, told := known[m.member]; !told || !m.present {
			known[m.member] = m.present
		}
	}
	c.notices = rest
	for _, n := range c.nodes {
		if n.gone {
			continue
		}
		if err := c.adjust(n, now); err != nil {
			return err
		}
	}
	return nil
}

func (c *churn) adjust(n *shareNode, now time.Time) error {
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
	held := s.PerHolder
	if c.window {
		held = n.window.Allowed(now)
	}
	if held != n.held {
		n.held = held
		for _, vm := range c.vms {
			n.client.SetShare(vm, held)
		}
	}
	return nil
}

// follow ticks until ctx ends and returns the first error.
func (c *churn) follow(ctx context.Context) error {
	for sleepUntil(ctx, time.Now().Add(connectionsTick)) {
		if err := c.tick(time.Now()); err != nil {
			return err
		}
		c.markReady()
	}
	return nil
}

// markReady lets nodes with open connections take requests.
func (c *churn) markReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		opened := n.client.ConnectionsOpened() >= int64(n.held*len(c.vms))
		if !n.gone && !n.ready && n.held > 0 && opened {
			n.ready = true
		}
	}
}

// readyNodes lists the nodes that take requests.
func (c *churn) readyNodes() []*shareNode {
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

// change lets nodes come and go: one at a time, and once three at once.
func (c *churn) change(ctx context.Context, step int) {
	ready := c.readyNodes()
	leaving := 0
	switch {
	case step == 8:
		leaving = 3
	case len(ready) > connectionsFewest && step%2 == 0:
		leaving = 1
	}
	var stops sync.WaitGroup
	for _, i := range c.random.Perm(len(ready))[:min(leaving, len(ready)-1)] {
		stops.Go(func() { c.leave(ctx, ready[i].id) })
	}
	stops.Wait()
	for range max(leaving, 1) {
		if c.present() < connectionsMost {
			c.join(time.Now())
		}
	}
}

func (c *churn) present() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, n := range c.nodes {
		if !n.gone {
			count++
		}
	}
	return count
}

// ask sends one request through a ready node.
func (c *churn) ask(ctx context.Context, t *tally, i int, at time.Time) {
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
