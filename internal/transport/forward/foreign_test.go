package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// failingFor is a leaf that answers each request with the failure of request id.
func failingFor(id string, result subrequest.Result) behaviour {
	return func(call *leafwire.Call) (time.Duration, leafwire.Reply) {
		header := http.Header{"Id": {id}, "Receipt": {"run-" + id}}
		return 5 * ms, leafwire.Reply{Result: result, Sent: true, Status: 500, Header: header, Body: []byte("failure of " + id), Receipt: "run-" + id, Err: leafwire.ErrRequestIDMismatch}
	}
}

// TestFailureOfAnotherRequest guards against the failure of one request that the caller of another
// one gets, from a leaf directly or through a node, of this or an earlier release.
func TestFailureOfAnotherRequest(t *testing.T) {
	tests := []struct {
		name  string
		leafs map[string]behaviour
		cut   bool
		want  int
	}{
		{"of the leaf for this request", map[string]behaviour{"a/1": failingFor("q1", subrequest.UpstreamError)}, false, 500},
		{"through a node, for this request", map[string]behaviour{"a/1": failingFor("q1", subrequest.UpstreamError)}, true, 500},
		{"late copy", map[string]behaviour{"a/1": failingFor("q0", subrequest.BadReply)}, false, 502},
		{"late copy at another node", map[string]behaviour{"a/1": failingFor("q0", subrequest.BadReply)}, true, 502},
		{"late copy that an earlier release passes on", map[string]behaviour{"a/1": failingFor("q0", subrequest.UpstreamError)}, true, 502},
	}
	for _, test := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(test.name+", "+method, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					entry, _, _ := fleet(t, singleRoute(method == http.MethodGet), test.leafs, "x")
					if test.cut {
						entry.Links = cutLinks()
					}
					response, _ := entry.do(t.Context(), method, "/x")
					if response.Code != test.want {
						t.Errorf("status %d, want %d", response.Code, test.want)
					}
					if own := test.want == 500; (response.Header().Get("Receipt") != "") != own || (response.Body.Len() > 0) != own {
						t.Errorf("headers %v, body %q", response.Header(), response.Body)
					}
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// TestImpossibleStatusThroughNode guards against a reply with a status that HTTP lacks, which a
// node of an earlier release passes on: the caller must get nothing of it.
func TestImpossibleStatusThroughNode(t *testing.T) {
	for _, status := range []int{0, 99, 101, 999} {
		synctest.Test(t, func(t *testing.T) {
			impossible := func(call *leafwire.Call) (time.Duration, leafwire.Reply) {
				after, reply := failingFor("q1", subrequest.UpstreamError)(call)
				reply.Status = status
				return after, reply
			}
			entry, _, _ := fleet(t, singleRoute(false), map[string]behaviour{"a/1": impossible}, "x")
			entry.Links = cutLinks()
			response, _ := entry.do(t.Context(), http.MethodPost, "/x")
			if response.Code != http.StatusBadGateway || response.Header().Get("Receipt") != "" || response.Body.Len() > 0 {
				t.Errorf("status %d from %d, headers %v, body %q", response.Code, status, response.Header(), response.Body)
			}
			time.Sleep(time.Second)
		})
	}
}
