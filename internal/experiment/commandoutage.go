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
	Summary: "platform gone for 10 s: 5 s refusing, 5 s silent; half of the commands under keys, half under tickets",
	Target:  "keys sent in the outage are refused as not_run and run later under the same key, tickets are served, nothing runs twice",
	Run:     runCommandsOutage,
}

const (
	outageRate     = 100.0 // commands/s, keys and tickets together
	outageDelay    = 2 * time.Second
	outagePhase    = 5 * time.Second // refusing, then silent
	outageWait     = 800 * time.Millisecond
	outageCommands = 1400
	// resendRate is the rate of resends after the outage, in commands/s.
	resendRate = 150
)

// outageRun is the traffic of the experiment.
type outageRun struct {
	*commandRun
	outageStart, outageEnd time.Time // of the outage

	mu       sync.Mutex
	rejected []commandSample
	keys     outcomes
	tickets  outcomes
}

// outcomes counts what was told of the sends of one kind within the outage.
type outcomes struct {
	sends, done, notRun, unknown, other int
	slowest                             time.Duration
}

func (o *outcomes) add(t commandSample) {
	o.sends++
	o.slowest = max(o.slowest, t.elapsed)
	switch {
	case t.err != nil:
		o.other++
	case t.answer.Outcome == query.Done:
		o.done++
	case t.answer.Outcome == query.NotRun:
		o.notRun++
	case t.answer.Outcome == query.Unknown:
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
	again := r.resendRejected(ctx)
	if err := ctx.Err(); err != nil {
		return Result{}, err
	}
	doubled := 0
	for _, k := range f.runsByPrefix() {
		if k.runs > 1 {
			doubled++
		}
	}
	return Result{
		Baseline: r.keys.figures(),
		Policy:   r.tickets.figures(),
		Checks: []Check{
			AtMost("run_twice", float64(doubled), 0),
			AtLeast("keys_not_run_share", r.keys.share(r.keys.notRun), 1),
			AtLeast("tickets_done_share", r.tickets.share(r.tickets.done), 0.99),
			AtLeast("refused_keys_done_later", again, 1),
			AtMost("slowest_key_ms", float64(r.keys.slowest.Milliseconds()), float64(outageWait.Milliseconds())+50),
			AtLeast("keys", float64(r.keys.sends), 300),
			AtLeast("tickets", float64(r.tickets.sends), 300),
		},
	}, nil
}

// injectOutage takes the platform away.
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

// inOutage reports whether a send fell wholly into the outage.
func (r *outageRun) inOutage(t commandSample) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.outageStart.IsZero() && t.sent.After(r.outageStart) && t.sent.Add(t.elapsed).Before(r.outageEnd)
}

func (r *outageRun) sendKey(ctx context.Context, i int) {
	t := r.send(ctx, i, commandKey(i), true)
	if !r.inOutage(t) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys.add(t)
	r.rejected = append(r.rejected, t)
}

// sendTicket takes a sendTicket at one node and redeems it at another, then repeats it
// at a third.
func (r *outageRun) sendTicket(ctx context.Context, i int) {
	var issued command.TicketReply
	t := commandSample{key: commandKey(i), sent: time.Now()}
	body := fmt.Sprintf(`{"service":%q}`, r.fleet.service.Name)
	if t.status, t.err = r.post(ctx, i, "/v1/tickets", "", body, &issued); t.err == nil {
		t = r.redeem(ctx, i, t, issued.Ticket)
	}
	t.elapsed = time.Since(t.sent)
	if !r.inOutage(t) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tickets.add(t)
}

// redeem redeems a ticket twice; the repeat must give the same answer.
func (r *outageRun) redeem(ctx context.Context, i int, t commandSample, ticket string) commandSample {
	path := "/v1/services/" + r.fleet.service.Name + "/command"
	body := fmt.Sprintf(`{"query":{"echo":%q},"shard_key":%q}`, t.key, t.key)
	t.status, t.err = r.post(ctx, i+1, path, ticket, body, &t.answer)
	if t.err != nil || t.answer.Outcome != query.Done {
		return t
	}
	var again command.Answer
	if _, err := r.post(ctx, i+2, path, ticket, body, &again); err != nil {
		t.err = err
		return t
	}
	same, _ := json.Marshal(t.answer.Items)
	repeat, _ := json.Marshal(again.Items)
	if again.RequestID != t.answer.RequestID || string(same) != string(repeat) || !isEchoOf(again, t.key) {
		t.err = fmt.Errorf("the repeat of ticket command %s differs", t.key)
	}
	return t
}

// resendRejected sends the refused keys again and returns the share that is done.
func (r *outageRun) resendRejected(ctx context.Context) float64 {
	done := 0
	var resends sync.WaitGroup
	for i, t := range r.rejected {
		if !sleepUntil(ctx, time.Now().Add(time.Second/resendRate)) {
			break
		}
		resends.Go(func() {
			again := r.send(ctx, i+1, t.key, false)
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
