package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// TestAnswersOfAStoppingServerEndTheirConnections holds it for refusals and for
// requests that were in progress, and that no other answer does.
func TestAnswersOfAStoppingServerEndTheirConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(&recorder{wait: time.Second})
		const path, body = "/v1/services/desk/query", `{"query":1}`
		if got := post(s, path, body).Header().Get("Connection"); got != "" {
			t.Errorf("connection header %q before the stop", got)
		}
		begun := make(chan *httptest.ResponseRecorder)
		go func() { begun <- post(s, path, body) }()
		synctest.Wait()
		go s.Stop(context.Background())
		synctest.Wait()
		for name, w := range map[string]*httptest.ResponseRecorder{"refused": post(s, path, body), "in progress": <-begun} {
			if got := w.Header().Get("Connection"); got != "close" {
				t.Errorf("%s: connection header %q", name, got)
			}
		}
	})
}

// TestConnectionsAreAwaited holds that a stop waits for callers' connections and
// no longer than the grace.
func TestConnectionsAreAwaited(t *testing.T) {
	for _, test := range []struct {
		name   string
		opened int
		closed int // after half of the grace
		want   time.Duration
	}{
		{"none", 0, 0, 0},
		{"all close", 2, 2, connectionGrace / 2},
		{"one stays", 2, 1, connectionGrace},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &connections{}
				for range test.opened {
					c.changed(nil, http.StateNew)
					c.changed(nil, http.StateActive)
					c.changed(nil, http.StateIdle)
				}
				go func() {
					time.Sleep(connectionGrace / 2)
					for range test.closed {
						c.changed(nil, http.StateClosed)
					}
				}()
				begun := time.Now()
				c.await(t.Context(), connectionGrace)
				if took := time.Since(begun); took != test.want {
					t.Errorf("took %s, want %s", took, test.want)
				}
				time.Sleep(connectionGrace)
			})
		})
	}
}

// TestWorkIsRefusedBeforeReady holds that a node that does not know what is in
// force refuses work as not run instead of denying the service.
func TestWorkIsRefusedBeforeReady(t *testing.T) {
	unready := errors.New("no catalogue known yet")
	cfg := Config{MaxBodyBytes: 64, MaxDeadline: time.Second, Ready: func() error { return unready }}
	s := New(cfg, oneService{}, &recorder{}, nil, tracing.Off())
	for _, path := range []string{"/v1/services/other/query", "/v1/services/desk/query"} {
		w := post(s, path, `{"query":1}`)
		var p fault.Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			t.Fatal(err)
		}
		if w.Code != http.StatusServiceUnavailable || p.Outcome != query.NotRun || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: %d %+v", path, w.Code, p)
		}
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/livez", nil))
	if w.Code != http.StatusOK {
		t.Errorf("livez %d before ready", w.Code)
	}
	unready = nil
	if w := post(s, "/v1/services/other/query", `{"query":1}`); w.Code != http.StatusNotFound {
		t.Errorf("unknown service got %d", w.Code)
	}
}
