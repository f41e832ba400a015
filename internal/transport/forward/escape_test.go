package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/routing"
)

// TestEscapedSlashSeparatesNoSegments guards against a request that the service of another route
// runs, since its path was matched decoded while the leaf receives it as it was sent.
func TestEscapedSlashSeparatesNoSegments(t *testing.T) {
	routeTo := func(prefix, group string) route.Route {
		return route.Route{Name: group, Host: "h", Prefix: prefix, Timeout: time.Second, MaxAttempts: 1, Groups: []route.Share{{Group: group, Weight: 1}}}
	}
	table := route.Table{Version: 2, Routes: []route.Route{routeTo("/desk/", "desk"), routeTo("/desk/look/", "look"), routeTo("/a%2Fb/", "escaped")}}
	tests := []struct{ path, group string }{
		{"/desk/look/1", "look"},
		{"/desk/look%2F1", "desk"},
		{"/desk/look%2f1?x=%2F", "desk"},
		{"/desk%2Flook/1", ""},
		{"/desk/lo%6Fk/1", "desk"},
		{"/a%2Fb/1", "escaped"},
		{"/a/b/1", ""},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leafs := map[string]behaviour{"desk/1": silent, "look/1": silent, "escaped/1": silent}
				want := http.StatusNotFound
				if test.group != "" {
					leafs[test.group+"/1"] = replyingAfter(ms)
					want = http.StatusOK
				}
				r := newRig(t, route.Route{Timeout: time.Second, MaxAttempts: 1, Groups: []route.Share{{Group: "desk", Weight: 1}}}, leafs)
				r.routing.Put(routing.NewIndex(table, func(_ *route.Route, err error) { t.Fatal(err) }))
				if response, _ := r.do(t.Context(), http.MethodPost, test.path); response.Code != want {
					t.Errorf("status %d, want %d from %q", response.Code, want, test.group)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}
