package quarantine

import (
	"slices"
	"testing"
	"time"
)

// TestPeerRefutesVerifiedRequest guards against nodes that have each seen an answer and send a
// request which crashes leafs on, since none of them believes the others.
func TestPeerRefutesVerifiedRequest(t *testing.T) {
	for name, kind := range map[string]Kind{"loss": VerifiedLost, "attribution": CrashAttributed} {
		l := New()
		a := Attempt{Fingerprint: bad, Leaf: "a", StartedAt: start}
		l.Begin(start, a)
		l.End(start.Add(ms), a, Answered)
		l.Receive(start.Add(1000*ms), Report{kind, bad, "b"})
		l.Receive(start.Add(1010*ms), Report{kind, bad, "c"}) // lost together
		if l.IsSuspect(start.Add(1011*ms), bad) {
			t.Errorf("%s: one crash at another node outweighs an answer", name)
		}
		next := Attempt{Fingerprint: bad, Leaf: "d", StartedAt: start.Add(2000 * ms)}
		l.Begin(next.StartedAt, next)
		if reports := l.End(start.Add(2005*ms), next, ConnectionLost); len(reports) != 1 || reports[0].Kind != CrashAttributed {
			t.Errorf("%s: reports %v of a loss after that at another node, want an attribution", name, reports)
		}
	}
}

// TestAnswerAfterLossIsReported guards against an answered request that becomes a suspect at a
// node which has heard of a loss and not of the answers since.
func TestAnswerAfterLossIsReported(t *testing.T) {
	l := New()
	run := func(at time.Duration, outcome Outcome) []Report {
		a := Attempt{Fingerprint: good, Leaf: "a", StartedAt: start.Add(at)}
		l.Begin(a.StartedAt, a)
		return l.End(a.StartedAt.Add(ms), a, outcome)
	}
	for i, test := range []struct {
		outcome Outcome
		want    []Report
	}{
		{Answered, nil},
		{ConnectionLost, []Report{{VerifiedLost, good, "a"}}},
		{Answered, []Report{{Cleared, good, "a"}}},
	} {
		reports := run(time.Duration(i)*time.Second*10, test.outcome)
		if !slices.Equal(reports, test.want) {
			t.Errorf("step %d: reports %v, want %v", i, reports, test.want)
		}
	}
	if reports := run(2*time.Minute, Answered); reports != nil {
		t.Errorf("reports %v of an answer without a loss before", reports)
	}
}
