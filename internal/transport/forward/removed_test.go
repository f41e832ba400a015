package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

// TestLeafRemovedDuringCall checks that a call that ends after its leaf was removed does not
// change the statistics of a new leaf with the same ID.
func TestLeafRemovedDuringCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := route.Route{Timeout: 600 * ms, Idempotent: true, Groups: []route.Share{{Group: "g", Weight: 1}}}
		r := newRig(t, rt, map[string]behaviour{"g/1": replyingAfter(100 * ms)})
		go func() {
			time.Sleep(50 * ms)
			r.groups.Remove("g/1")
		}()
		if response, _ := r.do(t.Context(), http.MethodGet, "/x"); response.Code != http.StatusOK {
			t.Errorf("status %d", response.Code)
		}
		stats := r.groups.Put(route.Leaf{VM: platform.VM{ID: "g/1", Group: "g"}, Incarnation: 2}, nil).Stats()
		if stats.InFlight != 0 || stats.Latency != 0 {
			t.Errorf("the new leaf starts with %d in flight and a latency of %v", stats.InFlight, stats.Latency)
		}
	})
}
