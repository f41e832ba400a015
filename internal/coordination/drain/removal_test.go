package drain

import (
	"testing"
	"time"
)

// TestOutages guards against a cut watch that counts as an outage, so that a removed leaf is kept,
// and against an outage in which registrations expire that does not count as one.
func TestOutages(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	// failed is a read that failed at a time; the platform may not have served it since another.
	failed := func(since, now float64) func(*Outage) { return func(o *Outage) { o.Failed(at(since), at(now)) } }
	served := func(seconds float64) func(*Outage) { return func(o *Outage) { o.Served(at(seconds), heartbeat) } }
	confirmed := func(seconds float64) func(*Outage) { return func(o *Outage) { o.Confirmed(at(seconds), heartbeat) } }
	ended := func(seconds float64) func(*Outage) { return func(o *Outage) { o.EndedAt(at(seconds)) } }
	source := func(since float64) func(*Outage) { return func(o *Outage) { o.SourceFailed(at(since)) } }
	tests := []struct {
		name   string
		events []func(*Outage)
		now    float64
		want   time.Duration // for which a removed leaf is kept from now on
	}{
		{"nothing failed", []func(*Outage){served(9), served(10)}, 10, 0},
		{"watch cut off", []func(*Outage){served(9), failed(9.9, 9.9), served(9.91)}, 10, 0},
		{"watches cut off in series", []func(*Outage){failed(8, 8), served(8.1), failed(8.2, 8.2), failed(8.3, 8.3), served(9.3), failed(9.9, 9.9), served(10)}, 10, 0},
		{"still failing", []func(*Outage){served(8), failed(8.1, 8.1), failed(8.1, 10)}, 10, 0},
		{"refused for a heartbeat", []func(*Outage){failed(8.8, 8.8), failed(9, 9), served(10)}, 10, 2 * time.Second},
		{"refused for less", []func(*Outage){failed(8.81, 8.81), failed(9, 9), served(10)}, 10, 0},
		{"no answer for a heartbeat", []func(*Outage){served(8), failed(8, 9.9), served(10)}, 10, 2 * time.Second},
		{"back for a second", []func(*Outage){failed(7, 9), served(9.5), served(10)}, 10.5, time.Second},
		{"back for two seconds", []func(*Outage){failed(7, 8), served(8.5), served(10)}, 10.6, 0},
		{"away again for a moment", []func(*Outage){failed(7, 9), served(9.5), failed(10, 10), served(10.1)}, 10.5, time.Second},
		{"away again", []func(*Outage){failed(6, 7), served(8), failed(8.5, 9.9), served(10)}, 10.5, 1500 * time.Millisecond},
		{"others are served", []func(*Outage){failed(8, 9.9), confirmed(10)}, 10, 2 * time.Second},
		{"others were served before", []func(*Outage){failed(8, 9.9), confirmed(9)}, 10, 0},
		{"others are served for long", []func(*Outage){failed(5, 6.9), confirmed(7), failed(7, 8.9), confirmed(9.9), confirmed(10)}, 10, 2 * time.Second},
		{"others are served since the last failure", []func(*Outage){failed(4, 5.9), confirmed(6), confirmed(9.9), confirmed(10)}, 10, 1900 * time.Millisecond},
		{"others are served long after the last failure", []func(*Outage){failed(2, 3), confirmed(4), confirmed(10)}, 10, 0},
		{"this node reads again long after", []func(*Outage){failed(2, 3), failed(9.8, 9.8), confirmed(9.9), served(10)}, 10, 0},
		{"source fails, then this node is served", []func(*Outage){source(8), source(8.5), served(10)}, 10, 2 * time.Second},
		{"source fails and its copy is older", []func(*Outage){source(8), confirmed(7.9), served(10)}, 10.5, 1500 * time.Millisecond},
		{"source fails for less than a heartbeat", []func(*Outage){source(9), served(10), served(10.4)}, 10.5, 0},
		{"source fails and others are served", []func(*Outage){source(8), confirmed(9.9), served(10)}, 10, 0},
		{"seen by another node", []func(*Outage){served(9.9), ended(9)}, 10, time.Second},
		{"seen by another node long ago", []func(*Outage){failed(8.8, 8.8), served(10), ended(5)}, 10, 2 * time.Second},
	}
	for _, test := range tests {
		var o Outage
		for _, event := range test.events {
			event(&o)
		}
		if got := RemovalGracePeriod(o.Ended(), at(test.now)); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// TestLengthOfOutage checks how long an outage lasted when the platform answers again.
func TestLengthOfOutage(t *testing.T) {
	var o Outage
	o.Failed(start, start.Add(time.Second))
	if got := o.Served(start.Add(3*time.Second), time.Second); got != 3*time.Second {
		t.Errorf("the outage lasted %v, want 3 s", got)
	}
	if got := o.Served(start.Add(4*time.Second), time.Second); got != 0 {
		t.Errorf("an outage of %v without a failure", got)
	}
}

// TestFailingSince checks what a node reports to its followers: that reads have failed since
// its copy was confirmed, by its own account or that of its source.
func TestFailingSince(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var o Outage
	if got := o.FailingSince(start); !got.IsZero() {
		t.Errorf("failing since %v before any failure", got)
	}
	o.SourceFailed(at(2))
	o.Failed(at(3), at(4))
	if got := o.FailingSince(at(1)); got != at(3) {
		t.Errorf("failing since %v, want its own failure", got)
	}
	if got := o.FailingSince(at(5)); !got.IsZero() {
		t.Errorf("failing since %v, though its copy was confirmed later", got)
	}
	o.Served(at(6), time.Second)
	if got := o.FailingSince(at(1)); !got.IsZero() {
		t.Errorf("failing since %v after a read was served", got)
	}
}

// TestOutageOfOneNode guards against nodes that keep removed leafs because another one has lost its
// own way to the platform.
func TestOutageOfOneNode(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var o Outage
	o.Failed(at(1), at(1))
	o.Confirmed(at(3), time.Second)
	o.Served(at(4), time.Second)
	if o.Ended() != at(4) || !o.PlatformEnded().IsZero() {
		t.Errorf("outage ended at %v, that of the platform at %v; want one of this node alone", o.Ended(), o.PlatformEnded())
	}
	o.Failed(at(5), at(6))
	o.Served(at(7), time.Second)
	if o.PlatformEnded() != at(7) {
		t.Errorf("outage of the platform ended at %v, want %v", o.PlatformEnded(), at(7))
	}
	o.EndedAt(at(8))
	if o.Ended() != at(8) || o.PlatformEnded() != at(8) {
		t.Errorf("outage that another node has seen ended at %v, that of the platform at %v", o.Ended(), o.PlatformEnded())
	}
}
