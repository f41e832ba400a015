package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
)

var commandsOutageExperiment = Experiment{
	Name:    "commands-outage",
	Summary: "platform unavailable for 10 s: refuses connections for 5 s, then hangs for 5 s; half of the commands under keys, half under tickets",
	Target:  "keys sent in the outage are rejected as not_run and run later under the same key, tickets are served, no command runs twice",
	Run:     runCommandsOutage,
}

const (
	outageRate     = 100.0 // commands/s, keys and tickets together
	outageDelay    = 2 * time.Second
	outagePhase    = 5 * time.Second // of each kind: refuse, then hang
	outageWait     = 800 * time.Millisecond
	outageCommands = 1400
	// resendRate is the rate of resends after the outage, in commands/s.
	resendRate = 150
)

// outageRun is the traffic of the experiment and its replies.
type outageRun struct {
	*commandRun
	outageStart, outageEnd time.Time

	mu       sync.Mutex
	rejected []commandSample // sends of keys within the outage, all of which must end as not_run
	keys     outcomes
	tickets  outcomes
}

// outcomes counts the replies to the sends of one kind within the outage.
type outcomes struct {
	sends, done, notRun, unknown, other int
	slowest                             time.Duration
}

func (o *outcomes) add(s commandSample) {
	o.sends++
	o.slowest = max(o.slowest, s.elapsed)
	switch {
	case s.err != nil:
		o.other++
	case s.answer.Outcome == query.Done:
		o.done++
	case s.answer.Outcome == query.NotRun:
		o.notRun++
	case s.answer.Outcome == query.Unknown:
		o.unknown++
	default:
		o.other++
	}
}

func (o *outcomes) figures() []Figure {
	return []Figure{
		{"sends", float64(o.sends)},
		{"done", float64(o.done)},
		{"not_run", float64(o.notRun)},
		{"unknown", float64(o.unknown)},
		{"other", float64(o.other)},
		{"slowest_ms", float64(o.slowest.Microseconds()) / 1000},
	}
}

func (o *outcomes) share(n int) float64 { return float64(n) / float64(max(1, o.sends)) }

func runCommandsOutage(ctx context.Context, seed uint64) (Result, error) {
	f, err := newCommandFleet(seed, outageWait)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	r := &outageRun{commandRun: newCommandRun(f)}
	defer r.http.CloseIdleConnections()
	var outage sync.WaitGroup
	outage.Go(func() { r.injectOutage(ctx) })
	poisson(ctx, seed, outageRate, outageCommands, func(i int, _ time.Time) {
		if i%2 == 0 {
			r.sendKey(ctx, i)
			return
		}
		r.sendTicket(ctx, i)
	})
	outage.Wait()
	doneShare := r.resendRejected(ctx)
	if err := ctx.Err(); err != nil {
		return Result{}, err
	}
	runTwice := 0
	for _, k := range f.runsByPrefix() {
		if k.runs > 1 {
			runTwice++
		}
	}
	return Result{
		Baseline: r.keys.figures(),
		Policy:   r.tickets.figures(),
		Checks: []Check{
			AtMost("run_twice", float64(runTwice), 0),
			AtLeast("keys_not_run_share", r.keys.share(r.keys.notRun), 1),
			AtLeast("tickets_done_share", r.tickets.share(r.tickets.done), 0.99),
			AtLeast("refused_keys_done_later", doneShare, 1),
			AtMost("slowest_key_ms", float64(r.keys.slowest.Milliseconds()), float64(outageWait.Milliseconds())+50),
			AtLeast("keys", float64(r.keys.sends), 300),
			AtLeast("tickets", float64(r.tickets.sends), 300),
		},
	}, nil
}

// injectOutage lets the platform fail for two phases, one of each kind of outage.
func (r *outageRun) injectOutage(ctx context.Context) {
	p := r.fleet.platform
	faults := standin.Faults{Latency: platformLatency}
	sleepUntil(ctx, time.Now().Add(outageDelay))
	r.mu.Lock()
	r.outageStart = time.Now()
	r.outageEnd = r.outageStart.Add(2 * outagePhase)
	r.mu.Unlock()
	for _, kind := range []standin.Outage{standin.OutageRefuse, standin.OutageHang} {
		faults.Outage = kind
		p.SetFaults(faults)
		sleepUntil(ctx, time.Now().Add(outagePhase))
	}
	faults.Outage = standin.OutageNone
	p.SetFaults(faults)
}

// inOutage reports whether a send started and ended within the outage.
func (r *outageRun) inOutage(s commandSample) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.outageStart.IsZero() && s.sent.After(r.outageStart) && s.sent.Add(s.elapsed).Before(r.outageEnd)
}

func (r *outageRun) sendKey(ctx context.Context, i int) {
	s := r.send(ctx, i, commandKey(i), true)
	if !r.inOutage(s) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys.add(s)
	r.rejected = append(r.rejected, s)
}

// sendTicket requests a ticket from one node, redeems it at another and repeats the
// command at a third.
func (r *outageRun) sendTicket(ctx context.Context, i int) {
	var issued command.TicketReply
	s := commandSample{key: commandKey(i), sent: time.Now()}
	body := fmt.Sprintf(`{"service":%q}`, r.fleet.service.Name)
	if s.status, s.err = r.post(ctx, i, "/v1/tickets", "", body, &issued); s.err == nil {
		s = r.redeem(ctx, i, s, issued.Ticket)
	}
	s.elapsed = time.Since(s.sent)
	if !r.inOutage(s) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tickets.add(s)
}

// redeem redeems a ticket twice; the second answer must have the request ID and the
// items of the first.
func (r *outageRun) redeem(ctx context.Context, i int, s commandSample, ticket string) commandSample {
	path := "/v1/services/" + r.fleet.service.Name + "/command"
	body := fmt.Sprintf(`{"query":{"echo":%q},"shard_key":%q}`, s.key, s.key)
	s.status, s.err = r.post(ctx, i+1, path, ticket, body, &s.answer)
	if s.err != nil || s.answer.Outcome != query.Done {
		return s
	}
	var second command.Answer
	if _, err := r.post(ctx, i+2, path, ticket, body, &second); err != nil {
		s.err = err
		return s
	}
	firstItems, _ := json.Marshal(s.answer.Items)
	secondItems, _ := json.Marshal(second.Items)
	if second.RequestID != s.answer.RequestID || string(firstItems) != string(secondItems) || !isEchoOf(second, s.key) {
		s.err = fmt.Errorf("ticket command %s: the answer to the repeat differs", s.key)
	}
	return s
}

// resendRejected sends the rejected keys again and returns the share that is done.
func (r *outageRun) resendRejected(ctx context.Context) float64 {
	done := 0
	var resends sync.WaitGroup
	for i, s := range r.rejected {
		if !sleepUntil(ctx, time.Now().Add(time.Second/resendRate)) {
			break
		}
		resends.Go(func() {
			again := r.send(ctx, i+1, s.key, false)
			if again.err == nil && again.answer.Outcome == query.Done {
				r.mu.Lock()
				done++
				r.mu.Unlock()
			}
		})
	}
	resends.Wait()
	return float64(done) / float64(max(1, len(r.rejected)))
}
