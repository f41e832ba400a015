package reader

import (
	"testing"
	"time"
)

// TestFailures guards against a reader that gives up reading when a watch is cut off, and
// against one that goes on asking a platform that is away.
func TestFailures(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	const random = 0.999999
	type step struct {
		after    time.Duration
		served   bool
		slow     bool
		maxRetry time.Duration // 0 if the node is to be passed over
		passOver time.Duration
	}
	ms := time.Millisecond
	tests := []struct {
		name  string
		steps []step
	}{
		{"one cut", []step{{maxRetry: 50 * ms}}},
		{"cuts in series", []step{
			{maxRetry: 50 * ms}, {served: true}, {after: 10 * ms, maxRetry: 100 * ms}, {served: true}, {after: 10 * ms, maxRetry: 200 * ms},
			{served: true}, {after: 10 * ms, maxRetry: 400 * ms}, {served: true}, {after: 10 * ms, maxRetry: 400 * ms},
		}},
		{"cuts now and then", []step{{maxRetry: 50 * ms}, {served: true}, {after: 6 * time.Second, maxRetry: 50 * ms}}},
		{"refused for long", []step{
			{maxRetry: 50 * ms}, {maxRetry: 100 * ms}, {maxRetry: 200 * ms},
			{passOver: 250 * ms}, {passOver: 500 * ms}, {passOver: time.Second}, {passOver: time.Second},
			{served: true}, {maxRetry: 400 * ms},
		}},
		{"no answer", []step{{slow: true, passOver: time.Second}}},
		{"refused, then no answer", []step{{maxRetry: 50 * ms}, {slow: true, passOver: time.Second}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, now := NewFailures(), start
			for i, s := range test.steps {
				now = now.Add(s.after)
				if s.served {
					f.Served()
					continue
				}
				retryIn, passOver := f.Failed(now, !s.slow, random)
				if passOver != s.passOver || retryIn > s.maxRetry || (passOver == 0 && retryIn < s.maxRetry/2) {
					t.Errorf("step %d: retry in %v, passed over for %v; want a retry in %v or %v", i, retryIn, passOver, s.maxRetry, s.passOver)
				}
			}
		})
	}
}
