package leaf

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
)

// maxBodyBytes bounds the request body of a run.
const maxBodyBytes = 1 << 20

// ServeHTTP serves GET /manifest and POST /shards/{n}/run.
func (l *Leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isFirstRequest(r.Context()) && !sleep(r.Context(), l.options.ConnectCost) {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && r.URL.Path == upstream.PathManifest {
		l.serveManifest(w)
		return
	}
	sub, timeLeft, err := parseSubrequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		l.rejectBody(w, sub, err)
		return
	}
	l.serveRun(w, r, sub, timeLeft, body)
}

func (l *Leaf) serveManifest(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(l.manifestJSON(true))
}

func (l *Leaf) rejectBody(w http.ResponseWriter, sub upstream.Subrequest, err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	l.reply(w, sub, status, []byte(strconv.Quote(err.Error())))
}

// serveRun admits and runs one subrequest and replies to it.
func (l *Leaf) serveRun(w http.ResponseWriter, r *http.Request, sub upstream.Subrequest, timeLeft time.Duration, body []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), timeLeft)
	defer cancel()
	if l.isDraining() || timeLeft <= 0 || !l.acquire(ctx) {
		l.replyNotRun(w, sub)
		return
	}
	if !l.holds(sub) {
		<-l.slots
		l.reply(w, sub, http.StatusGone, l.manifestJSON(false))
		return
	}
	sample := l.sampleRun()
	ref := l.record.start(Run{Subrequest: sub, Leaf: l.options.ID, Echo: string(echoOf(body)), Started: time.Now()})
	completed := sleep(ctx, sample.delay)
	<-l.slots
	l.finish(w, r, ref, sub, body, completed, sample.loseReply)
}

// finish records the end of a run and sends the reply. It closes the connection
// instead if the run crashes the leaf, the reply is to be lost or the client has
// disconnected.
func (l *Leaf) finish(w http.ResponseWriter, r *http.Request, ref runRef, sub upstream.Subrequest, body []byte, completed, loseReply bool) {
	crash := l.options.CrashMarker != "" && bytes.Contains(body, []byte(l.options.CrashMarker))
	noReply := crash || loseReply || r.Context().Err() != nil
	l.record.finish(ref, time.Now(), !completed, !noReply)
	if crash {
		l.Crash(l.options.DownTime)
	}
	if noReply {
		panic(http.ErrAbortHandler) // closes the connection without a reply
	}
	if !completed {
		l.reply(w, sub, http.StatusGatewayTimeout, []byte(`"time ran out"`))
		return
	}
	l.reply(w, sub, http.StatusOK, replyBody(sub, l.options.Items, echoOf(body)))
}

// acquire takes a slot, if necessary after waiting in the bounded queue. It
// returns false if the queue is full or ctx ends first.
func (l *Leaf) acquire(ctx context.Context) bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	defer l.queued.Add(-1)
	if l.queued.Add(1) > int64(max(0, l.options.QueueLength)) {
		return false
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// replyNotRun replies that the subrequest did not run.
func (l *Leaf) replyNotRun(w http.ResponseWriter, sub upstream.Subrequest) {
	l.shed.Add(1)
	w.Header().Set(upstream.HeaderNotRun, "1")
	l.reply(w, sub, http.StatusServiceUnavailable, []byte(`"not run"`))
}

func (l *Leaf) reply(w http.ResponseWriter, sub upstream.Subrequest, status int, body []byte) {
	h := w.Header()
	sub.SetReplyHeaders(h, body)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(upstream.HeaderHoldings, l.holdingsTag())
	if l.isDraining() {
		h.Set(upstream.HeaderDraining, "1")
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (l *Leaf) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func (l *Leaf) holds(sub upstream.Subrequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.holdings {
		if h.Service == sub.Service && h.Snapshot == sub.Snapshot && slices.Contains(h.Shards, sub.Shard) {
			return true
		}
	}
	return false
}

// parseSubrequest parses the path and headers of a run and returns the
// subrequest and the time left.
func parseSubrequest(r *http.Request) (upstream.Subrequest, time.Duration, error) {
	var shard int
	if _, err := fmt.Sscanf(r.URL.Path, "/shards/%d/run", &shard); err != nil || r.URL.Path != upstream.RunPath(shard) {
		return upstream.Subrequest{}, 0, fmt.Errorf("no such path: %s", r.URL.Path)
	}
	if r.Method != http.MethodPost {
		return upstream.Subrequest{}, 0, fmt.Errorf("method %s is not POST", r.Method)
	}
	h := r.Header
	attempt, err := strconv.Atoi(h.Get(upstream.HeaderAttempt))
	if err != nil {
		return upstream.Subrequest{}, 0, fmt.Errorf("%s: %w", upstream.HeaderAttempt, err)
	}
	snapshot, err := query.ParseSnapshot(h.Get(upstream.HeaderSnapshot))
	if err != nil {
		return upstream.Subrequest{}, 0, err
	}
	timeLeftMS, err := strconv.ParseInt(h.Get(upstream.HeaderTimeLeft), 10, 64)
	if err != nil {
		return upstream.Subrequest{}, 0, fmt.Errorf("%s: %w", upstream.HeaderTimeLeft, err)
	}
	return upstream.Subrequest{
		RequestID: h.Get(upstream.HeaderRequestID),
		Attempt:   attempt,
		Service:   h.Get(upstream.HeaderService),
		Shard:     shard,
		Snapshot:  snapshot,
		Class:     h.Get(upstream.HeaderClass),
	}, time.Duration(timeLeftMS) * time.Millisecond, nil
}

// echoOf returns the member "echo" of a run's query, nil if there is none.
func echoOf(body []byte) json.RawMessage {
	if !bytes.Contains(body, []byte(`"echo"`)) {
		return nil
	}
	var request struct {
		Query struct {
			Echo json.RawMessage `json:"echo"`
		} `json:"query"`
	}
	if json.Unmarshal(body, &request) != nil {
		return nil
	}
	return request.Query.Echo
}

// sleep waits for d or until ctx ends and reports whether d elapsed.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
