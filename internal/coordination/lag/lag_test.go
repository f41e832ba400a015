package lag

import (
	"testing"
	"time"
)

func TestLag(t *testing.T) {
	var l Lag
	if l.Expected() != 0 {
		t.Error("delay expected before any observation")
	}
	l.Observe(8 * time.Millisecond)
	l.Observe(time.Millisecond)
	if got := l.Expected(); got < 7*time.Millisecond || got > 8*time.Millisecond {
		t.Errorf("%v expected soon after 8 ms", got)
	}
	for range 100 {
		l.Observe(time.Millisecond)
	}
	if got := l.Expected(); got != time.Millisecond {
		t.Errorf("%v expected after many of 1 ms", got)
	}
	l.Observe(time.Hour)
	if got := l.Expected(); got != maxObservation {
		t.Errorf("%v expected after a pause, want %v", got, maxObservation)
	}
	l.Observe(-time.Second)
	if got := l.Expected(); got > maxObservation || got < 0 {
		t.Errorf("%v expected after an early action", got)
	}
}
