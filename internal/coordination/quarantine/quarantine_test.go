package quarantine

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random runs; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

const (
	bad   Fingerprint = 1
	good  Fingerprint = 2
	other Fingerprint = 3
)

// step is one event at a ledger, some time after the start.
type step struct {
	at   time.Duration
	end  Outcome // of the attempt, when ends is true
	ends bool
	a    Attempt
	want Decision // of Begin, when ends is false
}

func begin(at time.Duration, f Fingerprint, shard int, leaf string, want Decision) step {
	return step{at: at, a: Attempt{Fingerprint: f, Shard: shard, Leaf: leaf}, want: want}
}

func ended(at time.Duration, f Fingerprint, shard int, leaf string, end Outcome) step {
	return step{at: at, ends: true, end: end, a: Attempt{Fingerprint: f, Shard: shard, Leaf: leaf}}
}

func hedge(s step) step {
	s.a.Hedge = true
	return s
}

func canary(s step) step {
	s.a.Canary = true
	return s
}

const ms = time.Millisecond

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
	}{
		{"two lost leafs convict", []step{
			begin(0, bad, 0, "a", Allow), ended(5*ms, bad, 0, "a", ConnectionLost),
			begin(6*ms, bad, 0, "b", Hold), begin(40*ms, bad, 0, "b", Allow), ended(45*ms, bad, 0, "b", ConnectionLost),
			begin(time.Minute, bad, 0, "c", Refuse),
		}},
		{"two crashes of one leaf convict", []step{
			begin(0, bad, 0, "a", Allow), ended(5*ms, bad, 0, "a", ConnectionLost),
			begin(6*time.Second, bad, 0, "a", Allow), ended(6*time.Second+5*ms, bad, 0, "a", ConnectionLost),
			begin(time.Minute, bad, 0, "a", Refuse),
		}},
		{"an answer clears a suspect", []step{
			begin(0, good, 0, "a", Allow), ended(5*ms, good, 0, "a", ConnectionLost),
			begin(40*ms, good, 0, "b", Allow), ended(45*ms, good, 0, "b", Answered),
			begin(46*ms, good, 0, "c", Allow), begin(46*ms, good, 0, "d", Allow),
		}},
		{"a copy of an unproven request waits", []step{
			begin(0, good, 0, "a", Allow), begin(ms, good, 0, "b", Hold), begin(ms, good, 1, "b", Allow),
			ended(2*ms, good, 1, "b", Answered), begin(3*ms, good, 0, "b", Allow),
		}},
		{"a hedge of an unproven request runs beside the first only", []step{
			begin(0, good, 0, "a", Allow), hedge(begin(ms, good, 0, "b", Allow)), hedge(begin(ms, good, 0, "c", Hold)),
		}},
		{"no hedge of a request with copies", []step{
			begin(0, bad, 0, "a", Allow), begin(ms, bad, 0, "b", Hold), hedge(begin(2*ms, bad, 0, "c", Hold)),
		}},
		{"a canary holds the other shards", []step{
			canary(begin(0, good, 0, "a", Allow)), canary(begin(0, good, 1, "b", Hold)),
			canary(ended(5*ms, good, 0, "a", Answered)), canary(begin(5*ms, good, 1, "b", Allow)),
		}},
		{"a suspect waits for another suspect on its leaf", []step{
			begin(0, bad, 0, "a", Allow), begin(0, good, 0, "a", Allow),
			ended(5*ms, bad, 0, "a", ConnectionLost), ended(5*ms, good, 0, "a", ConnectionLost),
			begin(40*ms, bad, 0, "b", Allow), begin(40*ms, good, 0, "b", Hold),
			ended(45*ms, bad, 0, "b", ConnectionLost),
			begin(46*ms, good, 0, "c", Allow), begin(46*ms, bad, 0, "c", Refuse),
		}},
		{"a suspect explains the loss of what ran beside it", []step{
			begin(0, bad, 0, "a", Allow), ended(5*ms, bad, 0, "a", ConnectionLost),
			begin(40*ms, bad, 0, "b", Allow), begin(40*ms, good, 0, "b", Allow),
			ended(45*ms, good, 0, "b", ConnectionLost), ended(45*ms, bad, 0, "b", ConnectionLost),
			begin(46*ms, good, 0, "c", Allow), begin(46*ms, bad, 0, "c", Refuse),
		}},
		{"a leaf that is down explains later losses", []step{
			begin(0, bad, 0, "a", Allow), ended(5*ms, bad, 0, "a", ConnectionLost),
			begin(0, other, 0, "b", Allow), ended(6*ms, other, 0, "b", ConnectionLost),
			begin(10*ms, good, 0, "a", Allow), ended(11*ms, good, 0, "a", ConnectionLost),
			begin(12*ms, good, 0, "b", Allow), ended(13*ms, good, 0, "b", ConnectionLost),
			begin(14*ms, good, 0, "c", Allow), ended(15*ms, good, 0, "c", Answered),
		}},
		{"leafs lost together are one charge", []step{
			begin(0, good, 0, "a", Allow), begin(0, good, 1, "b", Allow), begin(0, good, 2, "c", Allow),
			ended(5*ms, good, 0, "a", ConnectionLost), ended(5*ms, good, 1, "b", ConnectionLost), ended(6*ms, good, 2, "c", ConnectionLost),
			begin(40*ms, good, 0, "d", Allow), ended(45*ms, good, 0, "d", Answered), begin(46*ms, good, 1, "e", Allow),
		}},
		{"unknown ends charge nothing", []step{
			begin(0, good, 0, "a", Allow), ended(5*ms, good, 0, "a", Inconclusive),
			begin(6*ms, good, 0, "b", Allow), ended(7*ms, good, 0, "b", Inconclusive),
			begin(8*ms, good, 0, "c", Allow),
		}},
		{"a charge is forgotten", []step{
			begin(0, good, 0, "a", Allow), ended(5*ms, good, 0, "a", ConnectionLost),
			begin(chargeTTL+time.Second, good, 0, "b", Allow), ended(chargeTTL+2*time.Second, good, 0, "b", ConnectionLost),
			begin(chargeTTL+time.Minute, good, 0, "c", Allow),
		}},
		{"a conviction ends, the next loss convicts at once and for longer", []step{
			begin(0, bad, 0, "a", Allow), ended(5*ms, bad, 0, "a", ConnectionLost),
			begin(40*ms, bad, 0, "b", Allow), ended(45*ms, bad, 0, "b", ConnectionLost),
			begin(convictionTTL, bad, 0, "c", Refuse),
			begin(convictionTTL+time.Second, bad, 0, "c", Hold),
			begin(convictionTTL+2*time.Second, bad, 0, "c", Allow), ended(convictionTTL+3*time.Second, bad, 0, "c", ConnectionLost),
			begin(3*convictionTTL, bad, 0, "d", Refuse),
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New()
			begun := make(map[Attempt]Attempt)
			for i, s := range c.steps {
				now := start.Add(s.at)
				if s.ends {
					l.End(now, begun[s.a], s.end)
					continue
				}
				a := s.a
				a.StartedAt = now
				if got, _ := l.Begin(now, a); got != s.want {
					t.Fatalf("step %d: verdict %d, want %d", i, got, s.want)
				}
				begun[s.a] = a
			}
		})
	}
}

func TestReportsConvictOnPeers(t *testing.T) {
	l := New()
	l.Receive(start, Report{CrashAttributed, bad, "a"})
	l.Receive(start, Report{CrashAttributed, bad, "a"})
	if _, refused := l.Quarantined(start, bad); refused {
		t.Error("two reports of one leaf convicted")
	}
	l.Receive(start, Report{CrashAttributed, bad, "b"})
	left, refused := l.Quarantined(start, bad)
	if !refused || left != convictionTTL || l.QuarantinedCount(start) != 1 {
		t.Errorf("refused %v for %v, size %d", refused, left, l.QuarantinedCount(start))
	}
}

// TestRacingNodesConvict holds that the losses of copies on two nodes convict,
// also when the report of one arrives while the other runs.
func TestRacingNodesConvict(t *testing.T) {
	one, two := New(), New()
	a := Attempt{Fingerprint: bad, Leaf: "a", StartedAt: start}
	b := Attempt{Fingerprint: bad, Leaf: "b", StartedAt: start}
	one.Begin(start, a)
	two.Begin(start, b)
	for _, r := range one.End(start.Add(5*ms), a, ConnectionLost) {
		two.Receive(start.Add(6*ms), r)
	}
	for _, r := range two.End(start.Add(7*ms), b, ConnectionLost) {
		one.Receive(start.Add(8*ms), r)
	}
	for i, l := range []*Ledger{one, two} {
		if _, refused := l.Quarantined(start.Add(9*ms), bad); !refused {
			t.Errorf("node %d does not refuse", i)
		}
	}
}

// TestPeersTrialExplainsLoss holds that a suspect that ran beside a peer's trial
// is not charged for it, whose conviction would clear the crashing one.
func TestPeersTrialExplainsLoss(t *testing.T) {
	l := New()
	a := Attempt{Fingerprint: good, Leaf: "b", StartedAt: start}
	l.Begin(start, a)
	l.Receive(start.Add(ms), Report{CrashAttributed, good, "a"})
	l.Receive(start.Add(ms), Report{CrashAttributed, bad, "a"})
	l.Receive(start.Add(40*ms), Report{TrialStarted, bad, "b"})
	if reports := l.End(start.Add(45*ms), a, ConnectionLost); len(reports) != 1 || reports[0].Kind != TrialEnded {
		t.Errorf("reports %v, want the end without a charge", reports)
	}
}

func TestFingerprintSeparatesServiceAndBody(t *testing.T) {
	if FingerprintOf("ab", []byte("c")) == FingerprintOf("a", []byte("bc")) {
		t.Error("service and body run together")
	}
}

// fleet runs requests through ledgers that tell each other at once.
type fleet struct {
	t       *rapid.T
	now     time.Time
	ledgers []*Ledger
	up      map[string]time.Time // when a leaf is up again
	running []flight
	crashes int
}

type flight struct {
	node int
	a    Attempt
}

// lose ends every attempt on a leaf, in a random order.
func (f *fleet) lose(leaf string) {
	f.up[leaf] = f.now.Add(500 * ms)
	var lost, rest []flight
	for _, r := range f.running {
		if r.a.Leaf == leaf {
			lost = append(lost, r)
		} else {
			rest = append(rest, r)
		}
	}
	f.running = rest
	for _, r := range rapid.Permutation(lost).Draw(f.t, "order") {
		f.end(r, ConnectionLost)
	}
}

func (f *fleet) end(r flight, end Outcome) {
	f.tell(r.node, f.ledgers[r.node].End(f.now, r.a, end))
}

func (f *fleet) tell(from int, reports []Report) {
	for _, report := range reports {
		for i, l := range f.ledgers {
			if i != from {
				l.Receive(f.now, report)
			}
		}
	}
}

// send begins an attempt of a fingerprint that a caller sends through a node.
func (f *fleet) send(fp Fingerprint, node int) Decision {
	leaf := fmt.Sprint("leaf-", rapid.IntRange(0, 5).Draw(f.t, "leaf"))
	if f.now.Before(f.up[leaf]) {
		return Hold // the connection is refused, nothing is sent
	}
	a := Attempt{Fingerprint: fp, Leaf: leaf, StartedAt: f.now, Shard: len(f.running)} // distinct: as of shards
	verdict, reports := f.ledgers[node].Begin(f.now, a)
	f.tell(node, reports)
	if verdict == Allow {
		f.running = append(f.running, flight{node, a})
	}
	return verdict
}

// finish ends one running attempt; that of the bad request crashes its leaf.
func (f *fleet) finish(i int) {
	r := f.running[i]
	if r.a.Fingerprint == bad {
		f.crashes++
		f.lose(r.a.Leaf)
		return
	}
	f.running = append(f.running[:i], f.running[i+1:]...)
	f.end(r, Answered)
}

// TestRandomOrders sends good requests, some of them again and again, through 3
// nodes, either beside one that crashes each leaf or beside a leaf that dies by
// itself: at most maxCrashes crashes, and no good request is refused. A good
// request that is lost with two leafs for unrelated reasons is not covered: it
// looks like a crashing one.
func TestRandomOrders(t *testing.T) {
	for _, crashing := range []bool{true, false} {
		t.Run(fmt.Sprintf("crashing=%v", crashing), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { randomOrder(t, crashing) })
		})
	}
}

func randomOrder(t *rapid.T, crashing bool) {
	f := &fleet{t: t, now: start, up: make(map[string]time.Time)}
	for range 3 {
		f.ledgers = append(f.ledgers, New())
	}
	newest := Fingerprint(100)
	died := false
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * ms)
		node := rapid.IntRange(0, 2).Draw(t, "node")
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0, 1:
			if crashing && !f.isRunning(bad) {
				f.send(bad, node)
			}
		case 2, 3, 4:
			fp := Fingerprint(rapid.Uint64Range(101, uint64(newest)+1).Draw(t, "good"))
			newest = max(newest, fp)
			if f.send(fp, node) == Refuse {
				t.Fatal("a good request was refused")
			}
		case 5:
			if !crashing && !died {
				died = true
				f.lose(fmt.Sprint("leaf-", rapid.IntRange(0, 5).Draw(t, "dies")))
			}
		default:
			if len(f.running) > 0 {
				f.finish(rapid.IntRange(0, len(f.running)-1).Draw(t, "finished"))
			}
		}
		if f.crashes > maxCrashes {
			t.Fatalf("%d crashes", f.crashes)
		}
	}
}

func (f *fleet) isRunning(fp Fingerprint) bool {
	for _, r := range f.running {
		if r.a.Fingerprint == fp {
			return true
		}
	}
	return false
}

// BenchmarkBeginEnd is one attempt of a request that no leaf has answered yet.
func BenchmarkBeginEnd(b *testing.B) {
	l := New()
	f := Fingerprint(0)
	b.ReportAllocs()
	for b.Loop() {
		f++
		a := Attempt{Fingerprint: f, Leaf: "a", StartedAt: start}
		l.Begin(start, a)
		l.End(start, a, Answered)
	}
}

// BenchmarkBeginEndProven is one attempt of a request that was answered before.
func BenchmarkBeginEndProven(b *testing.B) {
	l := New()
	a := Attempt{Fingerprint: good, Leaf: "a", StartedAt: start}
	l.Begin(start, a)
	l.End(start, a, Answered)
	b.ReportAllocs()
	for b.Loop() {
		l.Begin(start, a)
		l.End(start, a, Answered)
	}
}

// BenchmarkFanOut is one unproven request to 310 shards.
func BenchmarkFanOut(b *testing.B) {
	const shards = 310
	l := New()
	f := Fingerprint(0)
	attempts := make([]Attempt, shards)
	b.ReportAllocs()
	for b.Loop() {
		f++
		for i := range attempts {
			attempts[i] = Attempt{Fingerprint: f, Shard: i, Leaf: "a", StartedAt: start}
			l.Begin(start, attempts[i])
		}
		for _, a := range attempts {
			l.End(start, a, Answered)
		}
	}
}
