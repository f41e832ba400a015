package drain

import (
	"testing"
	"time"
)

// TestRemovalAfterOutage guards against a removed leaf that is kept for longer than live leafs need
// to register again after an outage, and against the removal of one that may still do so.
func TestRemovalAfterOutage(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	failed := func(seconds float64) func(*Outage) { return func(o *Outage) { o.Failed(at(seconds)) } }
	confirmed := func(seconds float64) func(*Outage) { return func(o *Outage) { o.Confirmed(at(seconds)) } }
	tests := []struct {
		name   string
		events []func(*Outage)
		now    float64
		want   time.Duration
	}{
		{"no outage", nil, 10, 0},
		{"no outage, confirmed", []func(*Outage){confirmed(9)}, 10, 0},
		{"still away", []func(*Outage){failed(9)}, 10, 2 * time.Second},
		{"confirmed before the failure", []func(*Outage){failed(9), confirmed(8)}, 10, 2 * time.Second},
		{"just back", []func(*Outage){failed(9), confirmed(10)}, 10, 2 * time.Second},
		{"back for a second", []func(*Outage){failed(9), confirmed(9.5), confirmed(10)}, 10.5, time.Second},
		{"back for two seconds", []func(*Outage){failed(8.5), confirmed(8.5), confirmed(8.6), confirmed(10)}, 10.6, 0},
		{"away again", []func(*Outage){failed(8), confirmed(8.5), failed(10)}, 10.6, 2 * time.Second},
		{"long ago", []func(*Outage){failed(5)}, 10, 0},
	}
	for _, test := range tests {
		var o Outage
		for _, event := range test.events {
			event(&o)
		}
		if got := o.RemovalGracePeriod(at(test.now)); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
