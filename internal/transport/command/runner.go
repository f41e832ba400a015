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
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
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

	// epoch and its monotonic reading keep now unaffected by steps of the wall clock.
	epoch time.Time
	// base is cancelled when running commands must end at once.
	base       context.Context
	cancelBase context.CancelFunc

	mu         sync.RWMutex // held for writing only to set stopping and closed
	stopping   bool
	closed     bool
	stopSignal chan struct{} // closed when stopping is set
	// active counts the commands that Stop waits for.
	active sync.WaitGroup
	// background counts the goroutines that Stop waits for last.
	background sync.WaitGroup
}

// New returns a runner. secret authenticates its tickets: ticket.SecretBytes
// random bytes. It fails when the settings are not valid.
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
	base, cancelBase := context.WithCancel(context.Background())
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
		flights:    newFlights(),
		metrics:    newCollectors(o.Registerer),
		epoch:      time.Now(),
		base:       base,
		cancelBase: cancelBase,
		stopSignal: make(chan struct{}),
	}
	r.sweeper = newSweeper(r)
	return r, nil
}

// now returns the current time. It is computed from the monotonic clock, so
// that it never steps back.
func (r *Runner) now() time.Time { return r.epoch.Add(time.Since(r.epoch)) }

// Start starts the clean-up of old claims.
func (r *Runner) Start() {
	r.background.Add(1)
	go r.sweeper.run()
}

// Stop rejects new commands, waits until those in progress are recorded, and
// stores a ledger of the tickets in the platform. When ctx ends first, the
// remaining commands are aborted and the error is ctx's. A failure to store the
// ledger is only logged: it aborts no command, but resends of the tickets then
// get the outcome unknown. The runner is closed in any case.
func (r *Runner) Stop(ctx context.Context) error {
	r.mu.Lock()
	firstStop := !r.stopping
	r.stopping = true
	if firstStop {
		close(r.stopSignal)
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
		if ledgerErr := r.storeLedger(ctx); ledgerErr != nil {
			r.logger.WithField("node", r.self.Node).WithError(ledgerErr).Warn("failed to store the ledger of tickets")
		}
	case <-ctx.Done():
		err = ctx.Err()
	}
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancelBase()
	r.background.Wait()
	<-recorded
	return err
}

// tryActivate counts a command as active and returns true, unless the runner is
// stopping.
func (r *Runner) tryActivate() bool {
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

// Command runs a command under a caller's key and returns the caller's result.
// It returns ctx.Err() when the caller disconnects first.
func (r *Runner) Command(ctx context.Context, service note.Service, key string, request command.Request) (command.Result, error) {
	name := command.ClaimName(service.Name, key)
	bodyHash := request.BodyHash()
	if record, ok := r.cache.Get(name, r.now()); ok {
		return r.countResult(cachedResult(record, bodyHash)), nil
	}
	deadline := r.now().Add(r.callerTimeout(service, request))
	fl, isNew := r.flights.join(name, bodyHash, deadline)
	if isNew {
		r.launch(ctx, fl, r.newClaimJob(fl, service, key, request, deadline))
	}
	return r.awaitResult(ctx, fl, bodyHash, deadline)
}

// cachedResult returns the result that a cached record gives for a request.
func cachedResult(record command.Record, bodyHash string) command.Result {
	if record.BodyHash != bodyHash {
		return otherBodyResult()
	}
	return command.FromRecord(record)
}

func otherBodyResult() command.Result {
	return command.Result{Outcome: query.NotRun, Cause: command.CauseOtherBody, Final: true}
}

// callerTimeout returns how long a caller waits.
func (r *Runner) callerTimeout(service note.Service, request command.Request) time.Duration {
	timeout := service.LongestWait()
	if requested := time.Duration(request.DeadlineMS) * time.Millisecond; requested > 0 {
		timeout = requested
	}
	if timeout <= 0 {
		return r.settings.MaxCallerDeadline
	}
	return min(timeout, r.settings.MaxCallerDeadline)
}

// awaitResult waits for a flight's result, the caller's deadline or the end of
// ctx, whichever comes first.
func (r *Runner) awaitResult(ctx context.Context, fl *flight, bodyHash string, deadline time.Time) (command.Result, error) {
	if fl.bodyHash != bodyHash {
		return r.countResult(otherBodyResult()), nil
	}
	timer := time.NewTimer(fl.waitUntil(deadline).Sub(r.now()))
	defer timer.Stop()
	select {
	case <-fl.done:
		return r.countResult(fl.result), nil
	case <-timer.C:
		r.flights.leave(fl)
		return r.countResult(command.Result{Outcome: query.Unknown, Cause: command.CausePending}), nil
	case <-ctx.Done():
		r.flights.leave(fl)
		return command.Result{}, ctx.Err()
	}
}

// countResult counts a result in the metrics and returns it.
func (r *Runner) countResult(result command.Result) command.Result {
	r.metrics.result(result)
	return result
}

// job is one machine with the data that the driver needs to execute it.
type job struct {
	machine *once.Machine
	service note.Service
	name    string
	record  command.Record
	request command.Request
	// onSettled is called with the outcome before the callers get their result;
	// ran is false when the command certainly did not run.
	onSettled func(outcome command.Record, ran bool)
	deadline  time.Time
	// isActive is true while Runner.active counts the command.
	isActive bool
}

// newClaimJob prepares a command under a caller's key.
func (r *Runner) newClaimJob(fl *flight, service note.Service, key string, request command.Request, deadline time.Time) *job {
	j := r.newJob(fl, service, request, deadline)
	j.record.Key = key
	refusal := command.Cause("")
	target, err := r.dispatcher.Target(service, request.ShardKey)
	switch {
	case err != nil:
		refusal = command.CauseNoTarget
	case !j.isActive:
		refusal = command.CauseStopping
	case !r.budget.Take(r.now()):
		refusal = command.CauseBudget
	}
	j.record.Target = target
	j.onSettled = func(outcome command.Record, ran bool) {
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
		isActive: r.tryActivate(),
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

// tryAddBackground counts a goroutine that Stop waits for and returns true,
// unless the runner is closed.
func (r *Runner) tryAddBackground() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.closed {
		return false
	}
	r.background.Add(1)
	return true
}

// launch runs a job in its own goroutine, which continues after the caller
// has disconnected and keeps the memory of its request until it ends.
func (r *Runner) launch(caller context.Context, fl *flight, j *job) {
	if !r.tryAddBackground() {
		if j.isActive {
			r.active.Done()
		}
		r.flights.finish(fl, command.Result{Outcome: query.Unknown, Cause: command.CauseStopping})
		return
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))
	stop := context.AfterFunc(r.base, cancel)
	hold := ingress.HoldOf(caller)
	hold.Share()
	go func() {
		defer r.background.Done()
		defer hold.Release()
		defer cancel()
		defer stop()
		d := &driver{runner: r, flight: fl, job: j, ctx: ctx}
		d.run()
	}()
}
