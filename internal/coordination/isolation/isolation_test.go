package isolation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
)

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 1) }

const (
	tick = 50 * time.Millisecond
	// foundWithin is the time after the first overdue reply of a cut within which a node must
	// know of it: well within the 4 s that the users allow.
	foundWithin = maxInterval + ProbeTimeout + MinSilence + 2*tick
	// backWithin is the time after the end of a cut within which a node uses its links again.
	backWithin = isolatedInterval + 2*ProbeTimeout + 2*tick
)

// node is a model of a node, its links and its load.
type node struct {
	Detector
	now       time.Time
	lastReply time.Time
	requestAt time.Time // of the oldest request without a reply; zero without one
	dialFails int
	probeAt   time.Time // when the probe in progress ends; zero without one
	cut       bool
	probes    int
}

func newNode() *node {
	n := &node{now: time.Unix(1000, 0)}
	n.lastReply = n.now
	return n
}

// step advances the model by one tick. request says whether a request is sent; while the
// links are cut it gets no reply.
func (n *node) step(request bool) {
	n.now = n.now.Add(tick)
	if request && n.requestAt.IsZero() && !n.State().Isolated {
		n.requestAt = n.now
	}
	if !n.cut && !n.requestAt.IsZero() {
		n.requestAt = time.Time{}
		n.lastReply = n.now
		n.dialFails = 0
	}
	if !n.probeAt.IsZero() && !n.now.Before(n.probeAt) {
		n.probeAt = time.Time{}
		reached := MaxProbed
		if n.cut {
			reached = 0
		}
		n.ProbeEnded(MaxProbed, reached)
		if n.State().Isolated {
			n.requestAt = time.Time{}
		}
	}
	overdue := !n.requestAt.IsZero() && n.now.Sub(n.requestAt) > MinSilence
	if n.Observe(n.now, Observation{LastReply: n.lastReply, Overdue: overdue, FailedGroups: n.dialFails}) {
		n.probes++
		n.probeAt = n.now.Add(ProbeTimeout)
	}
}

// TestCutIsFoundAndEnds checks, for cuts of random length at random moments under random load,
// that a node knows of a cut soon after the first request that suffers from it, knows of none
// while there is none, and uses its links again soon after the cut.
func TestCutIsFoundAndEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode()
		load := rapid.Float64Range(0.01, 1).Draw(t, "requests a tick")
		for range rapid.IntRange(1, 4).Draw(t, "cuts") {
			for range rapid.IntRange(20, 100).Draw(t, "ticks before the cut") {
				n.step(rapid.Float64Range(0, 1).Draw(t, "request") < load)
				if n.State().Isolated {
					t.Fatal("isolated without a cut")
				}
			}
			n.cut = true
			var first time.Time
			for range rapid.IntRange(1, 160).Draw(t, "ticks of the cut") {
				n.step(rapid.Float64Range(0, 1).Draw(t, "request") < load)
				if first.IsZero() && !n.requestAt.IsZero() {
					first = n.requestAt
				}
				if !first.IsZero() && n.now.Sub(first) > foundWithin && !n.State().Isolated {
					t.Fatalf("not isolated %v after the first request of the cut", n.now.Sub(first))
				}
			}
			n.cut = false
			for range backWithin / tick {
				n.step(true)
			}
			if n.State() != (State{}) {
				t.Fatalf("%v after the cut: %+v", backWithin, n.State())
			}
		}
	})
}

// TestSlowLeafsAreNoCut checks that replies which are overdue because the leafs are slow never
// make a node isolated, and cost at most one probe each maxInterval.
func TestSlowLeafsAreNoCut(t *testing.T) {
	d := Detector{}
	now := time.Unix(1000, 0)
	probes := 0
	for range 10 * time.Second / tick {
		now = now.Add(tick)
		if d.Observe(now, Observation{LastReply: now.Add(-time.Second), Overdue: true}) {
			probes++
			d.ProbeEnded(MaxProbed, 1)
		}
		if d.State().Isolated {
			t.Fatal("isolated")
		}
	}
	if most := int(10*time.Second/maxInterval) + 3; probes > most {
		t.Errorf("%d probes in 10 s, want at most %d", probes, most)
	}
}

// TestStalledNodeIsNotCutOff guards against a node that did not run for a while and takes what
// it has missed meanwhile for silence of the leafs.
func TestStalledNodeIsNotCutOff(t *testing.T) {
	d := Detector{}
	now := time.Unix(1000, 0)
	d.Observe(now, Observation{LastReply: now})
	now = now.Add(3 * time.Second)
	if d.Observe(now, Observation{LastReply: now.Add(-3 * time.Second), Overdue: true}) {
		t.Error("the links are probed at once")
	}
	now = now.Add(tick)
	if d.Observe(now, Observation{LastReply: now}) {
		t.Error("the links are probed after a reply")
	}
}

// TestState checks what a node concludes from probes and from what other nodes serve.
func TestState(t *testing.T) {
	start := time.Unix(1000, 0)
	refused := Observation{LastReply: start, FailedGroups: minFailedGroups}
	silent := Observation{LastReply: start.Add(-time.Second), Overdue: true, OverdueSent: true}
	tests := []struct {
		name string
		run  func(d *Detector, at func(ms int) time.Time)
		want State
	}{
		{"dials fail to one group only", func(d *Detector, at func(int) time.Time) {
			if d.Observe(at(0), Observation{LastReply: start, FailedGroups: 1}) {
				d.ProbeEnded(4, 0)
			}
		}, State{}},
		{"one leaf is reached", func(d *Detector, at func(int) time.Time) {
			d.Observe(at(0), refused)
			d.ProbeEnded(4, 1)
		}, State{}},
		{"no leaf is known", func(d *Detector, at func(int) time.Time) {
			d.Observe(at(0), silent)
			d.ProbeEnded(0, 0)
		}, State{}},
		{"open connections live on", func(d *Detector, at func(int) time.Time) {
			d.Observe(at(0), refused)
			d.ProbeEnded(4, 0)
		}, State{Isolated: true, Since: start}},
		{"open connections carry nothing", func(d *Detector, at func(int) time.Time) {
			d.Observe(at(0), silent)
			d.ProbeEnded(4, 0)
		}, State{Isolated: true, Silent: true, Since: start}},
		{"open connections carry nothing any more", func(d *Detector, at func(int) time.Time) {
			d.Observe(at(0), refused)
			d.ProbeEnded(4, 0)
			d.Observe(at(200), Observation{LastReply: start, Overdue: true, OverdueSent: true})
		}, State{Isolated: true, Silent: true, Since: start}},
		{"requests wait for connections", func(d *Detector, at func(int) time.Time) {
			d.Observe(at(0), Observation{LastReply: start.Add(-time.Second), Overdue: true})
			d.ProbeEnded(4, 0)
		}, State{Isolated: true, Since: start}},
		{"one of four leafs is reached later", func(d *Detector, at func(int) time.Time) {
			d.Observe(at(0), refused)
			d.ProbeEnded(4, 0)
			d.Observe(at(250), refused)
			d.ProbeEnded(4, 1)
		}, State{Isolated: true, Since: start}},
		{"two of four leafs are reached later", func(d *Detector, at func(int) time.Time) {
			d.Observe(at(0), refused)
			d.ProbeEnded(4, 0)
			d.Observe(at(250), refused)
			d.ProbeEnded(4, 2)
		}, State{}},
		{"another node serves and a later probe fails", func(d *Detector, at func(int) time.Time) {
			d.Observe(at(0), refused)
			d.ProbeEnded(4, 0)
			d.ServedByPeer(at(100))
			d.Observe(at(250), refused)
			d.ProbeEnded(4, 0)
		}, State{Isolated: true, Since: start, Lasting: true, Confirmed: true}},
		{"another node serves before and while the probe runs", func(d *Detector, at func(int) time.Time) {
			d.Observe(at(0), refused)
			d.ProbeEnded(4, 0)
			d.ServedByPeer(at(100))
			d.Observe(at(250), refused)
			d.ServedByPeer(at(300))
			d.ProbeEnded(4, 0)
		}, State{Isolated: true, Since: start, Lasting: true, Confirmed: true}},
		{"another node served while the probe ran", func(d *Detector, at func(int) time.Time) {
			d.Observe(at(0), refused)
			d.ProbeEnded(4, 0)
			d.Observe(at(250), refused)
			d.ServedByPeer(at(300))
			d.ProbeEnded(4, 0)
		}, State{Isolated: true, Since: start, Lasting: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := &Detector{}
			test.run(d, func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) })
			if d.State() != test.want {
				t.Errorf("state %+v, want %+v", d.State(), test.want)
			}
		})
	}
}
