package experiment

import (
	"bytes"
	"math"
	"os"
	"strings"
	"testing"
)

const capacityPage = "../../docs/CAPACITY.md"

func pageSlopes(t *testing.T) ([]byte, []Slope) {
	t.Helper()
	page, err := os.ReadFile(capacityPage)
	if err != nil {
		t.Fatal(err)
	}
	slopes, err := ParseSlopes(bytes.NewReader(page))
	if err != nil {
		t.Fatal(err)
	}
	return page, slopes
}

// TestCapacityPageFollowsFromItsMeasurements renders the page again from the
// measurements on it, so that no figure is edited by hand or stale after a change of
// the model.
func TestCapacityPageFollowsFromItsMeasurements(t *testing.T) {
	page, slopes := pageSlopes(t)
	var rendered bytes.Buffer
	if err := RenderCapacity(&rendered, slopes); err != nil {
		t.Fatal(err)
	}
	want := strings.Split(rendered.String(), "\n")
	got := strings.Split(string(page), "\n")
	for i, line := range got {
		if i >= len(want) || line != want[i] {
			t.Fatalf("line %d of docs/CAPACITY.md does not follow from its measurements:\n%s", i+1, line)
		}
	}
	if len(got) != len(want) {
		t.Fatalf("docs/CAPACITY.md has %d lines, want %d", len(got), len(want))
	}
}

// TestCapacityArithmetic compares the model with figures that were calculated by hand.
func TestCapacityArithmetic(t *testing.T) {
	var slopes []Slope
	for _, source := range slopeSources() {
		slopes = append(slopes, Slope{Name: source.name, PerUnit: 100, Intercept: 10})
	}
	c, err := newCapacity(slopes)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name      string
		got, want float64
	}{
		{"subrequests of a node", c.nodeSubrequests(), 55_901.6},
		{"subrequests at a leaf", c.leafSubrequests(), 11_758.6},
		{"batches of a query", c.batchesPerQuery(), 61.2517},
		{"leafs of a relay", c.nodePlaces(), 19.0164},
		{"cores for requests to leafs", c.leafCores(), 5.59016},
		{"cores for the hop", c.hopCores(), 5.70062},
		{"microseconds in a slot", c.slotMicros(2), 170.088},
		{"milliseconds on a connection", c.longestExchange(20, 1), 1.70088},
		{"gathered in a millisecond", c.gathered(1), 2.93966},
		{"one assignment", c.assignMicros(), 61_010},
		{"members that join or leave", c.memberChanges(), 2428},
		{"load that breaks 16 cores", c.breaksAt(16, false), 110_000 * 11.2 / c.totalCores(false)},
	}
	for _, test := range tests {
		if math.Abs(test.got-test.want) > 1e-4*test.want {
			t.Errorf("%s: %v, want %v", test.name, test.got, test.want)
		}
	}
}

func TestCapacityNeedsEverySlope(t *testing.T) {
	_, slopes := pageSlopes(t)
	if err := RenderCapacity(&bytes.Buffer{}, slopes[1:]); err == nil {
		t.Fatal("a page without one of its measurements was rendered")
	}
}

func TestFit(t *testing.T) {
	var points []point
	for _, x := range []float64{1, 2, 4, 8} {
		points = append(points, point{x, 3 + 2*x - 0.1}, point{x, 3 + 2*x + 0.1})
	}
	s, err := fit("line", "µs", "thing", points)
	if err != nil {
		t.Fatal(err)
	}
	// The residuals are 0.1 at each of 8 points; the sizes have a variance of 7.1875.
	spread := 0.1 * math.Sqrt(8.0/6)
	if math.Abs(s.PerUnit-2) > 1e-9 || math.Abs(s.Intercept-3) > 1e-9 || math.Abs(s.PerUnitError-spread/math.Sqrt(8*7.1875)) > 1e-9 {
		t.Fatalf("got %+v", s)
	}
	if _, err := fit("line", "µs", "thing", points[:6]); err == nil {
		t.Fatal("a line through three sizes was accepted")
	}
}
