package quarantine

import (
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
)

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 1) }

var start = time.Unix(1000, 0)

const (
	bad   Fingerprint = 1
	good  Fingerprint = 2
	other Fingerprint = 3
)

// step is one call of a ledger at a time after the start.
type step struct {
	at      time.Duration
	outcome Outcome // of the attempt, when ends is true
	ends    bool
	a       Attempt
	want    Decision // of Begin, when ends is false
}

func begin(at time.Duration, f Fingerprint, shard int, leaf string, want Decision) step {
	return step{at: at, a: Attempt{Fingerprint: f, Shard: shard, Leaf: leaf}, want: want}
}

func ended(at time.Duration, f Fingerprint, shard int, leaf string, outcome Outcome) step {
	return step{at: at, ends: true, outcome: outcome, a: Attempt{Fingerprint: f, Shard: shard, Leaf: leaf}}
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

func TestDecisions(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
	}{
		{"two lost leafs quarantine a request", []step{
			begin(0, bad, 0, "a", Allow), ended(5*ms, bad, 0, "a", ConnectionLost),
			begin(6*ms, bad, 0, "b", Hold), begin(40*ms, bad, 0, "b", Allow), ended(45*ms, bad, 0, "b", ConnectionLost),
			begin(time.Minute, bad, 0, "c", Refuse),
		}},
		{"two crashes of one leaf quarantine a request", []step{
			begin(0, bad, 0, "a", Allow), ended(5*ms, bad, 0, "a", ConnectionLost),
			begin(6*time.Second, bad, 0, "a", Allow), ended(6*time.Second+5*ms, bad, 0, "a", ConnectionLost),
			begin(time.Minute, bad, 0, "a", Refuse),
		}},
		{"an answer clears a suspect", []step{
			begin(0, good, 0, "a", Allow), ended(5*ms, good, 0, "a", ConnectionLost),
			begin(40*ms, good, 0, "b", Allow), ended(45*ms, good, 0, "b", Answered),
			begin(46*ms, good, 0, "c", Allow), begin(46*ms, good, 0, "d", Allow),
		}},
		{"a duplicate of an unverified request waits", []step{
			begin(0, good, 0, "a", Allow), begin(ms, good, 0, "b", Hold), begin(ms, good, 1, "b", Allow),
			ended(2*ms, good, 1, "b", Answered), begin(3*ms, good, 0, "b", Allow),
		}},
		{"a hedge of an unverified request runs beside the first attempt only", []step{
			begin(0, good, 0, "a", Allow), hedge(begin(ms, good, 0, "b", Allow)), hedge(begin(ms, good, 0, "c", Hold)),
		}},
		{"no hedge of a request with duplicates", []step{
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
		{"a suspect explains the loss of an attempt beside it", []step{
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
		{"leafs lost together are one attribution", []step{
			begin(0, good, 0, "a", Allow), begin(0, good, 1, "b", Allow), begin(0, good, 2, "c", Allow),
			ended(5*ms, good, 0, "a", ConnectionLost), ended(5*ms, good, 1, "b", ConnectionLost), ended(6*ms, good, 2, "c", ConnectionLost),
			begin(40*ms, good, 0, "d", Allow), ended(45*ms, good, 0, "d", Answered), begin(46*ms, good, 1, "e", Allow),
		}},
		{"inconclusive outcomes are not attributed", []step{
			begin(0, good, 0, "a", Allow), ended(5*ms, good, 0, "a", Inconclusive),
			begin(6*ms, good, 0, "b", Allow), ended(7*ms, good, 0, "b", Inconclusive),
			begin(8*ms, good, 0, "c", Allow),
		}},
		{"an answered request that begins to crash leafs", []step{
			begin(0, bad, 0, "a", Allow), ended(5*ms, bad, 0, "a", Answered),
			begin(1000*ms, bad, 0, "a", Allow), ended(1005*ms, bad, 0, "a", ConnectionLost),
			begin(2000*ms, bad, 0, "b", Allow), ended(2005*ms, bad, 0, "b", ConnectionLost),
			begin(3000*ms, bad, 0, "c", Allow), ended(3005*ms, bad, 0, "c", ConnectionLost),
			begin(4000*ms, bad, 0, "d", Refuse),
		}},
		{"an answered request that was lost beside others", []step{
			begin(0, good, 0, "a", Allow), ended(5*ms, good, 0, "a", Answered),
			begin(1000*ms, good, 0, "a", Allow), begin(1000*ms, good, 1, "b", Allow),
			ended(1005*ms, good, 0, "a", ConnectionLost), ended(1006*ms, good, 1, "b", ConnectionLost),
			begin(1010*ms, good, 0, "c", Allow), begin(1011*ms, good, 1, "d", Hold),
			ended(1015*ms, good, 0, "c", Answered),
			begin(1016*ms, good, 1, "d", Allow), begin(1016*ms, good, 2, "d", Allow),
			ended(1020*ms, good, 1, "d", Answered), ended(1020*ms, good, 2, "d", Answered),
			begin(2000*ms, good, 0, "d", Allow), ended(2005*ms, good, 0, "d", ConnectionLost),
			begin(2010*ms, good, 0, "e", Allow), ended(2015*ms, good, 0, "e", Answered),
			begin(2016*ms, good, 0, "f", Allow), begin(2016*ms, good, 0, "g", Allow),
		}},
		{"an attribution expires", []step{
			begin(0, good, 0, "a", Allow), ended(5*ms, good, 0, "a", ConnectionLost),
			begin(attributionTTL+time.Second, good, 0, "b", Allow), ended(attributionTTL+2*time.Second, good, 0, "b", ConnectionLost),
			begin(attributionTTL+time.Minute, good, 0, "c", Allow),
		}},
		{"a quarantine ends, the next loss quarantines at once and for longer", []step{
			begin(0, bad, 0, "a", Allow), ended(5*ms, bad, 0, "a", ConnectionLost),
			begin(40*ms, bad, 0, "b", Allow), ended(45*ms, bad, 0, "b", ConnectionLost),
			begin(quarantineTTL, bad, 0, "c", Refuse),
			begin(quarantineTTL+time.Second, bad, 0, "c", Hold),
			begin(quarantineTTL+2*time.Second, bad, 0, "c", Allow), ended(quarantineTTL+3*time.Second, bad, 0, "c", ConnectionLost),
			begin(3*quarantineTTL, bad, 0, "d", Refuse),
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New()
			started := make(map[Attempt]Attempt)
			for i, s := range c.steps {
				now := start.Add(s.at)
				if s.ends {
					l.End(now, started[s.a], s.outcome)
					continue
				}
				a := s.a
				a.StartedAt = now
				if got, _ := l.Begin(now, a); got != s.want {
					t.Fatalf("step %d: decision %d, want %d", i, got, s.want)
				}
				started[s.a] = a
			}
		})
	}
}

func TestReportsQuarantineOnPeers(t *testing.T) {
	l := New()
	l.Receive(start, Report{CrashAttributed, bad, "a"})
	l.Receive(start, Report{CrashAttributed, bad, "a"})
	if _, quarantined := l.Quarantined(start, bad); quarantined {
		t.Error("two reports of one leaf quarantined the request")
	}
	l.Receive(start, Report{CrashAttributed, bad, "b"})
	remaining, quarantined := l.Quarantined(start, bad)
	if !quarantined || remaining != quarantineTTL || l.QuarantinedCount(start) != 1 {
		t.Errorf("quarantined %v for %v, count %d", quarantined, remaining, l.QuarantinedCount(start))
	}
}

// TestRacingNodesQuarantine checks that losses of the same request on two nodes
// quarantine it, also when the report of one node arrives while the attempt of the
// other runs.
func TestRacingNodesQuarantine(t *testing.T) {
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
		if _, quarantined := l.Quarantined(start.Add(9*ms), bad); !quarantined {
			t.Errorf("node %d has not quarantined the request", i)
		}
	}
}

// TestPeerTrialExplainsLoss checks that a crash during a peer's trial is not attributed
// to a suspect that ran beside it: the quarantine of that suspect would clear the one
// that crashes leafs.
func TestPeerTrialExplainsLoss(t *testing.T) {
	l := New()
	a := Attempt{Fingerprint: good, Leaf: "b", StartedAt: start}
	l.Begin(start, a)
	l.Receive(start.Add(ms), Report{CrashAttributed, good, "a"})
	l.Receive(start.Add(ms), Report{CrashAttributed, bad, "a"})
	l.Receive(start.Add(40*ms), Report{TrialStarted, bad, "b"})
	if reports := l.End(start.Add(45*ms), a, ConnectionLost); len(reports) != 1 || reports[0].Kind != TrialEnded {
		t.Errorf("reports %v, want the end without an attribution", reports)
	}
}

// TestExplainedSuspectIsNotForgotten guards against a request that crashes leafs and is sent
// to all shards again, since a good request that was lost with the same leaf was quarantined
// first and explained its only attribution.
func TestExplainedSuspectIsNotForgotten(t *testing.T) {
	l := New()
	l.Receive(start, Report{CrashAttributed, bad, "a"})
	l.Receive(start, Report{CrashAttributed, good, "a"})
	l.Receive(start.Add(50*ms), Report{CrashAttributed, good, "b"})
	if _, quarantined := l.Quarantined(start.Add(51*ms), good); !quarantined {
		t.Fatal("the good request is not quarantined")
	}
	if !l.IsSuspect(start.Add(51*ms), bad) {
		t.Error("the request that crashes leafs is no suspect any more")
	}
}

func TestFingerprintSeparatesServiceAndBody(t *testing.T) {
	if FingerprintOf("ab", []byte("c")) == FingerprintOf("a", []byte("bc")) {
		t.Error("service and body are hashed without a separator")
	}
}

// BenchmarkBeginEnd measures one attempt of a request that no leaf has answered yet.
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

// BenchmarkBeginEndVerified measures one attempt of a request that was answered before.
func BenchmarkBeginEndVerified(b *testing.B) {
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

// BenchmarkFanOut measures one unverified request to 310 shards.
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
