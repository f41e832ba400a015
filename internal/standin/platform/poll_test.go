package platform

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// TestPollLosesNoChange guards against a poll that ends without a change and names a version
// beyond one that was made just as its wait ended, which its caller then never receives.
func TestPollLosesNoChange(t *testing.T) {
	const wait = time.Second
	for range 500 {
		synctest.Test(t, func(t *testing.T) {
			p := New(Options{Seed: 1})
			go func() {
				time.Sleep(wait)
				if err := p.Set(platform.KindRouting, "r", json.RawMessage("1")); err != nil {
					t.Error(err)
				}
			}()
			var from uint64
			for received := 0; received == 0; {
				events, next, err := p.Poll(t.Context(), platform.KindRouting, from, wait)
				if err != nil {
					t.Fatal(err)
				}
				received += len(events)
				if next > from && len(events) == 0 {
					t.Fatalf("a poll without a change leads to version %d", next)
				}
				from = next
			}
		})
	}
}
