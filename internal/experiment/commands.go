package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
)

var commandsExperiment = Experiment{
	Name:    "commands",
	Summary: "3 nodes, 2,000 commands, 30 % resent elsewhere, lost replies, one node paused for 2 s, one replaced",
	Target:  "no key runs twice, every reply states what happened, unknown at most twice the lost upstream replies, p99 at most 1.5 of the same without resends, at most 2 platform writes per command",
	Run:     runCommands,
}

const (
	commandCount = 2000
	commandRate  = 180.0 // commands/s
	commandWait  = 5 * time.Second
	// resendShare of the commands are sent again through another node.
	resendShare = 0.3
	// resendWithin bounds the time between a send and its resend.
	resendWithin      = 200 * time.Millisecond
	lostPlatformShare = 0.05
	lostUpstreamShare = 0.02
	commandPause      = 2 * time.Second
	pauseDelay        = 3 * time.Second
	replaceDelay      = 7 * time.Second
	commandRepeats    = 300
)

// commandSample is the result of one send of a key.
type commandSample struct {
	key     string
	node    int
	first   bool
	sent    time.Time
	elapsed time.Duration
	status  int
	answer  command.Answer
	err     error
}

// commandRun is the traffic of one run and the replies to it.
type commandRun struct {
	fleet *commandFleet
	http  *http.Client

	mu      sync.Mutex
	samples []commandSample
}

func newCommandRun(f *commandFleet) *commandRun {
	return &commandRun{fleet: f, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

// send sends a command under a key through a node and records the reply.
func (r *commandRun) send(ctx context.Context, node int, key string, first bool) commandSample {
	s := commandSample{key: key, node: node, first: first, sent: time.Now()}
	body := fmt.Sprintf(`{"query":{"echo":%q},"shard_key":%q,"first_send":%v}`, key, key, first)
	path := "/v1/services/" + r.fleet.service.Name + "/command"
	s.status, s.err = r.post(ctx, node, path, key, body, &s.answer)
	s.elapsed = time.Since(s.sent)
	r.mu.Lock()
	r.samples = append(r.samples, s)
	r.mu.Unlock()
	return s
}

func (r *commandRun) post(ctx context.Context, node int, path, key, body string, answer any) (int, error) {
	url := "http://" + r.fleet.node(node).address + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	if key != "" {
		request.Header.Set(command.HeaderKey, key)
		// net/http retries a request with this header by itself; without GetBody it
		// cannot send the body again.
		request.GetBody = nil
	}
	response, err := r.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(content, answer)
}

// sendAll sends the commands; those that the seed selects are resent through
// another node, as are those whose node did not reply.
func (r *commandRun) sendAll(ctx context.Context, seed uint64, resends bool) {
	poisson(ctx, seed, commandRate, commandCount, func(i int, _ time.Time) {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		key := commandKey(i)
		resend := resends && random.Float64() < resendShare
		delay := time.Duration(random.Float64() * float64(resendWithin))
		var resent sync.WaitGroup
		if resend {
			resent.Go(func() {
				if sleepUntil(ctx, time.Now().Add(delay)) {
					r.send(ctx, i+1, key, false)
				}
			})
		}
		if s := r.send(ctx, i, key, true); s.err != nil && resends {
			r.send(ctx, i+2, key, false)
		}
		resent.Wait()
	})
}

func commandKey(i int) string { return fmt.Sprintf("complaint-%d", i) }

// keyRuns is what the leafs recorded of the runs of one key.
type keyRuns struct {
	runs       int
	firstStart time.Time
}

// runsByPrefix groups the runs of all leafs by the prefix of their request IDs.
func (f *commandFleet) runsByPrefix() map[string]keyRuns {
	byPrefix := map[string]keyRuns{}
	for _, l := range f.leafs {
		for _, run := range l.AllRuns() {
			prefix := run.RequestID[:strings.LastIndexByte(run.RequestID, '-')+1]
			k := byPrefix[prefix]
			if k.runs == 0 || run.Started.Before(k.firstStart) {
				k.firstStart = run.Started
			}
			k.runs++
			byPrefix[prefix] = k
		}
	}
	return byPrefix
}

// commandTally counts replies and compares them with what the leafs ran.
type commandTally struct {
	sends, done, notRun, unknown, noAnswer int
	// incorrect counts sends whose reply contradicts what the leafs ran.
	incorrect int
	// runTwice counts keys that ran more than once.
	runTwice int
	// overtaken counts sends with the reply not_run during which a concurrent send of
	// the same key started to run.
	overtaken int
	latency   *hdrhistogram.Histogram // µs, of first sends
}

func (r *commandRun) evaluate() commandTally {
	t := commandTally{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), histogramDigits)}
	actual := r.fleet.runsByPrefix()
	for _, k := range actual {
		if k.runs > 1 {
			t.runTwice++
		}
	}
	for _, s := range r.samples {
		prefix := command.RequestIDPrefix(command.ClaimName(r.fleet.service.Name, s.key))
		t.add(s, actual[prefix])
	}
	return t
}

func (t *commandTally) add(s commandSample, k keyRuns) {
	t.sends++
	if s.first {
		// RecordValue fails only above a minute, which no command may take.
		_ = t.latency.RecordValue(s.elapsed.Microseconds())
	}
	switch {
	case s.err != nil:
		t.noAnswer++
	case s.answer.Outcome == query.Done:
		t.done++
		if k.runs != 1 || !isEchoOf(s.answer, s.key) {
			t.incorrect++
		}
	case s.answer.Outcome == query.NotRun:
		t.notRun++
		if k.runs > 0 && k.firstStart.Before(s.sent) {
			t.incorrect++
		} else if k.runs > 0 && k.firstStart.Before(s.sent.Add(s.elapsed)) {
			t.overtaken++
		}
	case s.answer.Outcome == query.Unknown:
		t.unknown++
	default:
		t.incorrect++
	}
}

// isEchoOf reports whether every item of an answer belongs to a key's command.
func isEchoOf(a command.Answer, key string) bool {
	for _, item := range a.Items {
		var e echoItem
		if json.Unmarshal(item, &e) != nil || e.Echo != key {
			return false
		}
	}
	return len(a.Items) > 0
}

func (t *commandTally) quantileMS(q float64) float64 {
	return float64(t.latency.ValueAtQuantile(100*q)) / 1000
}

func (t *commandTally) unknownShare() float64 {
	return float64(t.unknown) / float64(max(1, t.sends-t.noAnswer))
}

func (t *commandTally) figures() []Figure {
	return []Figure{
		{"sends", float64(t.sends)},
		{"done", float64(t.done)},
		{"not_run", float64(t.notRun)},
		{"not_run_overtaken", float64(t.overtaken)},
		{"unknown", float64(t.unknown)},
		{"no_answer", float64(t.noAnswer)},
		{"unknown_share", t.unknownShare()},
		{"p50_ms", t.quantileMS(0.50)},
		{"p99_ms", t.quantileMS(0.99)},
	}
}

// commandResult is one run of the experiment.
type commandResult struct {
	tally          commandTally
	writes         float64 // platform writes per command
	changedAnswers int     // repeats whose answer differs from the first one
}

func runCommands(ctx context.Context, seed uint64) (Result, error) {
	baseline, err := measureCommands(ctx, seed, false)
	if err != nil {
		return Result{}, err
	}
	policy, err := measureCommands(ctx, seed, true)
	if err != nil {
		return Result{}, err
	}
	b, p := &baseline.tally, &policy.tally
	return Result{
		Baseline: append(b.figures(), Figure{"writes_per_command", baseline.writes}),
		Policy:   append(p.figures(), Figure{"writes_per_command", policy.writes}),
		Checks: []Check{
			AtMost("keys_run_twice", float64(p.runTwice+b.runTwice), 0),
			AtMost("told_untrue", float64(p.incorrect+b.incorrect), 0),
			AtMost("changed_answers", float64(policy.changedAnswers+baseline.changedAnswers), 0),
			AtMost("unknown_share", p.unknownShare(), 2*lostUpstreamShare),
			AtMost("p99_over_no_resends", p.quantileMS(0.99)/b.quantileMS(0.99), 1.5),
			AtMost("writes_per_command", policy.writes, 2),
			AtLeast("sends", float64(p.sends), commandCount*(1+resendShare*0.9)),
		},
	}, nil
}

func measureCommands(ctx context.Context, seed uint64, resends bool) (commandResult, error) {
	f, err := newCommandFleet(seed, commandWait)
	if err != nil {
		return commandResult{}, err
	}
	defer f.close()
	f.platform.SetFaults(standin.Faults{Latency: platformLatency, LostReplyShare: lostPlatformShare})
	for _, l := range f.leafs {
		l.SetLostReplyShare(lostUpstreamShare)
	}
	pause := time.AfterFunc(pauseDelay, func() { f.node(1).gate.pause(commandPause) })
	defer pause.Stop()
	replaced := make(chan error, 1)
	replace := time.AfterFunc(replaceDelay, func() { replaced <- f.replace(2) })
	defer replace.Stop()
	r := newCommandRun(f)
	defer r.http.CloseIdleConnections()
	r.sendAll(ctx, seed, resends)
	if err := ctx.Err(); err != nil {
		return commandResult{}, err
	}
	if err := <-replaced; err != nil {
		return commandResult{}, err
	}
	result := commandResult{writes: f.claimWrites() / commandCount}
	result.changedAnswers = r.repeat(ctx)
	result.tally = r.evaluate()
	return result, nil
}

// repeat resends keys with the reply done through other nodes and counts answers
// that differ.
func (r *commandRun) repeat(ctx context.Context) int {
	changed, repeated := 0, 0
	for _, s := range append([]commandSample(nil), r.samples...) {
		if s.err != nil || s.answer.Outcome != query.Done || repeated == commandRepeats {
			continue
		}
		repeated++
		again := r.send(ctx, s.node+1, s.key, false)
		if again.err != nil || again.answer.RequestID != s.answer.RequestID || again.answer.ItemsHash != s.answer.ItemsHash {
			changed++
		}
	}
	return changed
}
