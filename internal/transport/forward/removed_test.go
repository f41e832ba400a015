package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

// TestLeafGoneDuringACall holds that a call that outlives its leaf's registration
// does not touch what is measured of a leaf that takes the identifier again.
func TestLeafGoneDuringACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := route.Route{Timeout: 600 * ms, Idempotent: true, Groups: []route.Share{{Group: "g", Weight: 1}}}
		r := newRig(t, rt, map[string]behaviour{"g/1": replyingAfter(100 * ms)})
		go func() {
			time.Sleep(50 * ms)
			r.groups.Remove("g/1")
		}()
		if answer, _ := r.do(t.Context(), http.MethodGet, "/x"); answer.Code != http.StatusOK {
			t.Errorf("status %d", answer.Code)
		}
		stats := r.groups.Put(route.Leaf{VM: platform.VM{ID: "g/1", Group: "g"}, Incarnation: 2}).Stats()
		if stats.InFlight != 0 || stats.Latency != 0 {
			t.Errorf("the new leaf begins with %d in flight and a latency of %v", stats.InFlight, stats.Latency)
		}
	})
}
