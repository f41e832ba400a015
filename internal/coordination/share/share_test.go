package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
)

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 7) }

var start = time.Unix(1000, 0)

func TestConnectionShare(t *testing.T) {
	tests := []struct {
		name        string
		limit, live int
		want        Share
		wantErr     bool
	}{
		{name: "7 nodes, cap 25", limit: 25, live: 7, want: Share{Direct, 7, 3}},
		{name: "7 nodes, cap 40", limit: 40, live: 7, want: Share{Direct, 7, 4}},
		{name: "7 nodes, cap 100", limit: 100, live: 7, want: Share{Direct, 7, 12}},
		{name: "8 nodes, cap 10", limit: 10, live: 8, want: Share{Relayed, 2, 4}},
		{name: "70 nodes, cap 25", limit: 25, live: 70, want: Share{Relayed, 4, 5}},
		{name: "610 nodes, cap 25", limit: 25, live: 610, want: Share{Relayed, 4, 5}},
		{name: "610 nodes, cap 100", limit: 100, live: 610, want: Share{Relayed, 8, 10}},
		{name: "one node", limit: 25, live: 1, want: Share{Direct, 1, MaxDirectConnections}},
		{name: "two connections", limit: 2, live: 7, want: Share{Relayed, 1, 1}},
		{name: "no connection beside the reserve", limit: 1, live: 7, wantErr: true},
		{name: "no nodes", limit: 25, live: 0, wantErr: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := ConnectionShare(test.limit, test.live, Reserve(test.limit))
			if (err != nil) != test.wantErr || got != test.want {
				t.Fatalf("got %+v, %v; want %+v", got, err, test.want)
			}
		})
	}
}

// TestRelaysReconnectAfterPowerFailure guards against leafs that reset the connections
// of relays which restart after a power failure: a leaf keeps the old connections, on
// which nothing arrives any more, for seconds, and they count against its cap.
func TestRelaysReconnectAfterPowerFailure(t *testing.T) {
	for _, limit := range []int{26, 43, 62, 110, 175} {
		for _, live := range []int{12, 82, 295} {
			s, err := ConnectionShare(limit, live, Reserve(limit))
			if err != nil {
				t.Fatal(err)
			}
			each := s.RestartSafe(limit)
			if s.Mode == Relayed && 2*s.Holders*each > limit {
				t.Errorf("cap %d, %d nodes: %d relays of %d connections, and as many before the failure", limit, live, s.Holders, each)
			}
			if each < MinDirectConnections {
				t.Errorf("cap %d, %d nodes: %d connections each leave none for a retry", limit, live, each)
			}
		}
	}
}

func TestDirectShareUsesNoRelays(t *testing.T) {
	for live, want := range map[int]int{7: 3, 11: 1, 14: 1, 21: 1, 22: 0, 610: 0} {
		got, err := DirectShare(25, live, Reserve(25))
		if err != nil || got != (Share{Direct, live, want}) {
			t.Errorf("%d nodes: got %+v, %v; want %d each", live, got, err, want)
		}
	}
}

func TestShareStaysWithinCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 300).Draw(t, "cap")
		reserve := rapid.IntRange(0, limit-1).Draw(t, "reserve")
		live := rapid.IntRange(1, 1000).Draw(t, "live")
		s, err := ConnectionShare(limit, live, reserve)
		if err != nil {
			t.Fatal(err)
		}
		if s.Total() > limit-reserve || s.Holders > live || s.PerHolder < 1 {
			t.Fatalf("%+v of %d - %d among %d", s, limit, reserve, live)
		}
		if s, err = DirectShare(limit, live, reserve); err != nil || s.Total() > limit-reserve {
			t.Fatalf("direct: %+v of %d - %d among %d, %v", s, limit, reserve, live, err)
		}
	})
}

func TestWindow(t *testing.T) {
	const settleTime = 5 * time.Second
	type step struct {
		at    time.Duration
		grant int // negative: none
		want  int
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"a new node waits for the settle time", []step{{0, 3, 0}, {4 * time.Second, -1, 0}, {5 * time.Second, -1, 3}}},
		{"shrinks immediately", []step{{0, 3, 0}, {6 * time.Second, 2, 2}, {20 * time.Second, -1, 2}}},
		{"grows after the settle time", []step{{0, 3, 0}, {6 * time.Second, 4, 3}, {10 * time.Second, -1, 3}, {11 * time.Second, -1, 4}}},
		{"a temporary decrease stays in effect for the settle time", []step{{0, 3, 0}, {6 * time.Second, 1, 1}, {7 * time.Second, 3, 1}, {11 * time.Second, -1, 1}, {12 * time.Second, -1, 3}}},
		{"ownership lost and regained", []step{{0, 5, 0}, {6 * time.Second, 0, 0}, {7 * time.Second, 5, 0}, {12 * time.Second, -1, 5}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := NewWindow(start, settleTime)
			for _, s := range test.steps {
				now := start.Add(s.at)
				if s.grant >= 0 {
					w.Grant(now, s.grant)
				}
				if got := w.Allowed(now); got != s.want {
					t.Fatalf("at %v: got %d, want %d", s.at, got, s.want)
				}
			}
		})
	}
}

func TestPool(t *testing.T) {
	p := NewPool(start, 0)
	p.SetAllowed(3)
	if p.Next(start) != Open || p.Next(start) != NoAction {
		t.Fatal("want one connection, then a wait")
	}
	p.Opened()
	now := start.Add(OpenInterval)
	if p.Next(now) != Open {
		t.Fatal("want a second connection after the interval")
	}
	p.Refused(now)
	if p.Next(now.Add(OpenInterval)) != NoAction {
		t.Fatal("opened again without a delay after a refused connection")
	}
	now = now.Add(initialRefusalDelay)
	if p.Next(now) != Open {
		t.Fatal("want another attempt after the refusal delay")
	}
	p.Opened()
	p.SetAllowed(1)
	if p.Next(now) != Close {
		t.Fatal("want a connection closed when the share shrinks")
	}
	p.Closed(now)
	if p.Next(now) != NoAction || p.Held() != 1 {
		t.Fatalf("held %d, want 1", p.Held())
	}
	now = now.Add(time.Minute)
	p.Closed(now)
	if p.Next(now) != NoAction || p.Next(now.Add(OpenInterval)) != Open {
		t.Fatal("a lost connection was replaced before the leaf could have detected the loss")
	}
}
