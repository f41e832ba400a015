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
	Target:  "no key runs twice, every caller is told the truth, unknown at most twice the lost upstream replies, p99 at most 1.5 of the same without resends, at most 2 platform writes a command",
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

// commandSample is what one send of a key was commandSample.
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

// commandRun is the traffic of one run and what was told.
type commandRun struct {
	fleet *commandFleet
	http  *http.Client

	mu      sync.Mutex
	samples []commandSample
}

func newCommandRun(f *commandFleet) *commandRun {
	return &commandRun{fleet: f, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

// send sends a key through a node and records what it is told.
func (r *commandRun) send(ctx context.Context, node int, key string, first bool) commandSample {
	t := commandSample{key: key, node: node, first: first, sent: time.Now()}
	body := fmt.Sprintf(`{"query":{"echo":%q},"shard_key":%q,"first_send":%v}`, key, key, first)
	path := "/v1/services/" + r.fleet.service.Name + "/command"
	t.status, t.err = r.post(ctx, node, path, key, body, &t.answer)
	t.elapsed = time.Since(t.sent)
	r.mu.Lock()
	r.samples = append(r.samples, t)
	r.mu.Unlock()
	return t
}

func (r *commandRun) post(ctx context.Context, node int, path, key, body string, answer any) (int, error) {
	url := "http://" + r.fleet.node(node).address + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	if key != "" {
		request.Header.Set(command.HeaderKey, key)
		// net/http sends a request with this header again by itself; its body must not allow it.
		request.GetBody = nil
	}
	response, err := r.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(text, answer)
}

// sendAll sends the commands; those that the seed chooses are resent elsewhere,
// as are those whose node gave no answer.
func (r *commandRun) sendAll(ctx context.Context, seed uint64, resends bool) {
	poisson(ctx, seed, commandRate, commandCount, func(i int, _ time.Time) {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		key := commandKey(i)
		again := resends && random.Float64() < resendShare
		after := time.Duration(random.Float64() * float64(resendWithin))
		var resent sync.WaitGroup
		if again {
			resent.Go(func() {
				if sleepUntil(ctx, time.Now().Add(after)) {
					r.send(ctx, i+1, key, false)
				}
			})
		}
		if t := r.send(ctx, i, key, true); t.err != nil && resends {
			r.send(ctx, i+2, key, false)
		}
		resent.Wait()
	})
}

func commandKey(i int) string { return fmt.Sprintf("complaint-%d", i) }

// keyRuns is what the leafs really ran of one key.
type keyRuns struct {
	runs       int
	firstStart time.Time // of the first run
}

// runsByPrefix groups the runs of all leafs by the prefix of their request ids.
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

// commandTally compares what was told with what ran.
type commandTally struct {
	sends, done, notRun, unknown, noAnswer int
	// incorrect counts sends that were told what did not happen.
	incorrect int
	// runTwice counts keys that ran more than once.
	runTwice int
	// overtaken counts sends told not_run while a concurrent send of the key had begun to run.
	overtaken int
	latency   *hdrhistogram.Histogram // µs, of first sends
}

func (r *commandRun) evaluate() commandTally {
	v := commandTally{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), histogramDigits)}
	truth := r.fleet.runsByPrefix()
	for _, k := range truth {
		if k.runs > 1 {
			v.runTwice++
		}
	}
	for _, t := range r.samples {
		prefix := command.RequestIDPrefix(command.ClaimName(r.fleet.service.Name, t.key))
		v.add(t, truth[prefix])
	}
	return v
}

func (v *commandTally) add(t commandSample, k keyRuns) {
	v.sends++
	if t.first {
		// RecordValue fails only above a minute, which no command may take.
		_ = v.latency.RecordValue(t.elapsed.Microseconds())
	}
	switch {
	case t.err != nil:
		v.noAnswer++
	case t.answer.Outcome == query.Done:
		v.done++
		if k.runs != 1 || !isEchoOf(t.answer, t.key) {
			v.incorrect++
		}
	case t.answer.Outcome == query.NotRun:
		v.notRun++
		if k.runs > 0 && k.firstStart.Before(t.sent) {
			v.incorrect++
		} else if k.runs > 0 && k.firstStart.Before(t.sent.Add(t.elapsed)) {
			v.overtaken++
		}
	case t.answer.Outcome == query.Unknown:
		v.unknown++
	default:
		v.incorrect++
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

func (v *commandTally) quantileMS(q float64) float64 {
	return float64(v.latency.ValueAtQuantile(100*q)) / 1000
}

func (v *commandTally) unknownShare() float64 {
	return float64(v.unknown) / float64(max(1, v.sends-v.noAnswer))
}

func (v *commandTally) figures() []Figure {
	return []Figure{
		{"sends", float64(v.sends)},
		{"done", float64(v.done)},
		{"not_run", float64(v.notRun)},
		{"not_run_overtaken", float64(v.overtaken)},
		{"unknown", float64(v.unknown)},
		{"no_answer", float64(v.noAnswer)},
		{"unknown_share", v.unknownShare()},
		{"p50_ms", v.quantileMS(0.50)},
		{"p99_ms", v.quantileMS(0.99)},
	}
}

// commandResult is one run of the experiment.
type commandResult struct {
	tally          commandTally
	writes         float64 // platform writes per command
	changedAnswers int     // repeats that gave another answer than before
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

// repeat sends keys that were told done through other nodes and counts answers
// that differ.
func (r *commandRun) repeat(ctx context.Context) int {
	changed, repeated := 0, 0
	for _, t := range append([]commandSample(nil), r.samples...) {
		if t.err != nil || t.answer.Outcome != query.Done || repeated == commandRepeats {
			continue
		}
		repeated++
		again := r.send(ctx, t.node+1, t.key, false)
		if again.err != nil || again.answer.RequestID != t.answer.RequestID || again.answer.ItemsHash != t.answer.ItemsHash {
			changed++
		}
	}
	return changed
}
