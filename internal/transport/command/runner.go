package command

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/once"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/record"
	"github.com/hickorydock/hickorydock/internal/state/ticket"
)

// Runner runs commands at most once. It is safe for concurrent use.
type Runner struct {
	self       command.Incarnation
	settings   Settings
	platform   platform.Client
	dispatcher Dispatcher
	peers      Peers
	services   Services
	logger     log.Interface
	budget     *Budget
	cache      *record.Cache
	tickets    *ticket.Store
	flights    *flights
	sweeper    *sweeper
	metrics    *collectors

	// epoch and its monotonic reading make now immune to steps of the wall clock.
	epoch time.Time
	// base ends when commands must end, whatever they are doing.
	base context.Context
	end  context.CancelFunc

	mu       sync.RWMutex // held for writing only to set stopping and closed
	stopping bool
	closed   bool
	watchEnd chan struct{} // closed when stopping
	// active counts the commands that Stop waits for.
	active sync.WaitGroup
	// background counts the goroutines that Close waits for.
	background sync.WaitGroup
}

// New returns a runner. secret authenticates its tickets: ticket.SecretBytes
// random bytes. It fails when the settings do.
func New(o Options, secret []byte, logger log.Interface) (*Runner, error) {
	if err := o.Settings.Validate(); err != nil {
		return nil, err
	}
	s := o.Settings
	if o.Peers == nil {
		o.Peers = noPeers{}
	}
	if o.Budget == nil {
		o.Budget = NewBudget(s.FleetWriteRate, s.NodeWriteRate)
	}
	base, end := context.WithCancel(context.Background())
	r := &Runner{
		self:       o.Self,
		settings:   s,
		platform:   o.Platform,
		dispatcher: o.Dispatcher,
		peers:      o.Peers,
		services:   o.Services,
		logger:     logger,
		budget:     o.Budget,
		cache:      record.New(s.CacheBytes, s.Retention),
		tickets: ticket.New(ticket.Options{
			Issuer:    o.Self,
			Secret:    secret,
			Lifetime:  s.TicketLifetime,
			Retention: s.Retention,
			Limit:     s.MaxRedemptions,
		}),
		flights:  newFlights(),
		metrics:  newCollectors(o.Registerer),
		epoch:    time.Now(),
		base:     base,
		end:      end,
		watchEnd: make(chan struct{}),
	}
	r.sweeper = newSweeper(r)
	return r, nil
}

// now is the time since epoch added to it, so that it never steps back.
func (r *Runner) now() time.Time { return r.epoch.Add(time.Since(r.epoch)) }

// Start begins the clean-up of old claims.
func (r *Runner) Start() {
	r.background.Add(1)
	go r.sweeper.loop()
}

// Stop refuses new commands, waits until those in progress are recorded, and
// leaves a ledger of the tickets in the platform. When ctx ends first, the rest
// is cut off and the error is ctx's. A ledger that cannot be stored is logged: it
// cuts nothing off, but resends of its tickets are then told unknown. The runner
// is closed in any case.
func (r *Runner) Stop(ctx context.Context) error {
	r.mu.Lock()
	first := !r.stopping
	r.stopping = true
	if first {
		close(r.watchEnd)
	}
	r.mu.Unlock()
	recorded := make(chan struct{})
	go func() {
		r.active.Wait()
		close(recorded)
	}()
	var err error
	select {
	case <-recorded:
		if failed := r.leaveLedger(ctx); failed != nil {
			r.logger.WithField("node", r.self.Node).WithError(failed).Warn("ledger of tickets not stored")
		}
	case <-ctx.Done():
		err = ctx.Err()
	}
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.end()
	r.background.Wait()
	<-recorded
	return err
}

// admit counts a command as active, unless the runner is stopping.
func (r *Runner) admit() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.stopping {
		return false
	}
	r.active.Add(1)
	return true
}

func (r *Runner) isStopping() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.stopping
}

// Command runs a command under a caller's key and returns what the caller is to
// be told. It returns ctx.Err() when the caller leaves first.
func (r *Runner) Command(ctx context.Context, service note.Service, key string, request command.Request) (command.Result, error) {
	name := command.ClaimName(service.Name, key)
	bodyHash := request.BodyHash()
	if known, ok := r.cache.Get(name, r.now()); ok {
		return r.tell(recall(known, bodyHash)), nil
	}
	deadline := r.now().Add(r.wait(service, request))
	fl, isNew := r.flights.join(name, bodyHash, deadline)
	if isNew {
		r.launch(ctx, fl, r.claimJob(fl, service, key, request, deadline))
	}
	return r.await(ctx, fl, bodyHash, deadline)
}

// recall is what a cached record says to a request.
func recall(known command.Record, bodyHash string) command.Result {
	if known.BodyHash != bodyHash {
		return otherBody()
	}
	return command.FromRecord(known)
}

func otherBody() command.Result {
	return command.Result{Outcome: query.NotRun, Cause: command.CauseOtherBody, Final: true}
}

// wait is how long a caller waits.
func (r *Runner) wait(service note.Service, request command.Request) time.Duration {
	wait := service.LongestWait()
	if asked := time.Duration(request.DeadlineMS) * time.Millisecond; asked > 0 {
		wait = asked
	}
	if wait <= 0 {
		return r.settings.MaxDeadline
	}
	return min(wait, r.settings.MaxDeadline)
}

// await waits for a flight's result, the caller's deadline or its leaving.
func (r *Runner) await(ctx context.Context, fl *flight, bodyHash string, deadline time.Time) (command.Result, error) {
	if fl.bodyHash != bodyHash {
		return r.tell(otherBody()), nil
	}
	timer := time.NewTimer(fl.patience(deadline).Sub(r.now()))
	defer timer.Stop()
	select {
	case <-fl.done:
		return r.tell(fl.result), nil
	case <-timer.C:
		r.flights.leave(fl)
		return r.tell(command.Result{Outcome: query.Unknown, Cause: command.CausePending}), nil
	case <-ctx.Done():
		r.flights.leave(fl)
		return command.Result{}, ctx.Err()
	}
}

func (r *Runner) tell(result command.Result) command.Result {
	r.metrics.result(result)
	return result
}

// job is one machine with what the driver needs to carry it out.
type job struct {
	machine *once.Machine
	service note.Service
	name    string
	record  command.Record
	request command.Request
	// settled takes the outcome before the callers are told; ran is false when
	// the command certainly did not run.
	settled  func(outcome command.Record, ran bool)
	deadline time.Time
	admitted bool
}

// claimJob prepares a command under a caller's key.
func (r *Runner) claimJob(fl *flight, service note.Service, key string, request command.Request, deadline time.Time) *job {
	j := r.newJob(fl, service, request, deadline)
	j.record.Key = key
	refusal := command.Cause("")
	target, err := r.dispatcher.Target(service, request.ShardKey)
	switch {
	case err != nil:
		refusal = command.CauseNoTarget
	case !j.admitted:
		refusal = command.CauseStopping
	case !r.budget.Take(r.now()):
		refusal = command.CauseBudget
	}
	j.record.Target = target
	j.settled = func(outcome command.Record, ran bool) {
		if ran {
			r.cache.Put(fl.name, outcome)
		}
	}
	j.machine = once.New(r.settings.Once, once.Spec{
		Record:    j.record,
		Deadline:  deadline,
		FirstSend: request.FirstSend,
		Refusal:   refusal,
	})
	return j
}

func (r *Runner) newJob(fl *flight, service note.Service, request command.Request, deadline time.Time) *job {
	return &job{
		service:  service,
		name:     fl.name,
		request:  request,
		deadline: deadline,
		admitted: r.admit(),
		record: command.Record{
			Service:   service.Name,
			BodyHash:  fl.bodyHash,
			RequestID: command.RequestID(fl.name, rand.Uint64()),
			Claimer:   r.self,
			State:     command.StateClaimed,
			ClaimedAt: r.now(),
		},
	}
}

// enter counts a goroutine that Stop waits for, unless the runner is closed.
func (r *Runner) enter() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.closed {
		return false
	}
	r.background.Add(1)
	return true
}

// launch drives a job in a goroutine of its own, which outlives its caller.
func (r *Runner) launch(caller context.Context, fl *flight, j *job) {
	if !r.enter() {
		if j.admitted {
			r.active.Done()
		}
		r.flights.finish(fl, command.Result{Outcome: query.Unknown, Cause: command.CauseStopping})
		return
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))
	stop := context.AfterFunc(r.base, cancel)
	go func() {
		defer r.background.Done()
		defer cancel()
		defer stop()
		d := &drive{runner: r, flight: fl, job: j, ctx: ctx}
		d.loop()
	}()
}
