package server

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// FuzzCallerBody checks that the query of any body either runs exactly once, within
// the limits, or is rejected as not run with a problem document that names a field.
func FuzzCallerBody(f *testing.F) {
	for _, seed := range []string{
		`{"query":{"name":"x"},"deadline_ms":5000,"min_coverage":1,"priority":"low"}`,
		`{"query":null}`, `{"query":1}}`, `{"query":1,"query":2}`, `{"QUERY":1}`, "\xff", `[]`, `null`,
		`{"query":1,"deadline_ms":1e3}`, `{"query":1,"min_coverage":-0}`, `{"query":1,"deadline_ms":-9223372036854775808}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		queries := &recorder{}
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/v1/services/desk/query", bytes.NewReader(body))
		newTestServer(queries).ServeHTTP(w, r)
		if w.Code == http.StatusOK {
			if queries.calls != 1 || !json.Valid(body) || len(body) > 64 {
				t.Fatalf("%q was answered after %d runs", body, queries.calls)
			}
			return
		}
		var p fault.Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			t.Fatalf("%q got %q: %v", body, w.Body, err)
		}
		if queries.calls != 0 || p.Outcome != query.NotRun || p.Field == "" || w.Code < 400 || w.Code >= 500 {
			t.Fatalf("%q got %+v after %d runs", body, p, queries.calls)
		}
	})
}
