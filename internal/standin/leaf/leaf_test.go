package leaf

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var snapshot = query.Snapshot{Generation: 3, Version: 7}

func options() Options {
	return Options{
		ID:       "leaf-1",
		Seed:     1,
		Slots:    1,
		Holdings: []upstream.Holding{{Service: "licence-desk", Snapshot: snapshot, ShardCount: 4, Shards: []int{0, 2}}},
	}
}

func subrequest(id string) upstream.Subrequest {
	return upstream.Subrequest{
		RequestID: id, Attempt: 2, Service: "licence-desk", Shard: 2,
		Snapshot: snapshot, Class: upstream.ClassQuery,
	}
}

func request(ctx context.Context, sub upstream.Subrequest, timeLeft time.Duration, body string) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, upstream.RunPath(sub.Shard), strings.NewReader(body))
	sub.SetHeaders(r.Header, timeLeft)
	return r
}

// run calls the leaf's handler and reports whether it aborted the connection.
func run(l *Leaf, r *http.Request) (reply *httptest.ResponseRecorder, aborted bool) {
	reply = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			aborted = true
		}
	}()
	l.ServeHTTP(reply, r)
	return reply, false
}

func TestContract(t *testing.T) {
	otherShard := subrequest("r")
	otherShard.Shard = 1
	newerSnapshot := subrequest("r")
	newerSnapshot.Snapshot.Version = 8
	cases := []struct {
		name     string
		prepare  func(*Leaf)
		sub      upstream.Subrequest
		timeLeft time.Duration
		status   int
		notRun   bool
		draining bool
		runs     int
	}{
		{"runs", nil, subrequest("r"), time.Second, 200, false, false, 1},
		{"shard not held", nil, otherShard, time.Second, 410, false, false, 0},
		{"snapshot not held", nil, newerSnapshot, time.Second, 410, false, false, 0},
		{"expired", nil, subrequest("r"), 0, 503, true, false, 0},
		{"draining", func(l *Leaf) { l.SetDraining(true) }, subrequest("r"), time.Second, 503, true, true, 0},
		{"manifest override changes no reply", func(l *Leaf) { l.SetManifestHoldings([]upstream.Holding{}) }, subrequest("r"), time.Second, 200, false, false, 1},
		{"withdrawn", func(l *Leaf) { l.SetHoldings(nil) }, subrequest("r"), time.Second, 410, false, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(options())
			if c.prepare != nil {
				c.prepare(l)
			}
			reply, aborted := run(l, request(t.Context(), c.sub, c.timeLeft, `{"query":{"echo":"x"}}`))
			if aborted || reply.Code != c.status {
				t.Fatalf("status %d, aborted %v; want %d", reply.Code, aborted, c.status)
			}
			if err := c.sub.VerifyReply(reply.Header(), reply.Body.Bytes()); err != nil {
				t.Errorf("reply headers: %v", err)
			}
			if got := upstream.IsNotRun(reply.Code, reply.Header()); got != c.notRun {
				t.Errorf("replied not run: %v", got)
			}
			if got := reply.Header().Get(upstream.HeaderDraining) == "1"; got != c.draining {
				t.Errorf("draining header: %v", got)
			}
			if got := len(l.Runs("r")); got != c.runs || l.RunCount() != c.runs || l.Running() != 0 {
				t.Errorf("%d runs recorded, %d counted, %d running; want %d", got, l.RunCount(), l.Running(), c.runs)
			}
			if c.status == http.StatusGone {
				checkManifest(t, reply.Body.Bytes())
			}
		})
	}
}

func checkManifest(t *testing.T, body []byte) {
	t.Helper()
	var m upstream.Manifest
	if err := json.Unmarshal(body, &m); err != nil || m.Leaf != "leaf-1" {
		t.Errorf("410 body is not a manifest: %v %s", err, body)
	}
}

func TestReplyItemsAreDeterministic(t *testing.T) {
	l := New(options())
	sub := subrequest("r")
	reply, _ := run(l, request(t.Context(), sub, time.Second, `{"query":{"echo":"caller 9"}}`))
	var got upstream.RunReply
	if err := json.Unmarshal(reply.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := Items(sub.Service, sub.Shard, sub.Snapshot, DefaultItems, json.RawMessage(`"caller 9"`))
	if fmt.Sprintf("%s", got.Items) != fmt.Sprintf("%s", want) {
		t.Errorf("items %s, want %s", got.Items, want)
	}
	prefix := `{"id":"licence-desk-2-0","shard":2,"generation":3,"version":7,"score":0.`
	if !strings.HasPrefix(string(got.Items[0]), prefix) || !strings.HasSuffix(string(got.Items[0]), `"amount":1,"echo":"caller 9"}`) {
		t.Errorf("first item is %s", got.Items[0])
	}
}

func TestManifestOverrides(t *testing.T) {
	l := New(options())
	l.SetManifestHoldings([]upstream.Holding{{Service: "other"}})
	l.SetManifestLoad(0.25)
	reply, _ := run(l, httptest.NewRequest(http.MethodGet, upstream.PathManifest, nil))
	var m upstream.Manifest
	if err := json.Unmarshal(reply.Body.Bytes(), &m); err != nil {
		t.Fatal(err)
	}
	if m.Load != 0.25 || len(m.Holdings) != 1 || m.Holdings[0].Service != "other" {
		t.Errorf("manifest %+v", m)
	}
}

// TestSlotsAndQueue fills the only slot and the queue and checks that a further
// subrequest is shed, that a disconnected caller frees its slot at once and that
// a run ends when its time left has elapsed.
func TestSlotsAndQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := options()
		o.QueueLength = 1
		o.ServiceTime.Median = time.Hour
		l := New(o)
		slotCaller, disconnect := context.WithCancel(t.Context())
		results := make(chan string, 2)
		call := func(ctx context.Context, id string, timeLeft time.Duration) {
			reply, aborted := run(l, request(ctx, subrequest(id), timeLeft, `{}`))
			results <- fmt.Sprint(id, " ", reply.Code, " ", aborted)
		}
		go call(slotCaller, "first", 2*time.Hour)
		synctest.Wait()
		go call(t.Context(), "second", time.Minute)
		synctest.Wait()
		shed, _ := run(l, request(t.Context(), subrequest("third"), time.Minute, `{}`))
		if !upstream.IsNotRun(shed.Code, shed.Header()) || l.ShedCount() != 1 {
			t.Errorf("third got %d", shed.Code)
		}
		disconnect()
		synctest.Wait()
		if got := <-results; got != "first 200 true" {
			t.Errorf("disconnected caller: %s", got)
		}
		if runs := l.Runs("first"); len(runs) != 1 || !runs[0].Cancelled || runs[0].Replied {
			t.Errorf("first is recorded as %+v", runs)
		}
		if l.Running() != 1 || len(l.Runs("second")) != 1 {
			t.Error("the queued subrequest did not get the freed slot at once")
		}
		if got := <-results; got != "second 504 false" {
			t.Errorf("run that exceeds its time left: %s", got)
		}
	})
}

func TestExpiresInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := options()
		o.ServiceTime.Median = time.Hour
		l := New(o)
		slotCaller, disconnect := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			run(l, request(slotCaller, subrequest("holder"), 2*time.Hour, `{}`))
		}()
		synctest.Wait()
		reply, _ := run(l, request(t.Context(), subrequest("late"), time.Second, `{}`))
		if !upstream.IsNotRun(reply.Code, reply.Header()) || len(l.Runs("late")) != 0 {
			t.Errorf("expired in the queue: %d, runs %v", reply.Code, l.Runs("late"))
		}
		disconnect()
		<-done
	})
}

func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := options()
		o.ServiceTime.Median = time.Millisecond
		o.ColdStart = 10 * time.Second
		o.ColdStartFactor = 5
		l := New(o)
		for _, want := range []time.Duration{5 * time.Millisecond, 3 * time.Millisecond, time.Millisecond} {
			if got := l.sampleRun().delay.Round(time.Millisecond); got != want {
				t.Errorf("after %s: %s, want %s", time.Since(l.started), got, want)
			}
			time.Sleep(5 * time.Second)
		}
	})
}

func TestSameSeedSameSamples(t *testing.T) {
	o := options()
	o.ServiceTime = ServiceTime{Median: time.Millisecond, Sigma: 0.5, StragglerShare: 0.3, StragglerFactor: 10}
	a, b := New(o), New(o)
	for range 100 {
		if x, y := a.sampleRun(), b.sampleRun(); x != y {
			t.Fatalf("%v and %v", x, y)
		}
	}
}

// start serves a leaf on loopback until the test ends.
func start(t *testing.T, o Options) (*Leaf, string, *http.Client) {
	t.Helper()
	l := New(o)
	address, err := l.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		l.Close()
	})
	return l, address, client
}

func post(client *http.Client, address string, sub upstream.Subrequest, body string) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+upstream.RunPath(sub.Shard), bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	sub.SetHeaders(r.Header, time.Minute)
	reply, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer reply.Body.Close()
	_, err = io.Copy(io.Discard, reply.Body)
	return reply.StatusCode, err
}

func TestConnectionCap(t *testing.T) {
	o := options()
	o.ConnectionCap = 1
	l, address, client := start(t, o)
	if status, err := post(client, address, subrequest("a"), `{}`); status != http.StatusOK || err != nil {
		t.Fatal(status, err)
	}
	extra, err := net.Dial("tcp", address)
	if err == nil {
		defer extra.Close()
		_, err = extra.Read(make([]byte, 1))
	}
	if err == nil || l.ConnectionsRefused() != 1 || l.PeakConnections() != 1 || l.ConnectionsOpened() != 1 {
		t.Errorf("connection above the cap: error %v, %d refused", err, l.ConnectionsRefused())
	}
	client.CloseIdleConnections()
	for l.Connections() > 0 {
		time.Sleep(time.Millisecond)
	}
	if status, err := post(client, address, subrequest("b"), `{}`); status != http.StatusOK || err != nil {
		t.Errorf("after the first connection closed: %d %v", status, err)
	}
}

func TestLostReply(t *testing.T) {
	l, address, client := start(t, options())
	l.SetLostReplyShare(1)
	if _, err := post(client, address, subrequest("a"), `{}`); err == nil {
		t.Error("a reply arrived")
	}
	if runs := l.Runs("a"); len(runs) != 1 || runs[0].Replied || runs[0].Cancelled {
		t.Errorf("recorded %+v", runs)
	}
}

func TestCrashMarker(t *testing.T) {
	o := options()
	o.CrashMarker = "poison"
	o.DownTime = time.Hour
	l, address, client := start(t, o)
	before := l.manifest(false).Incarnation
	if _, err := post(client, address, subrequest("a"), `{"query":"poison"}`); err == nil {
		t.Error("the request that crashes the leaf got a reply")
	}
	if _, err := post(client, address, subrequest("b"), `{}`); err == nil {
		t.Error("a leaf that is down replied")
	}
	if len(l.Runs("a")) != 1 || len(l.Runs("b")) != 0 || l.manifest(false).Incarnation == before {
		t.Errorf("runs %v", l.AllRuns())
	}
	l.conns.refuseUntil(time.Time{})
	if status, err := post(client, address, subrequest("c"), `{}`); status != http.StatusOK || err != nil {
		t.Errorf("after the down time: %d %v", status, err)
	}
}

func TestPartitionAndHeal(t *testing.T) {
	l, address, client := start(t, options())
	l.PartitionNetwork()
	replied := make(chan error, 1)
	go func() {
		_, err := post(client, address, subrequest("a"), `{}`)
		replied <- err
	}()
	for l.ConnectionsOpened() == 0 {
		time.Sleep(time.Millisecond)
	}
	if l.RunCount() != 0 {
		t.Error("a partitioned leaf ran a subrequest")
	}
	l.HealNetwork()
	if err := <-replied; err != nil {
		t.Error(err)
	}
}

func TestStopFinishesRunsInFlight(t *testing.T) {
	o := options()
	o.ServiceTime.Median = 20 * time.Millisecond
	l, address, client := start(t, o)
	status := make(chan int, 1)
	go func() {
		code, _ := post(client, address, subrequest("a"), `{}`)
		status <- code
	}()
	for l.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := l.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	if code := <-status; code != http.StatusOK {
		t.Errorf("run in flight got %d", code)
	}
	if _, err := post(client, address, subrequest("b"), `{}`); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a stopped leaf accepted a connection: %v", err)
	}
}

func TestRecordIsBounded(t *testing.T) {
	o := options()
	o.MaxRuns = 3
	l := New(o)
	for i := range 5 {
		run(l, request(t.Context(), subrequest(fmt.Sprint(i)), time.Second, `{}`))
	}
	if len(l.AllRuns()) != 3 || l.RunCount() != 5 || len(l.Runs("1")) != 0 || len(l.Runs("4")) != 1 {
		t.Errorf("recorded %+v", l.AllRuns())
	}
	l.ResetRuns()
	if len(l.AllRuns()) != 0 || l.RunCount() != 0 {
		t.Error("runs left after a reset")
	}
}
