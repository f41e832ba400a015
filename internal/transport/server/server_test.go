package server

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/credentials"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

type oneService struct{}

func (oneService) Find(name string) (note.Service, bool) {
	if name == "closed" {
		return note.Service{Name: name, CallerTokens: note.TokenHashes(credentials.TokenHash("secret"))}, true
	}
	return note.Service{Name: name}, name == "desk"
}

// recorder answers queries after a delay and counts them.
type recorder struct {
	delay time.Duration
	calls int
}

func (r *recorder) Query(ctx context.Context, _ note.Service, _ query.Request, _ time.Time) (query.Answer, error) {
	r.calls++
	select {
	case <-ctx.Done():
		return query.Answer{}, ctx.Err()
	case <-time.After(r.delay):
		return query.Answer{Outcome: query.Done}, nil
	}
}

func newTestServer(queries Queries) *Server {
	cfg := Config{MaxBodyBytes: 64, MaxDeadline: 5 * time.Second}
	return New(cfg, oneService{}, queries, nil, tracing.Off())
}

func post(s *Server, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w
}

func TestInvalidRequestIsNotRun(t *testing.T) {
	const path = "/v1/services/desk/query"
	tests := []struct {
		name, path, body string
		status           int
		field            string
	}{
		{"not JSON", path, `{"query":`, 400, "body"},
		{"empty", path, ``, 400, "body"},
		{"unknown field", path, `{"query":1,"colour":"red"}`, 400, "colour"},
		{"wrong type", path, `{"query":1,"deadline_ms":"soon"}`, 400, "deadline_ms"},
		{"no query", path, `{"deadline_ms":5}`, 400, "query"},
		{"negative deadline", path, `{"query":1,"deadline_ms":-1}`, 400, "deadline_ms"},
		{"deadline above the limit", path, `{"query":1,"deadline_ms":5001}`, 400, "deadline_ms"},
		{"coverage above 1", path, `{"query":1,"min_coverage":1.1}`, 400, "min_coverage"},
		{"unknown priority", path, `{"query":1,"priority":"urgent"}`, 400, "priority"},
		{"data after the value", path, `{"query":1} {}`, 400, "body"},
		{"bracket after the value", path, `{"query":1}}`, 400, "body"},
		{"not an object", path, `[]`, 400, "body"},
		{"oversized by space after the value", path, `{"query":1}` + strings.Repeat(" ", 80), 413, "body"},
		{"no token", "/v1/services/closed/query", `{"query":1}`, 401, "Authorization"},
		{"oversized", path, `{"query":"` + strings.Repeat("x", 80) + `"}`, 413, "body"},
		{"unknown service", "/v1/services/other/query", `{"query":1}`, 404, "service"},
		{"unknown path", "/v1/other", `{}`, 404, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			queries := &recorder{}
			w := post(newTestServer(queries), test.path, test.body)
			var p fault.Problem
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
				t.Fatalf("body %q: %v", w.Body, err)
			}
			if w.Code != test.status || p.Status != test.status || p.Field != test.field || p.Outcome != query.NotRun {
				t.Errorf("status %d, problem %+v", w.Code, p)
			}
			if w.Header().Get("Content-Type") != "application/problem+json" {
				t.Errorf("content type %q", w.Header().Get("Content-Type"))
			}
			if queries.calls != 0 {
				t.Error("the query was run")
			}
		})
	}
}

func TestStopFinishesRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(&recorder{delay: time.Second})
		var slow *httptest.ResponseRecorder
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			slow = post(s, "/v1/services/desk/query", `{"query":1}`)
		}()
		synctest.Wait()
		stopped := make(chan int)
		go func() { stopped <- s.Stop(context.Background()) }()
		synctest.Wait()
		if s.Ready() == nil {
			t.Error("ready while stopping")
		}
		rejected := post(s, "/v1/services/desk/query", `{"query":1}`)
		if rejected.Code != http.StatusServiceUnavailable || rejected.Header().Get("Retry-After") == "" {
			t.Errorf("new request got %d %v", rejected.Code, rejected.Header())
		}
		if active := <-stopped; active != 0 {
			t.Errorf("%d requests still in progress", active)
		}
		<-finished
		if slow.Code != http.StatusOK {
			t.Errorf("request in progress got %d", slow.Code)
		}
	})
}

// stuckQueries never answers before release is closed, also when the context ends.
type stuckQueries struct{ release chan struct{} }

func (q stuckQueries) Query(context.Context, note.Service, query.Request, time.Time) (query.Answer, error) {
	<-q.release
	return query.Answer{Outcome: query.Done}, nil
}

func TestStopReturnsRequestsStillInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stuck := stuckQueries{make(chan struct{})}
		s := newTestServer(stuck)
		go post(s, "/v1/services/desk/query", `{"query":1}`)
		synctest.Wait()
		stopCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if active := s.Stop(stopCtx); active != 1 {
			t.Errorf("%d requests still in progress, want 1", active)
		}
		close(stuck.release)
	})
}

func TestServiceWithTokensRequiresAToken(t *testing.T) {
	for token, status := range map[string]int{"secret": http.StatusOK, "guess": http.StatusUnauthorized} {
		request := httptest.NewRequest(http.MethodPost, "/v1/services/closed/query", strings.NewReader(`{"query":1}`))
		request.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		newTestServer(&recorder{}).ServeHTTP(w, request)
		if w.Code != status {
			t.Errorf("token %q got %d, want %d", token, w.Code, status)
		}
	}
}
