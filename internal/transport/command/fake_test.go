package command

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/credentials"
)

// callBehaviour is how the fake platform handles a call.
type callBehaviour int

const (
	succeeds            callBehaviour = iota
	unavailable                       // refused without effect
	appliedReplyLost                  // effect, reply lost
	notAppliedReplyLost               // no effect, reply lost
	appliedTimeout                    // effect at once, no reply until the caller's timeout
	appliedLate                       // effect after effectDelay, no reply until the caller's timeout
)

const effectDelay = 5 * time.Second

// fakePlatform stores objects in memory. next holds the behaviour of the next
// calls of each method, in order; later calls have defaultBehaviour.
type fakePlatform struct {
	mu               sync.Mutex
	version          uint64
	objects          map[string]platform.Object
	next             map[string][]callBehaviour
	defaultBehaviour callBehaviour // of calls that next has no entry for
	calls            map[string]int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: map[string]platform.Object{}, next: map[string][]callBehaviour{}, calls: map[string]int{}}
}

func (p *fakePlatform) nextBehaviour(method string) callBehaviour {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[method]++
	if list := p.next[method]; len(list) > 0 {
		p.next[method] = list[1:]
		return list[0]
	}
	return p.defaultBehaviour
}

// setDefault sets the behaviour of the calls that next has no entry for.
func (p *fakePlatform) setDefault(c callBehaviour) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.defaultBehaviour = c
}

func (p *fakePlatform) writes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls["create"] + p.calls["update"] + p.calls["delete"]
}

func (p *fakePlatform) call(ctx context.Context, method string, effect func() (platform.Object, error)) (platform.Object, error) {
	applyEffect := func() (platform.Object, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return effect()
	}
	if ctx.Err() != nil {
		return platform.Object{}, ctx.Err()
	}
	switch p.nextBehaviour(method) {
	case unavailable:
		return platform.Object{}, platform.ErrUnavailable
	case appliedReplyLost:
		_, _ = applyEffect()
		return platform.Object{}, platform.ErrReplyLost
	case notAppliedReplyLost:
		return platform.Object{}, platform.ErrReplyLost
	case appliedTimeout:
		_, _ = applyEffect()
		<-ctx.Done()
		return platform.Object{}, ctx.Err()
	case appliedLate:
		time.AfterFunc(effectDelay, func() { _, _ = applyEffect() })
		<-ctx.Done()
		return platform.Object{}, ctx.Err()
	}
	return applyEffect()
}

func (p *fakePlatform) Get(ctx context.Context, _ platform.Kind, name string) (platform.Object, error) {
	return p.call(ctx, "get", func() (platform.Object, error) {
		o, ok := p.objects[name]
		if !ok {
			return o, platform.ErrNotFound
		}
		return o, nil
	})
}

func (p *fakePlatform) List(ctx context.Context, _ platform.Kind) (platform.Listing, error) {
	var listing platform.Listing
	_, err := p.call(ctx, "list", func() (platform.Object, error) {
		for _, o := range p.objects {
			listing.Objects = append(listing.Objects, o)
		}
		return platform.Object{}, nil
	})
	return listing, err
}

func (p *fakePlatform) Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	return p.call(ctx, "create", func() (platform.Object, error) {
		if _, ok := p.objects[name]; ok {
			return platform.Object{}, platform.ErrExists
		}
		p.version++
		o := platform.Object{Kind: kind, Name: name, Version: p.version, Value: value}
		p.objects[name] = o
		return o, nil
	})
}

func (p *fakePlatform) Update(ctx context.Context, object platform.Object) (platform.Object, error) {
	return p.call(ctx, "update", func() (platform.Object, error) {
		if err := p.checkVersion(object.Name, object.Version); err != nil {
			return platform.Object{}, err
		}
		p.version++
		object.Version = p.version
		p.objects[object.Name] = object
		return object, nil
	})
}

func (p *fakePlatform) Delete(ctx context.Context, _ platform.Kind, name string, version uint64) error {
	_, err := p.call(ctx, "delete", func() (platform.Object, error) {
		if err := p.checkVersion(name, version); err != nil {
			return platform.Object{}, err
		}
		delete(p.objects, name)
		return platform.Object{}, nil
	})
	return err
}

func (p *fakePlatform) checkVersion(name string, version uint64) error {
	o, ok := p.objects[name]
	switch {
	case !ok:
		return platform.ErrNotFound
	case o.Version != version:
		return platform.ErrConflict
	}
	return nil
}

func (p *fakePlatform) Watch(context.Context, platform.Kind, uint64, func(platform.Event) error) error {
	return errors.New("not used")
}

func (p *fakePlatform) PutStatus(context.Context, platform.Kind, string, json.RawMessage) error {
	return errors.New("not used")
}

func (p *fakePlatform) stored(t *testing.T, name string) (command.Record, bool) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[name]
	if !ok {
		return command.Record{}, false
	}
	var r command.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		t.Fatal(err)
	}
	return r, true
}

// fakeDispatcher simulates the upstream. next holds the results of the next
// attempts, in order; later ones are replied to. Each takes duration.
type fakeDispatcher struct {
	mu         sync.Mutex
	next       []command.DispatchKind
	duration   time.Duration
	noShardMap bool
	runs       int
	attempts   []Attempt
}

func (d *fakeDispatcher) Target(note.Service, string) (command.Target, error) {
	if d.noShardMap {
		return command.Target{}, errors.New("no shard map")
	}
	return command.Target{Generation: 1, ShardCount: 4, Shard: 2}, nil
}

func (d *fakeDispatcher) Dispatch(ctx context.Context, a Attempt) command.DispatchResult {
	d.mu.Lock()
	kind := command.DispatchReplied
	if len(d.next) > 0 {
		kind = d.next[0]
		d.next = d.next[1:]
	}
	d.attempts = append(d.attempts, a)
	if kind == command.DispatchReplied || kind == command.DispatchLost {
		d.runs++
	}
	d.mu.Unlock()
	select {
	case <-time.After(d.duration):
	case <-ctx.Done():
		kind = command.DispatchLost
	}
	result := command.DispatchResult{Kind: kind, Leaf: "leaf"}
	if kind == command.DispatchReplied {
		result.Items = []query.Item{query.Item(a.Query)}
	}
	return result
}

func (d *fakeDispatcher) runCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs
}

// fakePeers forwards to runners of this process by node name; a missing node is
// unreachable.
type fakePeers map[string]*Runner

func (p fakePeers) Forward(ctx context.Context, node string, f command.ForwardedCommand) (command.Result, error) {
	r, ok := p[node]
	if !ok {
		return command.Result{}, errors.New("connection refused")
	}
	return r.ServeForward(ctx, f)
}

var testService = note.Service{Name: "complaints", UpstreamGroup: "complaints", LongestWaitMS: 2000, Commands: true}

type fakeServices struct{}

func (fakeServices) Find(name string) (note.Service, bool) {
	if name == "closed" {
		closed := testService
		closed.Name, closed.CallerTokens = name, note.TokenHashes(credentials.TokenHash("secret"))
		return closed, true
	}
	return testService, name == testService.Name
}

// testCluster is a platform and an upstream with any number of nodes.
type testCluster struct {
	platform *fakePlatform
	upstream *fakeDispatcher
	peers    fakePeers
	settings Settings
}

func newTestCluster() *testCluster {
	return &testCluster{
		platform: newFakePlatform(),
		upstream: &fakeDispatcher{},
		peers:    fakePeers{},
		settings: DefaultSettings(),
	}
}

// node adds a node to the cluster and returns its runner.
func (cluster *testCluster) node(t *testing.T, name string) *Runner {
	t.Helper()
	o := Options{
		Self:       command.Incarnation{Node: name, Number: uint64(len(cluster.peers) + 1)},
		Settings:   cluster.settings,
		Platform:   cluster.platform,
		Dispatcher: cluster.upstream,
		Peers:      cluster.peers,
		Services:   fakeServices{},
	}
	r, err := New(o, []byte("secret of "+name), &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	if err != nil {
		t.Fatal(err)
	}
	cluster.peers[name] = r
	return r
}

func stop(t *testing.T, r *Runner) {
	t.Helper()
	if err := r.Stop(t.Context()); err != nil {
		t.Errorf("stop: %v", err)
	}
}

func request(body string) command.Request {
	return command.Request{Query: json.RawMessage(body), ShardKey: "dealer-1"}
}

func send(t *testing.T, r *Runner, key string, req command.Request) command.Result {
	t.Helper()
	result, err := r.Command(t.Context(), testService, key, req)
	if err != nil {
		t.Errorf("command: %v", err)
	}
	return result
}
