package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/entry"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// TestRepliesOfAStoppingServerCloseTheirConnections checks that replies to rejected
// requests and to requests in progress close their connections during a stop, and that
// a reply before the stop does not.
func TestRepliesOfAStoppingServerCloseTheirConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(&recorder{delay: time.Second})
		const path, body = "/v1/services/desk/query", `{"query":1}`
		if got := post(s, path, body).Header().Get("Connection"); got != "" {
			t.Errorf("connection header %q before the stop", got)
		}
		inProgress := make(chan *httptest.ResponseRecorder)
		go func() { inProgress <- post(s, path, body) }()
		synctest.Wait()
		go s.Stop(context.Background())
		synctest.Wait()
		for name, w := range map[string]*httptest.ResponseRecorder{"refused": post(s, path, body), "in progress": <-inProgress} {
			if got := w.Header().Get("Connection"); got != "close" {
				t.Errorf("%s: connection header %q", name, got)
			}
		}
	})
}

// TestStopWaitsForConnections checks that a stop waits until callers' connections
// have closed and no new ones are opened, and no longer than the grace period.
func TestStopWaitsForConnections(t *testing.T) {
	for _, test := range []struct {
		name string
		// opens and closes are the times after the start of the stop at which a connection
		// opens or closes.
		opens, closes []time.Duration
		want          time.Duration
	}{
		{"none", nil, nil, 0},
		{"closed early", []time.Duration{0}, []time.Duration{pollInterval}, quietPeriod},
		{"closed late", []time.Duration{0, 0}, []time.Duration{time.Second, time.Second}, time.Second},
		{"one stays open", []time.Duration{0, 0}, []time.Duration{time.Second}, connectionGrace},
		{"another one is opened", []time.Duration{0, 200 * time.Millisecond}, []time.Duration{0, 200 * time.Millisecond}, 200*time.Millisecond + quietPeriod},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &connections{}
				for _, at := range test.opens {
					time.AfterFunc(at, func() { c.connState(nil, http.StateNew) })
				}
				synctest.Wait()
				for _, at := range test.closes {
					time.AfterFunc(at+time.Millisecond, func() { c.connState(nil, http.StateClosed) })
				}
				start := time.Now()
				c.waitUntilQuiet(t.Context())
				if elapsed := time.Since(start); elapsed < test.want || elapsed > test.want+pollInterval {
					t.Errorf("took %s, want %s", elapsed, test.want)
				}
				time.Sleep(connectionGrace)
			})
		})
	}
}

// TestWorkIsRejectedBeforeReady checks that a node without a current catalogue rejects
// work as not run instead of replying that the service does not exist.
func TestWorkIsRejectedBeforeReady(t *testing.T) {
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

// endlessQueries answers a query only when its context ends, with the cause.
type endlessQueries struct{}

func (endlessQueries) Query(ctx context.Context, _ note.Service, _ query.Request, _ time.Time) (query.Answer, error) {
	<-ctx.Done()
	return query.Answer{}, fault.Wrap(context.Cause(ctx), fault.StepAdmit, "", "not admitted").WithStatus(http.StatusServiceUnavailable, query.NotRun)
}

// TestStopAnswersQueriesInProgress guards against a stop that ends with queries in progress, whose
// callers get no response.
func TestStopAnswersQueriesInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{MaxBodyBytes: 64, MaxDeadline: time.Minute}, oneService{}, endlessQueries{}, nil, tracing.Off())
		response := make(chan *httptest.ResponseRecorder, 1)
		go func() { response <- post(s, "/v1/services/desk/query", `{"query":1}`) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		start := time.Now()
		if n := s.Stop(ctx); n != 0 {
			t.Errorf("%d requests are cut off", n)
			return
		}
		if took := time.Since(start); took != 9*time.Second {
			t.Errorf("stopped after %v", took)
		}
		if w := <-response; w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), entry.ErrStopping.Error()) {
			t.Errorf("status %d, body %s", w.Code, w.Body)
		}
	})
}
