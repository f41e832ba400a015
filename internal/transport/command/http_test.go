package command

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/gin-gonic/gin"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// router serves the routes of a node.
func router(r *Runner) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	NewHandler(r, tracing.Off()).Mount(engine)
	return engine
}

// reply holds the members of answers and problem documents that the tests check.
type reply struct {
	Outcome  query.Outcome
	Status   int
	Field    string
	Step     string
	Ticket   string
	Recorded bool
}

func call(t *testing.T, h http.Handler, path, key, body string) (*httptest.ResponseRecorder, reply) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set(command.HeaderKey, key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var parsed reply
	if err := json.Unmarshal(w.Body.Bytes(), &parsed); err != nil {
		t.Fatalf("%v in %s", err, w.Body)
	}
	return w, parsed
}

func TestBadInput(t *testing.T) {
	const path, good = "/v1/services/complaints/command", `{"query":1,"shard_key":"d"}`
	cases := []struct {
		name, path, key, body string
		status                int
		field                 string
	}{
		{"no key", path, "", good, 400, command.HeaderKey},
		{"key too long", path, strings.Repeat("k", 129), good, 400, command.HeaderKey},
		{"key with a space", path, "a b", good, 400, command.HeaderKey},
		{"broken ticket", path, "hdt1.x", good, 400, command.HeaderKey},
		{"unknown service", "/v1/services/other/command", "k", good, 404, "service"},
		{"wrong JSON", path, "k", `{`, 400, "body"},
		{"unknown field", path, "k", `{"query":1,"shard_key":"d","x":1}`, 400, "x"},
		{"no query", path, "k", `{"shard_key":"d"}`, 400, "query"},
		{"no shard key", path, "k", `{"query":1}`, 400, "shard_key"},
		{"long shard key", path, "k", `{"query":1,"shard_key":"` + strings.Repeat("d", 257) + `"}`, 400, "shard_key"},
		{"deadline", path, "k", `{"query":1,"shard_key":"d","deadline_ms":60001}`, 400, "deadline_ms"},
		{"priority", path, "k", `{"query":1,"shard_key":"d","priority":"x"}`, 400, "priority"},
		{"too large", path, "k", `{"query":"` + strings.Repeat("x", 65<<10) + `","shard_key":"d"}`, 413, "body"},
		{"ticket of unknown service", "/v1/tickets", "", `{"service":"other"}`, 404, "service"},
		{"no token", "/v1/services/closed/command", "k", good, 401, "Authorization"},
		{"ticket without a token", "/v1/tickets", "", `{"service":"closed"}`, 401, "Authorization"},
		{"ticket without body", "/v1/tickets", "", ``, 400, "body"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster()
				one := cluster.node(t, "one")
				defer stop(t, one)
				_, got := call(t, router(one), c.path, c.key, c.body)
				if got.Status != c.status || got.Field != c.field || got.Outcome != query.NotRun {
					t.Errorf("got %+v", got)
				}
				if cluster.upstream.runCount() != 0 || cluster.platform.writes() != 0 {
					t.Error("a request was sent to the platform or a leaf")
				}
			})
		})
	}
}

// TestOutcomesOverHTTP checks status, outcome and Retry-After of each outcome.
func TestOutcomesOverHTTP(t *testing.T) {
	const notRun, lost = command.DispatchNotRun, command.DispatchLost
	first := `{"query":1,"shard_key":"d","first_send":true}`
	cases := []struct {
		name       string
		prepare    func(cluster *testCluster)
		body       string
		status     int
		outcome    query.Outcome
		retryAfter string
		step       string
	}{
		{"done", func(*testCluster) {}, first, 200, query.Done, "", ""},
		{"reply lost", func(cluster *testCluster) { cluster.upstream.next = []command.DispatchKind{lost} }, first, 504, query.Unknown, "", "reply"},
		{"refused", func(cluster *testCluster) { cluster.upstream.next = []command.DispatchKind{notRun, notRun, notRun} }, first, 503, query.NotRun, "1", "relay"},
		{"platform down", func(cluster *testCluster) { cluster.platform.defaultBehaviour = unavailable }, first, 503, query.NotRun, "1", "platform"},
		{"platform down, not the first send", func(cluster *testCluster) { cluster.platform.defaultBehaviour = unavailable }, `{"query":1,"shard_key":"d"}`, 504, query.Unknown, "1", "platform"},
		{"no shard map", func(cluster *testCluster) { cluster.upstream.noShardMap = true }, first, 503, query.NotRun, "1", "plan"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster()
				c.prepare(cluster)
				one := cluster.node(t, "one")
				defer func() { cluster.platform.setDefault(succeeds); stop(t, one) }()
				w, got := call(t, router(one), "/v1/services/complaints/command", "k", c.body)
				if w.Code != c.status || got.Outcome != c.outcome || got.Step != c.step {
					t.Errorf("status %d, %+v", w.Code, got)
				}
				if header := w.Header().Get("Retry-After"); header != c.retryAfter {
					t.Errorf("Retry-After %q", header)
				}
			})
		})
	}
}

var (
	example  = regexp.MustCompile("(?s)```sh\n(.*?)```\n\n```json\n(.*?)```")
	argument = regexp.MustCompile(`'([^']*)'|"([^"]*)"|(\S+)`)
)

// TestDocumentedExamples runs the curl lines of docs/CALLERS.md in their order
// and compares the members that the page shows.
func TestDocumentedExamples(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	examples := example.FindAllStringSubmatch(string(page), -1)
	if len(examples) != 5 {
		t.Fatalf("%d examples found, want 5", len(examples))
	}
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		one := cluster.node(t, "one")
		defer stop(t, one)
		h := router(one)
		ticket := ""
		for _, e := range examples {
			path, key, body := parseCurl(t, e[1])
			_, got := call(t, h, path, strings.ReplaceAll(key, "$TICKET", ticket), body)
			if got.Ticket != "" {
				ticket = got.Ticket
				got.Ticket = command.TicketPrefix
			}
			var want reply
			if err := json.Unmarshal([]byte(e[2]), &want); err != nil {
				t.Fatal(err)
			}
			got.Field, got.Step = want.Field, want.Step
			if got != want {
				t.Errorf("%s\ngot %+v, want %+v", e[1], got, want)
			}
		}
	})
}

// parseCurl reads the options that the page uses: -s, -X POST, -H and -d.
func parseCurl(t *testing.T, line string) (path, key, body string) {
	t.Helper()
	words := argument.FindAllStringSubmatch(strings.ReplaceAll(line, "\\\n", " "), -1)
	text := func(i int) string { return words[i][1] + words[i][2] + words[i][3] }
	for i := 1; i < len(words); i++ {
		switch word := text(i); {
		case word == "-s":
		case word == "-X":
			i++
		case word == "-H":
			i++
			key = strings.TrimPrefix(text(i), command.HeaderKey+": ")
		case word == "-d":
			i++
			body = text(i)
		case strings.HasPrefix(word, "$URL"):
			path = strings.TrimPrefix(word, "$URL")
		default:
			t.Fatalf("curl option %q is not read by this test", word)
		}
	}
	return path, key, body
}
